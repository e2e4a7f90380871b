package martenloom.common.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.golden.GoldenBytes;
import martenloom.common.load.LoadSubscription.Outcome;
import org.junit.jupiter.api.Test;

/**
 * Loads as a stream of changes: bounded in size, the largest differences first, and a subscriber
 * that missed an update finds that out.
 */
final class LoadStreamTest {
    private static final int MAX_CHANGES = 8;
    private static final int REPLICAS = 3000;

    private final LoadPublication publication = new LoadPublication();
    private final LoadSubscription subscription = new LoadSubscription();
    private final Set<String> changed = new HashSet<>();

    private static LoadSummary loads(int replicas, int inFlight) {
        var loads = LoadSummary.ofEdge();
        for (var i = 0; i < replicas; i++) {
            loads.addReplica("replica-" + i, inFlight, inFlight * 100, false);
        }
        loads.addInFlight("north/chat");
        return loads;
    }

    private byte[] update(LoadSummary current) {
        return publication.writeUpdate(current, MAX_CHANGES, new RecordWriter()).bytes();
    }

    private byte[] snapshot() {
        return publication.writeSnapshot(new RecordWriter()).bytes();
    }

    private Outcome take(byte[] update) {
        changed.clear();
        return subscription.take(new RecordReader(update, false), changed);
    }

    private static void assertSame(LoadSummary expected, LoadSummary actual) {
        assertEquals(expected.edgeCount(), actual.edgeCount());
        assertEquals(expected.replicaLoads().keySet(), actual.replicaLoads().keySet());
        expected.replicaLoads()
                .forEach(
                        (replica, load) -> {
                            var known = actual.replicaLoad(replica);
                            assertEquals(load.inFlight(), known.inFlight());
                            assertEquals(load.pendingPrefillTokens(), known.pendingPrefillTokens());
                            assertEquals(load.failures(), known.failures());
                        });
    }

    @Test
    void anUpdateHasABoundHoweverManyReplicasThereAre() {
        take(snapshot());
        var first = update(loads(MAX_CHANGES, 1));
        assertEquals(Outcome.TAKEN, take(first));
        var small = first.length;
        for (var round = 0; round < 100; round++) {
            var bytes = update(loads(REPLICAS, round + 1));
            assertEquals(Outcome.TAKEN, take(bytes));
            assertTrue(changed.size() <= MAX_CHANGES);
            assertTrue(bytes.length < small * 2, bytes.length + " bytes beside " + small);
        }
    }

    @Test
    void theLargestDifferenceIsToldFirstAndEveryOneInTheEnd() {
        take(snapshot());
        var loads = loads(REPLICAS / 10, 1);
        loads.addReplica("busy", 40, 90_000, false);
        take(update(loads));
        assertTrue(changed.contains("busy"));
        assertFalse(subscription.isComplete(), "the smaller differences are left");
        assertEquals(90_000, subscription.loads().replicaLoad("busy").pendingPrefillTokens());
        for (var round = 0; round < REPLICAS / 10 / MAX_CHANGES + 1; round++) {
            take(update(loads));
        }
        assertSame(loads, subscription.loads());
        assertEquals(Map.of("north/chat", 1), subscription.loads().inFlightByModel());
        take(update(loads));
        assertTrue(subscription.isComplete());
        assertEquals(Set.of(), changed, "what is known is not told again");
    }

    @Test
    void aReplicaThatFailsIsToldBeforeOnesThatAreBusy() {
        take(snapshot());
        var loads = loads(REPLICAS, 20);
        var failing = loads.addReplica("failing", 1, 0, false);
        failing.setFailures(4);
        failing.setSuccesses(1);
        take(update(loads));
        assertEquals(4, subscription.loads().replicaLoad("failing").failures());
        assertEquals(1, subscription.loads().replicaLoad("failing").successes());
    }

    @Test
    void aSubscriberThatMissedAnUpdateNeedsASnapshot() {
        assertEquals(Outcome.MISSED_SOME, take(update(loads(2, 1))), "it has none yet");
        assertEquals(Outcome.TAKEN, take(snapshot()));
        update(loads(3, 2));
        assertEquals(Outcome.MISSED_SOME, take(update(loads(4, 3))));
        assertFalse(subscription.isInSync());
        assertEquals(Outcome.MISSED_SOME, take(update(loads(4, 4))), "until a snapshot comes");
        assertEquals(Outcome.TAKEN, take(snapshot()));
        assertSame(loads(4, 4), subscription.loads());
    }

