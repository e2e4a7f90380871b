package martenloom.edge.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.List;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.load.LoadPublication;
import martenloom.common.load.LoadSummary;
import martenloom.edge.dispatch.RequestDispatcher;
import martenloom.edge.replica.InFlightAttempt;
import martenloom.edge.replica.ReplicaFixture;
import martenloom.edge.replica.ReplicaTable;
import org.junit.jupiter.api.Test;

/** What an edge makes of the stream of its home, and of a home of the first version. */
final class ClusterLoadViewTest {
    private static final long NOW_US = 1_000_000_000;
    private static final long ASK_AGAIN_US = 500_000;
    private static final int MAX_CHANGES = 64;
    private static final int MAX_SUSPECTED = 64;

    /** An attempt that is never notified of anything. */
    private static final class QuietAttempt implements InFlightAttempt {
        @Override
        public boolean connecting() {
            return false;
        }

        @Override
        public boolean prefilled() {
            return false;
        }

        @Override
        public long sentUs() {
            return NOW_US;
        }

        @Override
        public boolean readingPaused() {
            return false;
        }

        @Override
        public long awaitedSinceUs() {
            return NOW_US;
        }

        @Override
        public void onReplicaUnresponsive(long nowUs) {
            // nothing is in flight but its number
        }
    }

    private final ReplicaTable table = ReplicaFixture.table();
    private final RequestDispatcher dispatcher =
            new RequestDispatcher(
                    Eventloop.builder().withCurrentThread().build(),
                    ReplicaFixture.settings(),
                    table);
    private final LoadSampler sampler = new LoadSampler(table, dispatcher, "10.0.0.1", 7);
    private final List<byte[]> toHome = new ArrayList<>();
    private final ClusterLoadView view =
            new ClusterLoadView(table, dispatcher, sampler, toHome::add);
    private final LoadPublication home = new LoadPublication();

    private static LoadSummary loads(Object... replicaAndInFlight) {
        var loads = LoadSummary.ofEdge();
        for (var i = 0; i < replicaAndInFlight.length; i += 2) {
            var inFlight = (int) replicaAndInFlight[i + 1];
            loads.addReplica((String) replicaAndInFlight[i], inFlight, inFlight * 100, false);
        }
        return loads;
    }

    private static RecordReader record(long ownSequence, byte[] body, LoadSummary zone) {
        var out = new RecordWriter(RecordType.LOAD_UPDATE).varint(ownSequence).raw(body);
        return new RecordReader(zone.writeSuspected(out.varint(0), MAX_SUSPECTED).bytes(), true);
    }

    private RecordReader update(long ownSequence, LoadSummary current) {
        var body = home.writeUpdate(current, MAX_CHANGES, new RecordWriter()).bytes();
        return record(ownSequence, body, new LoadSummary());
    }

    private RecordReader snapshot(long ownSequence) {
        var body = home.writeSnapshot(new RecordWriter()).bytes();
        return record(ownSequence, body, new LoadSummary());
    }

    private int peersAt(String id) {
        return table.find(id).orElseThrow().load().peerInFlight(NOW_US);
    }

    @Test
    void theOwnPartIsSubtracted() {
        var one = ReplicaFixture.replica(table, "one");
        ReplicaFixture.replica(table, "two");
        view.onUpdate(snapshot(0), NOW_US);
        one.addAttempt(new QuietAttempt(), 50);
        assertTrue(sampler.sampleRecord(NOW_US).isPresent());
        view.onUpdate(update(1, loads("one", 5, "two", 3)), NOW_US);
        assertEquals(4, peersAt("one"));
        assertEquals(450, one.load().pendingPrefillTokens(NOW_US) - 50);
        assertEquals(3, peersAt("two"));
        one.addAttempt(new QuietAttempt(), 50);
        assertTrue(sampler.sampleRecord(NOW_US).isPresent());
        view.onUpdate(update(2, loads("one", 5, "two", 4)), NOW_US);
        assertEquals(3, peersAt("one"), "the total is the same, and two of it are ours now");
        assertEquals(4, peersAt("two"));
    }

