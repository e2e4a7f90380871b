package martenloom.edge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.load.LoadSummary;
import martenloom.common.settings.Settings;
import martenloom.common.settings.SettingsFile;
import org.junit.jupiter.api.Test;

/**
 * An edge among many sees little of each replica itself: what the others of its zone hear, and what
 * was learned of the service, counts.
 */
final class EvidenceTest {
    private static final Settings SETTINGS =
            SettingsFile.parse(
                    "NodeName = \"e\"\n"
                            + "IpAddress = \"10.0.0.1\"\n"
                            + "Zone = \"a\"\n"
                            + "Region = \"g\"\n"
                            + "InternalPortRange = [1,2]\n"
                            + "SeedNodes = []\n"
                            + "Serves = []\n"
                            + "[Zones]\n"
                            + "a = \"g\"\n"
                            + "[ListenAddresses]\n");
    private final ReplicaTable replicaTable = new ReplicaTable(SETTINGS);

    private ReplicaTable.Slot slot(String id) {
        var r = new ReplicaRecord();
        r.setId(id);
        r.setService("s");
        r.setAddress("10.0.0.9:80");
        r.setZone("a");
        r.setSequence(1);
        replicaTable.take(r);
        var s = replicaTable.slot(id).get();
        s.heardUs = 0;
        return s;
    }

    @Test
    void aDoubtCountsOnlyWhileNobodyOfTheZoneHearsTheReplica() {
        var s = slot("i");
        var now = 1_000_000_000L;
        s.others(4, 0, 1, 0, now);
        assertTrue(s.othersDoubt(now));
        assertFalse(s.othersHear(now));
        s.others(4, 0, 1, 2, now);
        assertFalse(s.othersDoubt(now), "one edge's silence is not the replica's");
        assertTrue(s.othersHear(now));
        assertFalse(s.othersHear(now + 700_000), "old sums say nothing");
        s.others(4, 0, 0, 0, now);
        assertFalse(s.othersDoubt(now));
    }

    @Test
    void whoHeardADoubtedReplicaIsToldWithTheDoubt() {
        var a = LoadSummary.ofEdge();
        a.addReplica("i", 1, 0, true);
        a.addReplica("k", 1, 0, false).setHearingEdges(1);
        var b = LoadSummary.ofEdge();
        b.addReplica("i", 2, 0, false).setHearingEdges(1);
        var t =
                LoadSummary.read(
                        new RecordReader(
                                new LoadSummary()
                                        .add(a)
                                        .add(b)
                                        .onlySuspected()
                                        .write(new RecordWriter())
                                        .bytes(),
                                false));
        assertEquals(1, t.replicaLoad("i").suspectingEdges());
        assertEquals(1, t.replicaLoad("i").hearingEdges());
        assertEquals(0, t.replicaLoad("k").hearingEdges(), "nobody doubts it, so it is not told");
        assertEquals(0, new LoadSummary().add(b).subtract(b).replicaLoad("i").hearingEdges());
    }

    @Test
    void replicasSeldomSeenReadAtTheRateOfTheirService() {
        var s = slot("i");
        var other = slot("k");
        var first = other.rate;
        for (var n = 0; n < 30; n++) {
            replicaTable.learnRate(s, first * 2);
        }
        assertTrue(s.rate > first * 1.9);
        assertTrue(other.rate > first * 1.8, "it was never seen itself");
        var own = s.rate;
        for (var n = 0; n < 30; n++) {
            replicaTable.learnRate(other, first);
        }
        assertEquals(own, s.rate, "seen often enough itself");
        assertTrue(other.rate < first * 2);
    }
}
