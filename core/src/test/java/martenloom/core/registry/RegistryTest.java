package martenloom.core.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.fleet.ReplicaRecord;
import org.junit.jupiter.api.Test;

/** Ends and leases in the registry, and what daemons pass to each other of them. */
final class RegistryTest {
    private static final long BEAT_US = 300_000;
    private static final long SECOND_US = 1_000_000;

    private final long now = Clocks.nowUs();
    private final Registry here = new Registry(BEAT_US);
    private final Registry peer = new Registry(BEAT_US);

    private ReplicaRecord beat(String id, long sequence, boolean draining) {
        var beat = new ReplicaRecord();
        beat.setId(id);
        beat.setService("plain");
        beat.setAddress("10.0.0.9:80");
        beat.setSequence(sequence);
        beat.setDraining(draining);
        beat.setLastHeartbeatUs(now);
        return beat;
    }

    private EdgeRecord renewal(long life, long sequence, long heardUs) {
        var edge = new EdgeRecord();
        edge.setIp("10.0.2.1");
        edge.setIncarnation(life);
        edge.setSequence(sequence);
        edge.setReady(true);
        edge.setLastRenewalUs(heardUs);
        return edge;
    }

    private static void pass(byte[] flood, Registry to, long sentUs) {
        var in = new RecordReader(flood, true);
        in.i64();
        to.takeFlood(in, sentUs);
    }

    /** One round of repair: a tells its digests, b sends its rows of the ranges that differ. */
    private static void repair(Registry a, Registry b, long now) {
        b.mend(new RecordReader(a.digests(), true), now).ifPresent(rows -> pass(rows, a, now));
    }

    private boolean gone(Registry registry, String id) {
        return registry.replica(id).map(r -> r.ended()).orElse(false);
    }

    @Test
    void anEndThatComesBeforeTheFirstBeatOutlivesEveryBeat() {
        here.bury("i", now);
        assertTrue(here.endsChanged(), "it is to be told on at once");
        assertFalse(here.take(beat("i", 1, false), true));
        assertFalse(here.take(beat("i", 1_000_000, false), true));
        here.sweep(now + 300 * SECOND_US);
        assertFalse(
                here.take(beat("i", 1_000_001, false), true),
                "also a beat that comes minutes later");
        assertTrue(gone(here, "i"));
    }

    @Test
    void anEndReachesOthersByFloodAndByRepairAndIsNotUndoneByThem() {
        peer.take(beat("i", 7, false), true);
        here.bury("i", now);
        pass(here.pollFlood(now).orElseThrow(), peer, now);
        assertTrue(gone(peer, "i"));
        var cutOff = new Registry(BEAT_US);
        cutOff.take(beat("i", 8, false), true);
        repair(here, cutOff, now);
        assertTrue(gone(here, "i"), "a daemon that has not heard of it takes nothing back");
        repair(cutOff, here, now);
        assertTrue(gone(cutOff, "i"));
        assertTrue(
                here.mend(new RecordReader(cutOff.digests(), true), now).isEmpty(),
                "both say the same now");
    }

    @Test
    void anEndPassesAroundACutBetweenTwoDaemonsAndComesToRest() {
        var behindTheCut = new Registry(BEAT_US);
        here.take(beat("i", 7, true), true);
        pass(here.pollFlood(now).orElseThrow(), peer, now);
        pass(peer.pollFlood(now).orElseThrow(), behindTheCut, now);
        assertTrue(behindTheCut.replica("i").orElseThrow().draining());
        pass(behindTheCut.pollFlood(now).orElseThrow(), here, now);
        assertTrue(here.pollFlood(now).isEmpty(), "what is known is not told on again");
    }

    @Test
    void anEndIsRememberedOverARestart() {
        var before = here.noteDigest();
        here.bury("i", now);
        assertNotEquals(before, here.noteDigest(), "the note is written anew");
        var in = new RecordReader(here.memo(1, 1, now + 5 * SECOND_US), false);
        in.i32();
        in.i32();
        var next = new Registry(BEAT_US);
        assertEquals(0, next.remember(in, now, BEAT_US), "no replica is remembered as running");
        assertFalse(next.take(beat("i", 9, false), true));
        assertTrue(gone(next, "i"));
        assertEquals(
                now - 5 * SECOND_US,
                next.replica("i").orElseThrow().lastHeartbeatUs(),
                "and is as old as it was");
    }

    @Test
    void tombstonesAreBoundedInAgeAndNumber() {
        for (var i = 0; i < 4_200; i++) {
            here.bury("i" + i, now + i);
        }
        here.sweep(now);
        assertEquals(4_096, here.replicas().size());
        assertTrue(here.replica("i103").isEmpty(), "the oldest go first");
        assertTrue(gone(here, "i104"));
        here.sweep(now + 601 * SECOND_US);
        assertEquals(List.of(), here.replicas());
        var old = beat("j", 1, false);
        old.setLastHeartbeatUs(now - 61 * SECOND_US);
        assertFalse(here.take(old, false), "a peer's copy that is too old is not taken");
    }

    @Test
    void anOlderBeatDoesNotUndoADrain() {
        here.take(beat("i", 6, true), true);
        assertFalse(here.take(beat("i", 5, false), true));
        peer.take(beat("i", 5, false), true);
        repair(here, peer, now);
        assertTrue(here.replica("i").orElseThrow().draining());
        repair(peer, here, now);
        assertTrue(peer.replica("i").orElseThrow().draining());
    }

    @Test
    void anEdgesLeaseEndsEverywhereHoweverOftenItsRowIsPassedOn() {
        here.take(renewal(1, 9, now), true);
        var flood = here.pollFlood(now + SECOND_US).orElseThrow();
        pass(flood, peer, now + SECOND_US);
        assertEquals(1, peer.members(now + 2 * SECOND_US).size());
        for (var round = 1; round < 6; round++) {
            repair(here, peer, now + round * SECOND_US);
            repair(peer, here, now + round * SECOND_US);
        }
        var third = new Registry(BEAT_US);
        repair(third, peer, now + 2 * SECOND_US);
        assertEquals(1, third.members(now + 2 * SECOND_US).size());
        for (var registry : List.of(here, peer, third)) {
            assertEquals(
                    List.of(),
                    registry.members(now + 2_500_000),
                    "2.5 s after it was heard by the first");
        }
        repair(peer, here, now + 30 * SECOND_US);
        assertEquals(List.of(), peer.members(now + 30 * SECOND_US));
    }

    @Test
    void aFloodThatWasHeldUpOnItsWayBringsNoEdgeBack() {
        here.take(renewal(1, 9, now), true);
        var flood = here.pollFlood(now).orElseThrow();
        pass(flood, peer, now);
        assertEquals(
                List.of(),
                peer.members(now + 20 * SECOND_US),
                "read 20 s later, it is as old as its sending says");
        peer.take(renewal(2, 1, now + 10 * SECOND_US), true);
        pass(flood, peer, now);
        assertEquals(
                2,
                peer.members(now + 10 * SECOND_US).get(0).incarnation(),
                "and does not replace a later life");
    }
}
