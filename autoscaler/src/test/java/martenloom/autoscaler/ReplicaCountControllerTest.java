package martenloom.autoscaler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Random;
import martenloom.common.error.MartenloomException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The four rules of the source, its worked figures, both ends of every range, and seeded loads. */
final class ReplicaCountControllerTest {
    private static final long S = 1_000_000;
    private long now;

    private static ScalingSettings settings(Object... fields) {
        var m = new EnumMap<ScalingField, Double>(ScalingField.class);
        for (var i = 0; i < fields.length; i += 2) {
            m.put((ScalingField) fields[i], ((Number) fields[i + 1]).doubleValue());
        }
        return ScalingSettings.DEFAULT.with("m", m);
    }

    private static ReplicaCounts fleet(int registered, int running) {
        return new ReplicaCounts(registered, running, 10);
    }

    /** Whole windows of a steady load, a sample a second. */
    private int windows(
            ReplicaCountController m, ScalingSettings p, int load, int n, int registered) {
        for (var w = 0; w < n; w++) {
            var due = false;
            while (!due) {
                now += S;
                due = m.sample(load, true, now);
            }
            m.decide(fleet(registered, m.desired()), now);
        }
        return m.desired();
    }

    @Test
    void twentyFiveInFlightWithTenAtSeventyPercentAreFour() {
        var p = settings(ScalingField.TARGET, 10);
        var m = new ReplicaCountController(p, 1, now);
        assertEquals(4, windows(m, p, 25, 1, 9));
        assertEquals(25, m.average());
        assertEquals(4, ReplicaCountController.wanted(25, 7));
        assertEquals(4, ReplicaCountController.wanted(28, 7));
        assertEquals(5, ReplicaCountController.wanted(28.01, 7));
        assertEquals(0, ReplicaCountController.wanted(0, 7));
    }

    @Test
    void loadIsAveragedOverTheWindow() {
        var p = settings(ScalingField.TARGET, 10);
        var m = new ReplicaCountController(p, 1, now);
        for (var i = 1; i < 60; i++) {
            now += S;
            assertFalse(m.sample(i % 2 * 50, true, now));
        }
        now += S;
        assertTrue(m.sample(0, true, now));
        assertEquals(4, m.decide(fleet(9, 1), now), "50 and 0 by turns are 25");
    }

    @Test
    void eightTooManyFallToFourTwoOne() {
        var p = settings(ScalingField.WINDOW, 10, ScalingField.DELAY, 30, ScalingField.TARGET, 10);
        for (var want : new int[] {0, 2}) {
            var m = new ReplicaCountController(p, want + 8, now);
            var seen = new ArrayList<Integer>();
            for (var i = 0; i < 24; i++) {
                var d = windows(m, p, want * 7, 1, 12) - want;
                if (seen.isEmpty() || seen.get(seen.size() - 1) != d) {
                    seen.add(d);
                }
            }
            assertEquals(List.of(8, 4, 2, 1, 0), seen);
        }
    }

    @Test
    void theDelayRunsWholeAndReturningLoadResetsIt() {
        var p = settings(ScalingField.WINDOW, 10, ScalingField.DELAY, 30, ScalingField.TARGET, 10);
        var m = new ReplicaCountController(p, 4, now);
        assertEquals(4, windows(m, p, 0, 3, 4));
        assertEquals(ScalingPhase.WAITING, m.phase());
        assertEquals(10 * S, m.delayLeftUs(now));
        assertEquals(4, windows(m, p, 25, 1, 4), "load is back within the delay");
        assertEquals(ScalingPhase.STEADY, m.phase());
        assertEquals(4, windows(m, p, 0, 3, 4), "the delay began anew");
        assertEquals(2, windows(m, p, 0, 1, 4));
        assertEquals(2, windows(m, p, 0, 2, 4), "and begins anew after each step");
        assertEquals(1, windows(m, p, 0, 1, 4));
    }

    @Test
    void floorAndCeilingHoldAndTheDefaultCeilingIsWhatIsRegistered() {
        var p =
                settings(
                        ScalingField.WINDOW,
                        10,
                        ScalingField.DELAY,
                        0,
                        ScalingField.TARGET,
                        10,
                        ScalingField.FLOOR,
                        2,
                        ScalingField.CEILING,
                        5);
        var m = new ReplicaCountController(p, 3, now);
        assertEquals(5, windows(m, p, 1000, 1, 9));
        assertEquals(2, windows(m, p, 0, 9, 9));
        var q = settings(ScalingField.TARGET, 10);
        assertEquals(7, windows(new ReplicaCountController(q, 3, now), q, 1000, 1, 7));
    }