    @Test
    void whatIsLeftForLaterUpdatesKeepsTheDifferenceOfItsTelling() {
        var one = ReplicaFixture.replica(table, "one");
        view.onUpdate(snapshot(0), NOW_US);
        view.onUpdate(update(0, loads("one", 5)), NOW_US);
        one.addAttempt(new QuietAttempt(), 50);
        assertTrue(sampler.sampleRecord(NOW_US).isPresent());
        var loads = loads("one", 6, "two", 90, "three", 80);
        var body = home.writeUpdate(loads, 1, new RecordWriter()).bytes();
        view.onUpdate(record(1, body, new LoadSummary()), NOW_US);
        assertEquals(5, peersAt("one"), "its new total was not told, nor was ours in the old one");
    }

    @Test
    void anUpdateThatDoesNotFollowIsNotTakenAndASnapshotIsAskedForOnce() {
        ReplicaFixture.replica(table, "one");
        view.onUpdate(update(0, loads("one", 5)), NOW_US);
        view.onUpdate(update(0, loads("one", 6)), NOW_US + 1);
        assertEquals(0, peersAt("one"));
        assertEquals(1, toHome.size());
        assertEquals(RecordType.LOAD_SUBSCRIPTION, toHome.get(0)[0]);
        view.onUpdate(update(0, loads("one", 7)), NOW_US + ASK_AGAIN_US);
        assertEquals(2, toHome.size(), "the first request may have been lost");
        view.onUpdate(snapshot(0), NOW_US);
        assertEquals(7, peersAt("one"));
        assertEquals(1, view.total().edgeCount());
    }

    @Test
    void aLoadThatIsToldBeforeTheRegistrationCounts() {
        view.onUpdate(snapshot(0), NOW_US);
        view.onUpdate(update(0, loads("late", 5)), NOW_US);
        ReplicaFixture.replica(table, "late");
        assertEquals(0, peersAt("late"));
        view.onUpdate(update(0, loads("late", 5)), NOW_US);
        assertEquals(5, peersAt("late"));
    }

    @Test
    void whatAFormerHomeSaidIsReplacedByTheSnapshotOfTheNext() {
        ReplicaFixture.replica(table, "one");
        var old = new RecordWriter(RecordType.TOTAL_LOAD).i64(0);
        loads("one", 9).write(old).i32(0);
        new LoadSummary().write(old);
        view.onTotal(new RecordReader(old.bytes(), true), NOW_US);
        assertEquals(9, peersAt("one"));
        assertEquals(1, toHome.size(), "a home that sends totals is asked for its stream");
        view.onUpdate(snapshot(0), NOW_US);
        assertEquals(0, peersAt("one"));
    }

    @Test
    void suspicionsOfTheZoneEndWhenTheyAreNoLongerTold() {
        var replica = ReplicaFixture.replica(table, "one");
        view.onUpdate(snapshot(0), NOW_US);
        var zone = new LoadSummary();
        zone.addReplica("one", 0, 0, true);
        var body = home.writeUpdate(loads(), MAX_CHANGES, new RecordWriter()).bytes();
        replica.reachability().onHeard(0);
        view.onUpdate(record(0, body, zone), NOW_US);
        assertTrue(replica.reachability().peersSuspect(NOW_US));
        view.onUpdate(update(0, loads()), NOW_US);
        assertFalse(replica.reachability().peersSuspect(NOW_US));
    }

    @Test
    void onlyReplicasWithSomethingToSayAreSampled() {
        var one = ReplicaFixture.replica(table, "one");
        ReplicaFixture.replica(table, "idle");
        var attempt = new QuietAttempt();
        one.addAttempt(attempt, 10);
        assertEquals(List.of(one), table.active());
        one.removeAttempt(attempt);
        one.health().onOutcome(true, NOW_US);
        sampler.sampleRecord(NOW_US);
        assertEquals(List.of(one), table.active(), "its outcome still counts");
        sampler.sampleRecord(NOW_US + 10_000_000);
        assertEquals(List.of(), table.active());
    }
}
