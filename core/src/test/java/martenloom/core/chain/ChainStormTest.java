package martenloom.core.chain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Storms over the chain and its view: a seeded world with delays, drops, cuts, crashes in the
 * middle of a sync, one wiped disk at a time, orderly leaves, and replacements by new addresses,
 * one or two at a time. Whatever was acknowledged must be there in the end, a base has one winner,
 * two views never both acknowledge, and the roster ends as the machines that are there.
 */
final class ChainStormTest {
    private static final int N = 5;

    @Test
    void aMemberCutOffKnowsThatItIsStale() {
        var w = new ChainWorld(99, N, 3);
        for (var i = 0; i < 8000 && !w.grown(N); i++) {
            w.step();
        }
        var n = w.nodes.values().stream().filter(x -> !x.core.get().isHead()).findFirst().get();
        for (var x : w.nodes.keySet()) {
            w.cut.add(n.ip + ">" + x);
            w.cut.add(x + ">" + n.ip);
        }
        var t0 = w.now;
        while (w.now < t0 + 6_000_000) {
            w.step();
            assertTrue(
                    n.core.get().stalenessUs(w.now) > w.now - t0 - 500_000,
                    "bidding in vain is not news");
        }
    }

    /**
     * A head and one follower are cut off together: the head's heartbeats are no word of a
     * majority.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void theFollowerOfACutOffHeadKnowsThatItIsStale(long seed) {
        var world = new ChainWorld(seed, N, 3);
        world.slow = false;
        world.until("grown", 40_000_000, world::whole);
        world.run(2_000_000);
        var chain = world.head().chain();
        var pair = chain.subList(0, 2);
        for (var inside : pair) {
            for (var outside : chain.subList(2, N)) {
                world.cut.add(inside + ">" + outside);
                world.cut.add(outside + ">" + inside);
            }
        }
        var cutAt = world.now;
        while (world.now < cutAt + 6_000_000) {
            world.step();
            for (var ip : pair) {
                var staleUs = world.nodes.get(ip).core.get().stalenessUs(world.now);
                assertTrue(
                        staleUs >= world.now - cutAt,
                        ip + " takes itself for " + staleUs + " us old");
            }
        }
    }

    /**
     * Two daemons that are long gone: while four must stay nobody is taken off; when three are
     * enough, both are, one by one.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aMemberLongGoneIsTakenOffOneAtATimeAndNeverBelowWhatIsNeeded(long seed) {
        var w = new ChainWorld(seed, N, 3);
        for (var i = 0; i < 8000 && !w.grown(N); i++) {
            w.step();
        }
        w.heal();
        for (var i = 0; i < 2000; i++) {
            w.step();
        }
        assertTrue(
                w.nodes.values().stream().noneMatch(n -> n.core.get().role() == MemberRole.LEARNER),
                "who is new has learned");
        w.nodes.values().forEach(n -> n.core.get().setMinimumRosterSize(4));
        var gone = w.nodes.values().stream().filter(x -> !x.core.get().isHead()).limit(2).toList();
        gone.forEach(
                n -> {
                    w.crash(n, false);
                    n.upAt = Long.MAX_VALUE;
                });
        var t0 = w.now;
        while (w.now < t0 + ChainMember.REMOVE_ABSENT_AFTER_US - 5_000_000) {
            w.step();
        }
        assertEquals(N, w.head().committed().roster().members().size(), "not before its time");
        while (w.now < t0 + 2 * ChainMember.REMOVE_ABSENT_AFTER_US) {
            w.step();
        }
        assertEquals(
                N,
                w.head().committed().roster().members().size(),
                "three in the chain are fewer than four");
        w.nodes.values().forEach(n -> n.core.ifPresent(c -> c.setMinimumRosterSize(3)));
        while (w.now < t0 + 4 * ChainMember.REMOVE_ABSENT_AFTER_US) {
            w.step();
        }
        var r = w.head().committed().roster().members();
        assertEquals(3, r.size(), "both are taken off, one after the other");
        assertTrue(gone.stream().noneMatch(n -> r.contains(n.ip)));
        gone.forEach(n -> n.upAt = w.now);
        for (var i = 0; i < 4000 && !w.grown(N); i++) {
            w.step();
        }
        assertTrue(w.grown(N), "who comes back is enrolled again");
        var before = w.acked.size();
        for (var i = 0; i < 1000 && w.acked.size() == before; i++) {
            if (i % 200 == 0) {
                w.ask();
            }
            w.step();
        }
        assertTrue(w.acked.size() > before);
    }

    @ParameterizedTest
    @ValueSource(
            longs = {
                1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23,
                24
            })
    void whatWasAcknowledgedStays(long seed) {
        var w = new ChainWorld(seed, N, 3);
        for (var i = 0; i < 8000 && !w.grown(N); i++) {
            w.step();
        }
        assertTrue(w.grown(N), "the core grows to all its daemons");
        for (var i = 0; i < 12_000; i++) {
            w.step();
            if (w.rnd.nextInt(20) == 0) {
                w.ask();
            }
            if (w.rnd.nextInt(200) == 0) {
                w.trouble();
            }
        }
        w.heal();
        for (var i = 0; i < 3000; i++) {
            w.step();
        }
        w.until("whole again", 15_000_000, w::whole);
        var heads =
                w.nodes.values().stream()
                        .filter(n -> n.core.isPresent() && n.core.get().isHead())
                        .toList();
        assertEquals(1, heads.size(), "one head when calm");
        var s = heads.get(0).core.get().committed();
        assertFalse(w.acked.isEmpty(), "something was acknowledged");
        var newest = Collections.max(w.acked.keySet());
        assertTrue(
                s.configuration().revision() >= newest,
                "revision "
                        + s.configuration().revision()
                        + " is behind the acknowledged "
                        + newest);
        if (s.configuration().revision() == newest) {
            assertEquals(w.acked.get(newest), s.configuration().json());
        }
        w.nodes
                .values()
                .forEach(
                        n ->
                                assertEquals(
                                        s.configuration().revision(),
                                        n.core.get().committed().configuration().revision(),
                                        "all members know the newest"));
        var many = w.acked.size();
        for (var i = 0; i < 1000 && w.acked.size() == many; i++) {
            if (i % 200 == 0) {
                w.ask();
            }
            w.step();
        }
        assertTrue(w.acked.size() > many, "a calm chain acknowledges");
    }
}