    @Test
    void bothEndsOfTheRangesWork() {
        for (var w : new int[] {10, 3600}) {
            var p = settings(ScalingField.WINDOW, w, ScalingField.TARGET, 10);
            var m = new ReplicaCountController(p, 1, now);
            var t = now;
            assertEquals(4, windows(m, p, 25, 1, 9));
            assertEquals(w * S, now - t);
        }
        var p0 = settings(ScalingField.WINDOW, 10, ScalingField.DELAY, 0, ScalingField.TARGET, 10);
        assertEquals(
                4,
                windows(new ReplicaCountController(p0, 8, now), p0, 0, 1, 8),
                "a delay of nothing steps at each decision");
        var p1 =
                settings(
                        ScalingField.WINDOW, 10, ScalingField.DELAY, 3600, ScalingField.TARGET, 10);
        var m1 = new ReplicaCountController(p1, 8, now);
        assertEquals(8, windows(m1, p1, 0, 360, 8));
        assertEquals(4, windows(m1, p1, 0, 1, 8));
        var s1 =
                settings(
                        ScalingField.WINDOW,
                        10,
                        ScalingField.DELAY,
                        0,
                        ScalingField.STEP,
                        1,
                        ScalingField.TARGET,
                        10);
        assertEquals(
                299,
                windows(new ReplicaCountController(s1, 300, now), s1, 297 * 7, 1, 300),
                "one at least");
        assertEquals(
                297,
                windows(new ReplicaCountController(s1, 300, now), s1, 0, 1, 300),
                "one in a hundred at most");
        assertEquals(25, ReplicaCountController.wanted(25, 100 * 0.01));
        var u = settings(ScalingField.UTILIZATION, 100, ScalingField.TARGET, 10);
        assertEquals(3, windows(new ReplicaCountController(u, 1, now), u, 25, 1, 9));
    }

    @Test
    void aWindowInWhichTooFewEdgesWereHeardMayRaiseAndNeverLower() {
        var p = settings(ScalingField.WINDOW, 10, ScalingField.DELAY, 0, ScalingField.TARGET, 10);
        var m = new ReplicaCountController(p, 4, now);
        now += 5 * S;
        m.sample(0, false, now);
        now += 5 * S;
        assertTrue(m.sample(0, true, now));
        assertEquals(4, m.decide(fleet(9, 4), now));
        now += 10 * S;
        m.sample(60, false, now);
        assertEquals(9, m.decide(fleet(9, 4), now));
    }

    @Test
    void fromNothingTheFirstThatWaitsWakesOne() {
        var p = settings(ScalingField.DELAY, 0, ScalingField.TARGET, 10);
        var m = new ReplicaCountController(p, 0, now);
        assertFalse(m.sample(0, true, now += S / 5));
        assertTrue(m.sample(1, true, now += S / 5), "no window is waited for");
        assertEquals(1, m.decide(fleet(4, 0), now));
    }

    @Test
    void aRefusedDecisionIsShownAndHeld() {
        var p = settings(ScalingField.WINDOW, 10, ScalingField.DELAY, 10, ScalingField.TARGET, 10);
        var m = new ReplicaCountController(p, 4, now);
        assertEquals(2, windows(m, p, 0, 2, 4));
        m.rejected(4, "model 'm' would run nowhere", now);
        assertEquals(4, m.desired());
        assertEquals(ScalingPhase.HELD, m.phase());
        assertTrue(m.reason().contains("nowhere"));
    }

    @Test
    void valuesOutOfRangeNameModelFieldAndRange() {
        for (var f : ScalingField.values()) {
            var x = assertThrows(MartenloomException.class, () -> settings(f, -1));
            assertTrue(
                    x.getMessage().contains("'m' " + f.configurationName())
                            && x.getMessage().contains("from"),
                    x.getMessage());
        }
        assertThrows(MartenloomException.class, () -> settings(ScalingField.STEP, 51));
        assertThrows(MartenloomException.class, () -> settings(ScalingField.WINDOW, 9.5));
        assertThrows(
                MartenloomException.class,
                () -> settings(ScalingField.FLOOR, 3, ScalingField.CEILING, 2));
        assertThrows(MartenloomException.class, () -> ScalingSettings.parse("window"));
        assertThrows(MartenloomException.class, () -> ScalingSettings.parse("wondow=3"));
        assertEquals(10, ScalingSettings.parse("window=10,delay=5").windowS());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void underAnyLoadNeitherBoundNorPaceIsBroken(long seed) {
        var r = new Random(seed);
        var floor = r.nextInt(4);
        var ceiling = Math.max(1, floor + r.nextInt(20));
        var delay = r.nextInt(60);
        var step = 1 + r.nextInt(50);
        var p =
                settings(
                        ScalingField.WINDOW,
                        10,
                        ScalingField.DELAY,
                        delay,
                        ScalingField.STEP,
                        step,
                        ScalingField.TARGET,
                        1 + r.nextInt(30),
                        ScalingField.UTILIZATION,
                        1 + r.nextInt(100),
                        ScalingField.FLOOR,
                        floor,
                        ScalingField.CEILING,
                        ceiling);
        var m = new ReplicaCountController(p, floor + r.nextInt(ceiling - floor + 1), now);
        var lowered = now - 3600 * S;
        var load = 0;
        for (var i = 0; i < 20_000; i++) {
            now += S;
            load = r.nextInt(40) == 0 ? r.nextInt(3) * r.nextInt(400) : load;
            var enough = r.nextInt(200) > 0;
            if (!m.sample(load, enough, now)) {
                continue;
            }
            var was = m.desired();
            var d = m.decide(fleet(1000, was), now);
            assertTrue(d >= floor && d <= ceiling, d + " in " + floor + ".." + ceiling);
            if (d < was) {
                assertTrue(now - lowered >= delay * S, "two steps down within a delay");
                assertTrue(
                        was - d <= Math.max(1, was * step / 100),
                        (was - d) + " of " + was + " at " + step + " percent");
                lowered = now;
            } else if (d > was) {
                lowered = now - 3600 * S;
            }
        }
    }
}
