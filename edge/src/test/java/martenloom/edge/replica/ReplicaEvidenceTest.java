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
final class ReplicaEvidenceTest {
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

    private ReplicaEndpoint replica(String id) {
        var registration = new ReplicaRecord();
        registration.setId(id);
        registration.setService("s");
        registration.setAddress("10.0.0.9:80");
        registration.setZone("a");
        registration.setSequence(1);
        replicaTable.register(registration);
        var replica = replicaTable.find(id).get();
        replica.reachability().onHeard(0);
        return replica;
    }

    @Test
    void aSuspicionCountsOnlyWhileNobodyOfTheZoneHearsTheReplica() {
        var replica = replica("i");
        var now = 1_000_000_000L;
        replica.onPeerTotals(4, 0, 1, 0, now);
        assertTrue(replica.reachability().peersSuspect(now));
        assertFalse(replica.reachability().peersHear(now));
        replica.onPeerTotals(4, 0, 1, 2, now);
        assertFalse(
                replica.reachability().peersSuspect(now),
                "one edge's silence is not the replica's");
        assertTrue(replica.reachability().peersHear(now));
        assertFalse(replica.reachability().peersHear(now + 700_000), "old totals say nothing");
        replica.onPeerTotals(4, 0, 0, 0, now);
        assertFalse(replica.reachability().peersSuspect(now));
    }

    @Test
    void whoHeardASuspectedReplicaIsReportedWithTheSuspicion() {
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
        assertEquals(
                0, t.replicaLoad("k").hearingEdges(), "nobody suspects it, so it is not reported");
        assertEquals(0, new LoadSummary().add(b).subtract(b).replicaLoad("i").hearingEdges());
    }

    @Test
    void replicasSeldomSeenReadAtTheRateOfTheirService() {
        var replica = replica("i");
        var other = replica("k");
        var first = other.latency().prefillTokensPerMs();
        for (var n = 0; n < 30; n++) {
            replicaTable.learnPrefillRate(replica, first * 2);
        }
        assertTrue(replica.latency().prefillTokensPerMs() > first * 1.9);
        assertTrue(other.latency().prefillTokensPerMs() > first * 1.8, "it was never seen itself");
        var own = replica.latency().prefillTokensPerMs();
        for (var n = 0; n < 30; n++) {
            replicaTable.learnPrefillRate(other, first);
        }
        assertEquals(own, replica.latency().prefillTokensPerMs(), "seen often enough itself");
        assertTrue(other.latency().prefillTokensPerMs() < first * 2);
    }
}