    @Test
    void anotherPublisherIsFoundOutAndItsSnapshotReplacesEverything() {
        take(snapshot());
        take(update(loads(4, 1)));
        var other = new LoadPublication();
        var current = loads(1, 7);
        var first = other.writeUpdate(current, MAX_CHANGES, new RecordWriter()).bytes();
        assertEquals(Outcome.MISSED_SOME, take(first));
        assertEquals(Outcome.TAKEN, take(other.writeSnapshot(new RecordWriter()).bytes()));
        assertSame(current, subscription.loads());
        assertEquals(4, changed.size(), "the loads that are 0 now have changed too");
    }

    @Test
    void idsOfReplicasThatAreGoneDoNotPileUp() {
        take(snapshot());
        var longest = 0;
        for (var round = 0; round < 2000; round++) {
            var loads = LoadSummary.ofEdge();
            loads.addReplica("replica-" + round, 1, 0, false);
            if (take(update(loads)) == Outcome.MISSED_SOME) {
                assertEquals(Outcome.TAKEN, take(snapshot()));
            }
            assertSame(loads, subscription.loads());
            longest = Math.max(longest, snapshot().length);
        }
        assertTrue(longest < 20_000, "the largest snapshot has " + longest + " bytes");
    }

    @Test
    void randomLoadsWithLostUpdatesAreKnownInTheEnd() {
        var random = new Random(20261202);
        var loads = new LoadSummary();
        for (var round = 0; round < 5000; round++) {
            for (var i = 0; i < 10; i++) {
                var failures = random.nextInt(2);
                loads.setReplica(
                        "replica-" + random.nextInt(200),
                        ReplicaLoadSummary.of(
                                random.nextInt(3),
                                random.nextInt(2) * 500,
                                failures * 9,
                                failures));
            }
            var update = update(loads);
            if (random.nextInt(10) > 0 && take(update) == Outcome.MISSED_SOME) {
                take(snapshot());
            }
        }
        for (var round = 0; round < 200 / MAX_CHANGES + 2; round++) {
            if (take(update(loads)) == Outcome.MISSED_SOME) {
                take(snapshot());
            }
        }
        assertSame(loads, subscription.loads());
    }

    @Test
    void aRecordThatNamesAnUnknownReplicaIsNotTaken() {
        var change = new LoadUpdate.Change(3, ReplicaLoadSummary.of(1, 0, 0, 0));
        var broken =
                new LoadUpdate(
                        7,
                        1,
                        true,
                        false,
                        1,
                        0,
                        List.of("only"),
                        List.of(change),
                        Optional.empty());
        assertEquals(Outcome.MISSED_SOME, take(broken.write(new RecordWriter()).bytes()));
    }

    @Test
    void updatesAreEncodedAsRecorded() {
        var failing = ReplicaLoadSummary.of(3, 200, 40, 2);
        var update =
                new LoadUpdate(
                        0x0102030405060708L,
                        300,
                        false,
                        true,
                        91,
                        5,
                        List.of("replica-1", "replica-2"),
                        List.of(
                                new LoadUpdate.Change(5, failing),
                                new LoadUpdate.Change(
                                        200, ReplicaLoadSummary.of(70, 13_300, 0, 0))),
                        Optional.of(Map.of("north/chat", 4)));
        var golden = new GoldenBytes("load-update.txt");
        golden.check("update", update.write(new RecordWriter()).bytes());
        var read = LoadUpdate.read(new RecordReader(golden.bytes("update"), false));
        golden.check("update", read.write(new RecordWriter()).bytes());
        var suspected = new LoadSummary();
        suspected.addReplica("replica-1", 3, 200, true).setFailures(2);
        golden.check("suspected", suspected.writeSuspected(new RecordWriter(), 4).bytes());
        assertEquals(
                2,
                LoadSummary.readSuspected(new RecordReader(golden.bytes("suspected"), false))
                        .replicaLoad("replica-1")
                        .failures());
    }
}
