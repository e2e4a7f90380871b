package martenloom.core.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.DigestRanges;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.fleet.ReplicaRows;
import org.junit.jupiter.api.Test;

/** Ends and leases in the registry, and what daemons pass to each other of them. */
final class RegistryTest {
    private static final long HEARTBEAT_US = 300_000;
    private static final long SECOND_US = 1_000_000;

    private final long now = Clocks.nowUs();
    private final Registry here = new Registry(HEARTBEAT_US);
    private final Registry peer = new Registry(HEARTBEAT_US);

    private ReplicaRecord heartbeat(String id, long sequence, boolean draining) {
        var row = new ReplicaRecord();
        row.setId(id);
        row.setService("plain");
        row.setAddress("10.0.0.9:80");
        row.setSequence(sequence);
        row.setDraining(draining);
        row.setLastHeartbeatUs(now);
        return row;
    }

    private EdgeRecord renewal(long incarnation, long sequence, long heardUs) {
        var edge = new EdgeRecord();
        edge.setIp("10.0.2.1");
        edge.setIncarnation(incarnation);
        edge.setSequence(sequence);
        edge.setReady(true);
        edge.setLastRenewalUs(heardUs);
        return edge;
    }

    private static byte[] rows(Registry from, long now) {
        return from.pollUpdate(now).allRows().orElseThrow();
    }

    private static void passLiveness(byte[] liveness, Registry to, long sentUs) {
        var in = new RecordReader(liveness, true);
        in.i64();
        to.acceptLiveness(in, sentUs);
    }

    private static void passRows(byte[] rows, Registry to, long sentUs) {
        var in = new RecordReader(rows, true);
        in.i64();
        to.acceptRows(in, sentUs);
    }

    private static void pass(byte[] update, Registry to, long sentUs) {
        var in = new RecordReader(update, true);
        in.i64();
        to.acceptUpdate(in, sentUs);
    }

    /**
     * One round of repair: the first sends its digests, the second its rows of the ranges that
     * differ.
     */
    private static void repair(Registry first, Registry second, long now) {
        second.answerDigests(new RecordReader(first.digests(), true), now)
                .ifPresent(rows -> pass(rows, first, now));
    }

    private boolean gone(Registry registry, String id) {
        return registry.replica(id).map(ReplicaRecord::ended).orElse(false);
    }

    @Test
    void anEndThatComesBeforeTheFirstHeartbeatOutlivesEveryHeartbeat() {
        here.markEnded("i", now);
        assertTrue(here.isEndPending(), "it is to be published at once");
        assertFalse(here.accept(heartbeat("i", 1, false), true));
        assertFalse(here.accept(heartbeat("i", 1_000_000, false), true));
        here.sweep(now + 300 * SECOND_US);
        assertFalse(
                here.accept(heartbeat("i", 1_000_001, false), true),
                "also a heartbeat that comes minutes later");
        assertTrue(gone(here, "i"));
    }

    @Test
    void anEndReachesOthersByUpdateAndByRepairAndIsNotUndoneByThem() {
        peer.accept(heartbeat("i", 7, false), true);
        here.markEnded("i", now);
        pass(rows(here, now), peer, now);
        assertTrue(gone(peer, "i"));
        var cutOff = new Registry(HEARTBEAT_US);
        cutOff.accept(heartbeat("i", 8, false), true);
        repair(here, cutOff, now);
        assertTrue(gone(here, "i"), "a daemon that has not heard of it takes nothing back");
        repair(cutOff, here, now);
        assertTrue(gone(cutOff, "i"));
        assertTrue(
                here.answerDigests(new RecordReader(cutOff.digests(), true), now).isEmpty(),
                "both say the same now");
    }

    @Test
    void anEndPassesAroundACutBetweenTwoDaemonsAndComesToRest() {
        var behindTheCut = new Registry(HEARTBEAT_US);
        here.accept(heartbeat("i", 7, true), true);
        pass(rows(here, now), peer, now);
        pass(rows(peer, now), behindTheCut, now);
        assertTrue(behindTheCut.replica("i").orElseThrow().draining());
        pass(rows(behindTheCut, now), here, now);
        assertTrue(
                here.pollUpdate(now).allRows().isEmpty(), "what is known is not published again");
    }

