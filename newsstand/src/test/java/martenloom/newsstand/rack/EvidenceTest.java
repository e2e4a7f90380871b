package martenloom.newsstand.rack;

import static org.junit.jupiter.api.Assertions.*;

import martenloom.galley.fleet.*;
import martenloom.galley.props.*;
import martenloom.galley.record.*;
import martenloom.galley.tally.*;
import org.junit.jupiter.api.*;

/** An edge among many sees little of each replica itself: what the others of its hall hear, and what was learned of the service, counts. */
final class EvidenceTest {
    private static final Props PROPS = Props.parse("NodeName = \"e\"\nIpAddress = \"10.0.0.1\"\nZone = \"a\"\nRegion = \"g\"\nInternalPortRange = [1,2]\nSeedNodes = []\nServes = []\n[Zones]\na = \"g\"\n[ListenAddresses]\n");
    private final Rack rack = new Rack(PROPS);

    private Rack.Slot slot(String id) {
        var r = new Rows.Replica();
        r.id = id;
        r.service = "s";
        r.address = "10.0.0.9:80";
        r.hall = "a";
        r.seq = 1;
        rack.take(r);
        var s = rack.slot(id).get();
        s.heardUs = 0;
        return s;
    }

    @Test
    void aDoubtCountsOnlyWhileNobodyOfTheHallHearsTheReplica() {
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
        var a = Tally.ofEdge();
        a.put("i", 1, 0, true);
        a.put("k", 1, 0, false).heard = 1;
        var b = Tally.ofEdge();
        b.put("i", 2, 0, false).heard = 1;
        var t = Tally.read(new Rec.In(new Tally().add(a).add(b).doubtful().write(new Rec.Out()).bytes(), false));
        assertEquals(1, t.load("i").doubts);
        assertEquals(1, t.load("i").heard);
        assertEquals(0, t.load("k").heard, "nobody doubts it, so it is not told");
        assertEquals(0, new Tally().add(b).less(b).load("i").heard);
    }

    @Test
    void replicasSeldomSeenReadAtTheRateOfTheirService() {
        var s = slot("i");
        var other = slot("k");
        var first = other.rate;
        for (var n = 0; n < 30; n++) {
            rack.learnRate(s, first * 2);
        }
        assertTrue(s.rate > first * 1.9);
        assertTrue(other.rate > first * 1.8, "it was never seen itself");
        var own = s.rate;
        for (var n = 0; n < 30; n++) {
            rack.learnRate(other, first);
        }
        assertEquals(own, s.rate, "seen often enough itself");
        assertTrue(other.rate < first * 2);
    }
}
