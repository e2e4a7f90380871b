package martenloom.core.chain;

import martenloom.core.chain.ChainMember.Mode;

/** Heartbeats of a head down its chain, and their way back from the tail. */
final class Heartbeats {
    private final MemberContext member;
    private final ReadBarrier barrier;
    private final Replication replication;
    private final ChainMember owner;

    Heartbeats(
            MemberContext member, ReadBarrier barrier, Replication replication, ChainMember owner) {
        this.member = member;
        this.barrier = barrier;
        this.replication = replication;
        this.owner = owner;
    }

    /** Sends the next heartbeat from the head. */
    void send() {
        var number = barrier.next(member.nowUs);
        if (member.chain.size() == 1) {
            barrier.onAcknowledged(number, member.nowUs);
            return;
        }
        var ageUs = member.nowUs - barrier.provenUs();
        member.send(
                member.chain.get(1),
                new ChainMessage.Heartbeat(
                        member.view, number, member.chain, member.committed.edition(), ageUs));
    }

    void onHeartbeat(ChainMessage.Heartbeat beat) {
        var chain = beat.chain();
        var place = chain.indexOf(member.me);
        if (place < 1
                || member.mode != Mode.FOLLOWING && member.mode != Mode.IDLE
                || !member.holds(beat.ballot())) {
            return;
        }
        if (member.mode == Mode.IDLE) {
            owner.become(Mode.FOLLOWING);
            member.released = false;
        }
        member.told(beat.proofAgeUs());
        member.follow(beat.ballot(), chain);
        replication.commit(beat.ballot(), beat.edition());
        if (place == chain.size() - 1) {
            member.send(
                    chain.get(place - 1),
                    new ChainMessage.HeartbeatAck(beat.ballot(), beat.number()));
        } else {
            member.send(chain.get(place + 1), beat);
        }
    }

    void onHeartbeatAck(ChainMessage.HeartbeatAck ack) {
        if (!ack.ballot().equals(member.view)) {
            return;
        }
        if (member.mode == Mode.FOLLOWING) {
            var place = member.chainSeen.indexOf(member.me);
            if (place > 0) {
                member.send(member.chainSeen.get(place - 1), ack);
            }
        } else if (member.heading()) {
            barrier.onAcknowledged(ack.number(), member.nowUs);
        }
    }
}
