package martenloom.newsstand.rack;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.*;

/** Who fails too large a part is put aside, for twice as long each time up to a bound, and comes back by degrees. */
final class FitnessTest {
    private static final long S = 1_000_000;

    @Test
    void aPartOfBadAnswersIsEnoughAndAFewAreNot() {
        assertFalse(Fitness.unfit(0, 2));
        assertTrue(Fitness.unfit(6, 3));
        assertFalse(Fitness.unfit(20, 3));
        var f = new Fitness();
        for (var i = 0; i < 3; i++) {
            f.answered(false, S);
        }
        assertTrue(f.judge(f.ok(S), f.bad(S), S));
        assertEquals(0, f.bad(9 * S), "old answers are forgotten");
    }

    @Test
    void theTimeAsideDoublesToABoundAndTheReturnIsGradual() {
        var f = new Fitness();
        var now = S;
        var last = 0L;
        for (var i = 0; i < 5; i++) {
            assertTrue(f.judge(0, 9, now));
            f.putAside(now);
            var from = now;
            assertFalse(f.judge(0, 9, now), "not twice for the same");
            while (f.state(now) == Fitness.State.ASIDE) {
                now += 10_000;
            }
            assertTrue(now - from >= last && now - from <= Fitness.MOST_US + 10_000);
            assertTrue(i == 0 || now - from >= Math.min(Fitness.MOST_US, 2 * (last - 10_000)));
            last = now - from;
            assertEquals(Fitness.State.RETURNING, f.state(now));
            assertTrue(f.costUs(now) > f.costUs(now + S), "the cost wears off");
            assertFalse(f.judge(0, 9, now), "what it did before is not held against it");
            now += 1_500_000;
        }
        assertEquals(Fitness.State.FIT, f.state(now + 2 * S));
        assertEquals(0, f.costUs(now + 2 * S));
    }
}
