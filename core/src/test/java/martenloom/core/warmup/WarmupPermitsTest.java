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
 * The permits that homes lend for a replica that is warming up never add up to more than the rule
 * in any second, whoever comes and goes.
 */
final class WarmupPermitsTest {
    private static final long SECOND_US = 1_000_000;

    @Test
    void fewEdgesShareEvenlyAndManyInTurn() {
        var permits = new WarmupPermits(0, true);
        assertEquals(5, permits.lend("r", "a", 17, 3, 0));
        assertEquals(5, permits.lend("r", "b", 17, 3, 0));
        assertEquals(5, permits.lend("r", "c", 17, 3, 0));
        assertEquals(2, permits.lend("r", "late", 17, 4, 0), "what is left");
        assertEquals(0, permits.lend("r", "later", 17, 5, 0));
        var many = new WarmupPermits(0, true);
        var lentToMany = 0;
        for (var i = 0; i < 40; i++) {
            lentToMany += many.lend("r", "e" + i, 22, 40, 0);
        }
        assertEquals(22, lentToMany);
        assertEquals(
                1,
                many.lend("r", "e39", 22, 40, WarmupPermits.RESERVATION_US + 1),
                "free again when nobody asks any more");
    }

    @Test
    void aRestartedHomeLendsNothingUntilWhatItLentHasEnded() {
        var permits = new WarmupPermits(10 * SECOND_US, false);
        assertEquals(0, permits.lend("r", "a", 17, 3, 12 * SECOND_US));
        assertEquals(
                5, permits.lend("r", "a", 17, 3, 10 * SECOND_US + WarmupPermits.RESERVATION_US));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void inNoSecondIsMoreSentThanTheShare(long seed) {
        var random = new Random(seed);
        var share = 3 + random.nextInt(20);
        var permits = new WarmupPermits(0, true);
        var until = new HashMap<String, Long>();
        var lent = new HashMap<String, Integer>();
        var sends = new ArrayDeque<Long>();
        var own = new HashMap<String, ArrayDeque<Long>>();
        var edges = 1 + random.nextInt(30);
        for (var now = 0L; now < 40 * SECOND_US; now += 10_000) {
            if (random.nextInt(300) == 0) {
                edges = 1 + random.nextInt(30);
            }
            for (var i = 0; i < edges; i++) {
                var edge = "e" + i;
                if (random.nextInt(40) == 0) {
                    lent.put(edge, permits.lend("r", edge, share, edges, now));
                    until.put(edge, now + WarmupPermits.PERMIT_US);
                }
            }
            for (var edge : lent.keySet()) {
                var recent = own.computeIfAbsent(edge, unused -> new ArrayDeque<>());
                while (!recent.isEmpty() && now - recent.peekFirst() > 1_050_000) {
                    recent.pollFirst();
                }
                if (now < until.get(edge) && recent.size() < lent.get(edge)) {
                    recent.addLast(now);
                    sends.addLast(now);
                }
            }
            while (!sends.isEmpty() && now - sends.peekFirst() >= SECOND_US) {
                sends.pollFirst();
            }
            assertTrue(sends.size() <= share, sends.size() + " in a second, " + share + " allowed");
        }
    }
}
