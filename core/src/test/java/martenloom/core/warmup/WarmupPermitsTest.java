package martenloom.core.warmup;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What homes lend at a cold replica never adds up to more than the rule in any second, whoever
 * comes and goes.
 */
final class WarmupPermitsTest {
    private static final long S = 1_000_000;

    @Test
    void fewEdgesShareEvenlyAndManyInTurn() {
        var w = new WarmupPermits(0, true);
        assertEquals(5, w.lend("r", "a", 17, 3, 0));
        assertEquals(5, w.lend("r", "b", 17, 3, 0));
        assertEquals(5, w.lend("r", "c", 17, 3, 0));
        assertEquals(2, w.lend("r", "late", 17, 4, 0), "what is left");
        assertEquals(0, w.lend("r", "later", 17, 5, 0));
        var many = new WarmupPermits(0, true);
        var n = 0;
        for (var i = 0; i < 40; i++) {
            n += many.lend("r", "e" + i, 22, 40, 0);
        }
        assertEquals(22, n);
        assertEquals(
                1,
                many.lend("r", "e39", 22, 40, WarmupPermits.RESERVATION_US + 1),
                "free again when nobody asks any more");
    }

    @Test
    void aRestartedHomeLendsNothingUntilWhatItLentHasEnded() {
        var w = new WarmupPermits(10 * S, false);
        assertEquals(0, w.lend("r", "a", 17, 3, 12 * S));
        assertEquals(5, w.lend("r", "a", 17, 3, 10 * S + WarmupPermits.RESERVATION_US));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void inNoSecondIsMoreSentThanTheShare(long seed) {
        var r = new Random(seed);
        var share = 3 + r.nextInt(20);
        var w = new WarmupPermits(0, true);
        var until = new HashMap<String, Long>();
        var lent = new HashMap<String, Integer>();
        var sends = new ArrayDeque<Long>();
        var own = new HashMap<String, ArrayDeque<Long>>();
        var edges = 1 + r.nextInt(30);
        for (var now = 0L; now < 40 * S; now += 10_000) {
            if (r.nextInt(300) == 0) {
                edges = 1 + r.nextInt(30);
            }
            for (var i = 0; i < edges; i++) {
                var e = "e" + i;
                if (r.nextInt(40) == 0) {
                    lent.put(e, w.lend("r", e, share, edges, now));
                    until.put(e, now + WarmupPermits.PERMIT_US);
                }
            }
            for (var e : lent.keySet()) {
                var q = own.computeIfAbsent(e, k -> new ArrayDeque<>());
                while (!q.isEmpty() && now - q.peekFirst() > 1_050_000) {
                    q.pollFirst();
                }
                if (now < until.get(e) && q.size() < lent.get(e)) {
                    q.addLast(now);
                    sends.addLast(now);
                }
            }
            while (!sends.isEmpty() && now - sends.peekFirst() >= S) {
                sends.pollFirst();
            }
            assertTrue(sends.size() <= share, sends.size() + " in a second, " + share + " allowed");
        }
    }
}
