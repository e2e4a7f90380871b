package martenloom.core.tally;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import martenloom.common.codec.RecordReader;
import org.junit.jupiter.api.Test;

/** The log of adds over a disk whose writes end when the test says so. */
final class TallyLogTest {
    private static final class ManualDisk implements TallyStorage {
        private final ArrayDeque<Consumer<Boolean>> appends = new ArrayDeque<>();

        @Override
        public void rewrite(List<byte[]> payloads, Runnable done) {
            done.run();
        }

        @Override
        public void append(byte[] payload, Consumer<Boolean> done) {
            appends.add(done);
        }
    }

    private static final class NoListener implements TallyLog.Listener {
        @Override
        public void onDurable(List<TallyLog.QueuedBatch> written) {}

        @Override
        public void onRefused() {}
    }

    private static final class TwoPeers implements TallyTransport {
        @Override
        public Set<String> peers() {
            return Set.of("p1", "p2");
        }

        @Override
        public void send(String ip, byte[] record) {}
    }

    private final ManualDisk disk = new ManualDisk();
    private final TallyState state = new TallyState();
    private long nextOrigin = 1;
    private final TallyLog log = new TallyLog(state, disk, () -> nextOrigin++, new NoListener());

    private void submit(String id) {
        log.submitOwn(new TallyAdd("t", id, 1));
    }

    /** Guards against adds that are refused while many writes follow each other without a pause. */
    @Test
    void writesInARowAreNoStalledDisk() {
        log.open(List.of());
        submit("a");
        for (var nowUs = 0L; nowUs < 2_000_000; nowUs += 100_000) {
            submit("b" + nowUs);
            assertFalse(log.isStalled(nowUs), "at " + nowUs);
            disk.appends.remove().accept(true);
        }
        assertFalse(log.isStalled(2_100_000));
        assertTrue(log.isStalled(2_500_000), "the last write does not end");
    }

    /** Guards against adds that count here and are on no disk. */
    @Test
    void aWriteThatEndsAfterTheLogWasWrittenAnewCountsNothing() {
        log.open(List.of());
        submit("under way");
        log.renewOrigin();
        submit("later");
        disk.appends.remove().accept(true);
        assertEquals(0, state.total("t"));
        disk.appends.remove().accept(true);
        assertEquals(1, state.total("t"));
    }

    /** Guards against counting a peer among the holders of adds that it has not sent. */
    @Test
    void aPeerIsCreditedWithWhatItSentAlone() {
        var replica =
                new TallyReplica(
                        new Location("a", "north"),
                        new CopyRequirement(1, 1, 1),
                        1 << 20,
                        disk,
                        new TwoPeers(),
                        () -> 1);
        replica.open(List.of());
        replica.onRound(0);
        var adds = List.of(new TallyAdd("t", "x", 1), new TallyAdd("t", "y", 1));
        receive(replica, "p1", new AddBatch(5, 1, adds));
        receive(replica, "p2", new AddBatch(5, 1, adds.subList(0, 1)));
        while (!disk.appends.isEmpty()) {
            disk.appends.remove().accept(true);
        }
        var report = replica.report();
        assertTrue(report.contains("p1 p1 in-contact missed 0 holds {5=2}"), report);
        assertTrue(report.contains("p2 p2 in-contact missed 0 holds {5=1}"), report);
    }

    private static void receive(TallyReplica replica, String peer, AddBatch batch) {
        replica.onRecord(peer, new RecordReader(new TallyMessage.Adds(batch).encode(), true));
    }

    /** Guards against a number that stands for two adds: one on disk, one at the peers. */
    @Test
    void aRefusedWriteBeginsANewOrigin() {
        log.open(List.of());
        submit("kept");
        disk.appends.remove().accept(true);
        submit("refused");
        disk.appends.remove().accept(false);
        assertEquals(1, state.total("t"));
        assertEquals(2, log.origin());
        assertEquals(new AddPosition(2, 1), log.submitOwn(new TallyAdd("t", "refused", 1)));
        disk.appends.remove().accept(true);
        assertEquals(2, state.total("t"));
    }
}
