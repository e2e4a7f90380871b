package martenloom.edge.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import martenloom.edge.replica.InFlightAttempt;
import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.edge.replica.ReplicaFixture;
import martenloom.edge.replica.ReplicaTable;
import org.junit.jupiter.api.Test;

/** When a replica with attempts in flight is suspected. */
final class StallDetectorTest {
    private static final long SENT_US = 1_000_000_000;
    private static final long LONG_AFTER_US = SENT_US + 5_000_000;

    /** An attempt whose client may not keep up with its response. */
    private static final class PausableAttempt implements InFlightAttempt {
        private boolean paused;
        private long awaitedSinceUs = SENT_US;

        @Override
        public boolean connecting() {
            return false;
        }

        @Override
        public boolean prefilled() {
            return true;
        }

        @Override
        public long sentUs() {
            return SENT_US;
        }

        @Override
        public boolean readingPaused() {
            return paused;
        }

        @Override
        public long awaitedSinceUs() {
            return awaitedSinceUs;
        }

        @Override
        public void onReplicaUnresponsive(long nowUs) {
            // the detector's verdict is read from the replica
        }
    }

    private final ReplicaTable table = ReplicaFixture.table();
    private final StallDetector detector = new StallDetector(new ClusterView(table));
    private final PausableAttempt attempt = new PausableAttempt();

    private ReplicaEndpoint replicaWithAttempt() {
        var replica = ReplicaFixture.replica(table, "one");
        replica.reachability().onHeard(SENT_US);
        replica.addAttempt(attempt, 0);
        return replica;
    }

    private boolean isSuspected(ReplicaEndpoint replica, long nowUs) {
        detector.check(replica, nowUs);
        return replica.reachability().isSuspected(nowUs);
    }

    @Test
    void aReplicaThatSaysNothingIsSuspected() {
        assertEquals(true, isSuspected(replicaWithAttempt(), LONG_AFTER_US));
    }

    /** Guards against a zone that is taken for silent since one client does not read its stream. */
    @Test
    void aResponseThatIsNotReadIsNoSilenceOfItsReplica() {
        var replica = replicaWithAttempt();
        attempt.paused = true;
        assertEquals(false, isSuspected(replica, LONG_AFTER_US));
        assertEquals(false, replica.reachability().isSuspecting());
        attempt.paused = false;
        attempt.awaitedSinceUs = LONG_AFTER_US;
        assertEquals(false, isSuspected(replica, LONG_AFTER_US + 1));
        assertEquals(true, isSuspected(replica, LONG_AFTER_US + 5_000_000));
    }
}
