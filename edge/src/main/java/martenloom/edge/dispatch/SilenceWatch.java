package martenloom.edge.dispatch;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import martenloom.common.clock.Clocks;
import martenloom.common.log.RingLog;
import martenloom.edge.replica.ReplicaTable;
import martenloom.routing.route.RouteTable;

/**
 * Watches replicas that have attempts in hand and say nothing. One that is silent for longer than
 * its load explains is suspected for a while, and the owner is told to move its attempts.
 */
final class SilenceWatch {
    /** For how long before it is suspected the other edges are asked whether they hear it. */
    private static final long WONDER_US = 250_000;

    private static final long SUSPECT_US = 500_000;
    private static final long HEARD_JUST_NOW_US = 300_000;

    private final Supplier<RouteTable> table;
    private final BiConsumer<Attempt, Long> move;

    SilenceWatch(Supplier<RouteTable> table, BiConsumer<Attempt, Long> move) {
        this.table = table;
        this.move = move;
    }

    void check(ReplicaTable.Slot s, long now) {
        if (s.attempts.isEmpty() || s.quietSinceUs == 0 && now - s.heardUs < HEARD_JUST_NOW_US) {
            s.wondering = false;
            return;
        }
        var firstSent =
                s.attempts.stream().filter(l -> l.sentUs > 0).mapToLong(l -> l.sentUs).min();
        var since = Math.max(s.heardUs, firstSent.orElse(now));
        var patience = patienceUs(s);
        s.wondering = now - since > Math.max(patience / 2, patience - WONDER_US);
        if (now - since < patience || s.othersHear(now) && now - since < patience * 2) {
            return;
        }
        if (s.suspectUntilUs < now) {
            RingLog.debug(
                    "replica " + s.row.id() + " is quiet with " + s.attempts.size() + " attempts");
        }
        s.suspectUntilUs = Math.max(s.suspectUntilUs, now + SUSPECT_US);
        s.doubtful = true;
        for (var l : List.copyOf(s.attempts)) {
            move.accept(l, now);
        }
    }

    /**
     * How long a replica with attempts in hand may say nothing. One event of a stream holds some
     * tokens, and between any two of them a piece of another prompt may be read, so a stream that
     * runs may pause for as many pieces.
     */
    private long patienceUs(ReplicaTable.Slot s) {
        var svc = table.get().services().get(s.row.service());
        if (svc == null || !svc.inferenceEngine()) {
            return (long) Math.max(200_000, s.workUs * 5 + s.rttUs);
        }
        var unread = s.unread + s.othersUnread(Clocks.nowUs());
        for (var l : s.attempts) {
            if (l.started()) {
                var pieces = Math.min(unread, ReplicaTable.PIECE * svc.stepSize());
                return (long) (450_000 + s.rttUs + pieces / s.rate * 1000);
            }
        }
        return (long) (500_000 + s.rttUs + unread / s.rate * 2000);
    }
}
