package martenloom.core.chain;

import martenloom.core.chain.HeartbeatMessage.Heartbeat;
import martenloom.core.chain.HeartbeatMessage.HeartbeatAck;

/** Heartbeats of a head down its chain, and their way back from the tail. */
final class Heartbeats {
    private final MemberContext member;
    private final ReadBarrier barrier;

    Heartbeats(MemberContext member, ReadBarrier barrier) {
        this.member = member;
        this.barrier = barrier;
    }

    /** Sends the next heartbeat from the head. */
    void send() {
        var number = barrier.nextHeartbeat();
        var view = member.view();
        if (view.chain().size() == 1) {
            barrier.onAcknowledged(number);
            return;
        }
        var contactAgeUs = member.nowUs() - barrier.provenUs();
        member.send(
                view.chain().get(1),
                new Heartbeat(
                        view.ballot(),
                        number,
                        view.chain(),
                        member.committed().edition(),
                        contactAgeUs));
    }

    void onMessage(HeartbeatMessage message) {
        if (message instanceof Heartbeat heartbeat) {
            onHeartbeat(heartbeat);
        } else if (message instanceof HeartbeatAck ack) {
            onHeartbeatAck(ack);
        }
    }

    private void onHeartbeat(Heartbeat heartbeat) {
        var chain = heartbeat.chain();
        var position = chain.indexOf(member.address());
        if (position < 1
                || !member.is(MemberRole.FOLLOWER) && !member.is(MemberRole.IDLE)
                || !member.holds(heartbeat.ballot())) {
            return;
        }
        if (member.is(MemberRole.IDLE)) {
            member.become(MemberRole.FOLLOWER);
            member.departure().revokeRelease();
        }
        member.contact().onMajorityProof(member.nowUs(), heartbeat.contactAgeUs());
        member.view().follow(heartbeat.ballot(), chain);
        member.commit(heartbeat.ballot(), heartbeat.edition());
        if (position == chain.size() - 1) {
            member.send(
                    chain.get(position - 1),
                    new HeartbeatAck(heartbeat.ballot(), heartbeat.number()));
        } else {
            member.send(chain.get(position + 1), heartbeat);
        }
    }

    private void onHeartbeatAck(HeartbeatAck ack) {
        if (!ack.ballot().equals(member.view().ballot())) {
            return;
        }
        if (member.is(MemberRole.FOLLOWER)) {
            member.sendUpstream(ack);
        } else if (member.isHead()) {
            barrier.onAcknowledged(ack.number());
        }
    }
}