    @Test
    void anEndIsRestoredAfterARestart() {
        var before = here.checkpointDigest();
        here.markEnded("i", now);
        assertNotEquals(before, here.checkpointDigest(), "the checkpoint is written again");
        var checkpoint = here.writeReplicas(new RecordWriter(), now + 5 * SECOND_US).bytes();
        var in = new RecordReader(checkpoint, false);
        var next = new Registry(HEARTBEAT_US);
        assertEquals(
                0,
                next.restoreReplicas(in, now, HEARTBEAT_US),
                "no replica is restored as running");
        assertFalse(next.accept(heartbeat("i", 9, false), true));
        assertTrue(gone(next, "i"));
        assertEquals(
                now - 5 * SECOND_US,
                next.replica("i").orElseThrow().lastHeartbeatUs(),
                "and is as old as it was");
    }

    @Test
    void tombstonesAreBoundedInAgeAndNumber() {
        for (var i = 0; i < 4_200; i++) {
            here.markEnded("i" + i, now + i);
        }
        here.sweep(now);
        assertEquals(4_096, here.replicas().size());
        assertTrue(here.replica("i103").isEmpty(), "the oldest go first");
        assertTrue(gone(here, "i104"));
        here.sweep(now + 601 * SECOND_US);
        assertEquals(List.of(), here.replicas());
        var old = heartbeat("j", 1, false);
        old.setLastHeartbeatUs(now - 61 * SECOND_US);
        assertFalse(here.accept(old, false), "a peer's copy that is too old is not taken");
    }

    @Test
    void anOlderHeartbeatDoesNotUndoADrain() {
        here.accept(heartbeat("i", 6, true), true);
        assertFalse(here.accept(heartbeat("i", 5, false), true));
        peer.accept(heartbeat("i", 5, false), true);
        repair(here, peer, now);
        assertTrue(here.replica("i").orElseThrow().draining());
        repair(peer, here, now);
        assertTrue(peer.replica("i").orElseThrow().draining());
    }

    @Test
    void anEdgesLeaseEndsEverywhereHoweverOftenItsRowIsPassedOn() {
        here.accept(renewal(1, 9, now), true);
        var update = rows(here, now + SECOND_US);
        pass(update, peer, now + SECOND_US);
        assertEquals(1, peer.liveEdges(now + 2 * SECOND_US).size());
        for (var round = 1; round < 6; round++) {
            repair(here, peer, now + round * SECOND_US);
            repair(peer, here, now + round * SECOND_US);
        }
        var third = new Registry(HEARTBEAT_US);
        repair(third, peer, now + 2 * SECOND_US);
        assertEquals(1, third.liveEdges(now + 2 * SECOND_US).size());
        for (var registry : List.of(here, peer, third)) {
            assertEquals(
                    List.of(),
                    registry.liveEdges(now + 2_500_000),
                    "2.5 s after it was heard by the first");
        }
        repair(peer, here, now + 30 * SECOND_US);
        assertEquals(List.of(), peer.liveEdges(now + 30 * SECOND_US));
    }

    @Test
    void anUpdateThatWasDelayedOnItsWayBringsNoEdgeBack() {
        here.accept(renewal(1, 9, now), true);
        var update = rows(here, now);
        pass(update, peer, now);
        assertEquals(
                List.of(),
                peer.liveEdges(now + 20 * SECOND_US),
                "read 20 s later, it is as old as its sending says");
        peer.accept(renewal(2, 1, now + 10 * SECOND_US), true);
        pass(update, peer, now);
        assertEquals(
                2,
                peer.liveEdges(now + 10 * SECOND_US).get(0).incarnation(),
                "and does not replace a later incarnation");
    }

    @Test
    void aHeartbeatThatSaysNothingNewIsPassedOnByItsNumberAlone() {
        here.accept(heartbeat("i", 1, false), true);
        here.accept(renewal(1, 1, now), true);
        var first = here.pollUpdate(now);
        assertTrue(first.liveness().isEmpty());
        passRows(first.changedRows().orElseThrow(), peer, now);
        var later = now + 2 * SECOND_US;
        var beat = heartbeat("i", 2, false);
        beat.setLastHeartbeatUs(later);
        here.accept(beat, true);
        here.accept(renewal(1, 2, later), true);
        var second = here.pollUpdate(later);
        assertTrue(second.changedRows().isEmpty());
        var liveness = second.liveness().orElseThrow();
        assertTrue(liveness.length < second.allRows().orElseThrow().length / 2);
        peer.sweep(later);
        assertTrue(peer.replica("i").orElseThrow().unreachable(), "its heartbeats were missed");
        passLiveness(liveness, peer, later);
        assertFalse(peer.replica("i").orElseThrow().unreachable());
        assertEquals(2, peer.replica("i").orElseThrow().sequence());
        assertEquals(1, peer.liveEdges(later + 2 * SECOND_US).size());
    }

