package martenloom.core.chain;

import martenloom.core.chain.ElectionMessage.LearnerOffer;
import martenloom.core.chain.ElectionMessage.Prepare;
import martenloom.core.chain.ElectionMessage.Promise;
import martenloom.core.chain.ElectionMessage.PromiseRejected;
import martenloom.core.state.EncodedState;

/**
 * The acceptor's side of agreeing on a view: answers the requests of candidates for a promise.
 *
 * <p>Invariants: a promise is durable before it is sent; no promise is given to a ballot below one
 * promised; a learner, which may have forgotten its promises, gives none.
 */
final class BallotAcceptor {
    private final MemberContext member;
    private final ReadBarrier barrier;
    private final ContentExchange contents;

    BallotAcceptor(MemberContext member, ReadBarrier barrier, ContentExchange contents) {
        this.member = member;
        this.barrier = barrier;
        this.contents = contents;
    }

    /**
     * Answers a candidate; the disk must be free. A learner that still fetches contents does not
     * offer itself, since the chain would wait for it.
     */
    void onPrepare(String from, Prepare prepare) {
        var ballot = prepare.ballot();
        member.observeBallotNumber(ballot.number());
        if (member.is(MemberRole.LEARNER)) {
            if (!member.departure().isLeaving() && !contents.isFetching()) {
                member.send(from, new LearnerOffer(ballot, member.incarnation()));
            }
            return;
        }
        if (ballot.compareTo(member.promised()) < 0
                || isInGoodContact(from, prepare.handedOver())) {
            member.send(from, new PromiseRejected(ballot, member.promised().number()));
            return;
        }
        var isRepeated = ballot.equals(member.promised());
        if (isRepeated && member.is(MemberRole.FOLLOWER)) {
            return;
        }
        member.contact().onContact(member.nowUs());
        if (isRepeated) {
            promise(from, prepare);
            return;
        }
        member.become(MemberRole.IDLE);
        member.persistPromise(ballot, () -> promise(from, prepare));
    }

    private void promise(String to, Prepare prepare) {
        member.departure().revokeRelease();
        var state = member.state();
        var order = member.accepted().compareTo(prepare.accepted());
        var isNewer = order > 0 || order == 0 && state.edition() > prepare.edition();
        member.send(
                to,
                new Promise(
                        prepare.ballot(),
                        member.departure().isLeaving(),
                        member.accepted(),
                        state.edition(),
                        isNewer ? EncodedState.of(state) : EncodedState.NONE));
    }

    /**
     * A member in good contact with its head gives no promise to another: one that cannot hear must
     * not upset the rest. A head that hands over frees the members of its view from this.
     */
    private boolean isInGoodContact(String from, Ballot handedOver) {
        if (handedOver.number() > 0 && handedOver.equals(member.promised())) {
            return false;
        }
        return switch (member.role()) {
            case FOLLOWER ->
                    !from.equals(member.view().head()) && member.contact().isGood(member.nowUs());
            case HEAD -> HeadContact.isGood(member.nowUs(), barrier.acknowledgedUs());
            default -> false;
        };
    }
}