    @Test
    void aDaemonThatMissedAChangeIsNotMisledByTheHeartbeatsAfterIt() {
        here.accept(heartbeat("i", 1, false), true);
        pass(rows(here, now), peer, now);
        here.accept(heartbeat("i", 2, true), true);
        rows(here, now);
        here.accept(heartbeat("i", 3, true), true);
        var drains = here.pollUpdate(now);
        assertTrue(drains.liveness().isEmpty(), "a replica that drains is sent whole each time");
        passRows(drains.changedRows().orElseThrow(), peer, now);
        assertTrue(peer.replica("i").orElseThrow().draining());

        var unknown = new LivenessRecord("j", 1, 9, 0);
        var otherwise = new LivenessRecord("i", 1, 9, 0);
        var out = new RecordWriter(0).i64(now).varint(2);
        unknown.write(out);
        otherwise.write(out);
        passLiveness(out.varint(0).bytes(), peer, now);
        assertTrue(peer.replica("j").isEmpty());
        assertEquals(3, peer.replica("i").orElseThrow().sequence(), "the digests differ");
    }

    @Test
    void aReplicaThatWarmsUpIsSentWholeEachTime() {
        for (var sequence = 1; sequence < 4; sequence++) {
            var warming = heartbeat("i", sequence, false);
            warming.setWarmFromUs(now + 60 * SECOND_US);
            here.accept(warming, true);
            var update = here.pollUpdate(now);
            assertTrue(update.liveness().isEmpty());
            assertTrue(update.changedRows().isPresent());
        }
    }

    @Test
    void anEdgeIsSentOnlyTheRangesThatDifferAndWhatWarmsUp() {
        for (var i = 0; i < 1000; i++) {
            here.accept(heartbeat("i" + i, 1, false), true);
        }
        var digests = IntStream.of(DigestRanges.replicaDigests(here.replicas())).boxed().toList();
        var nothing = missing(digests);
        assertEquals(List.of(), nothing.ranges);
        assertEquals(List.of(), nothing.replicas);
        var warming = heartbeat("i7", 2, false);
        warming.setWarmFromUs(now + 60 * SECOND_US);
        here.accept(warming, true);
        here.markEnded("i8", now);
        var some = missing(digests);
        assertEquals(List.of(DigestRanges.fine("i8")), some.ranges);
        assertTrue(some.replicas.stream().anyMatch(replica -> replica.id().equals("i7")));
        assertTrue(
                some.replicas.stream()
                        .anyMatch(replica -> replica.id().equals("i8") && replica.ended()));
        assertTrue(some.replicas.size() < 30, "rows of one range of 256, and one more");
        assertEquals(1000, missing(List.of()).replicas.size(), "an edge that has nothing");
    }

    private record Missing(List<Integer> ranges, List<ReplicaRecord> replicas) {}

    private Missing missing(List<Integer> digests) {
        var in = new RecordReader(here.replicasMissing(digests, now), true);
        return new Missing(in.shortList(RecordReader::varint32), ReplicaRows.read(in, now));
    }

    @Test
    void repairByFinerRangesBringsOnlyTheRowsOfRangesThatDiffer() {
        for (var i = 0; i < 1000; i++) {
            here.accept(heartbeat("i" + i, 1, false), true);
        }
        here.accept(renewal(1, 9, now), true);
        passRows(rangeAnswer(peer, here), peer, now);
        assertEquals(1000, peer.replicas().size());
        assertEquals(1, peer.liveEdges(now).size());
        assertTrue(answer(peer, here).isEmpty(), "both say the same now");
        here.markEnded("i8", now);
        var rows = rangeAnswer(peer, here);
        assertTrue(rows.length < 1000, rows.length + " bytes for one range");
        passRows(rows, peer, now);
        assertTrue(gone(peer, "i8"));
    }

    private Optional<byte[]> answer(Registry asks, Registry answers) {
        return answers.answerRangeDigests(new RecordReader(asks.rangeDigests(), true), now);
    }

    private byte[] rangeAnswer(Registry asks, Registry answers) {
        return answer(asks, answers).orElseThrow();
    }
}
