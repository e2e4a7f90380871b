package martenloom.autoscaler;

import static martenloom.autoscaler.ScalingField.CEILING;
import static martenloom.autoscaler.ScalingField.DELAY;
import static martenloom.autoscaler.ScalingField.FLOOR;
import static martenloom.autoscaler.ScalingField.STEP;
import static martenloom.autoscaler.ScalingField.TARGET;
import static martenloom.autoscaler.ScalingField.UTILIZATION;
import static martenloom.autoscaler.ScalingField.WINDOW;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The four rules of the source, its worked figures, both ends of every range, and seeded loads. */
final class ReplicaCountControllerTest {
    private static final long SECOND_US = 1_000_000;
    private static final int CAPACITY = 10;

    private long nowUs;

    /** Settings from pairs of a field and its value. */
    private static ScalingSettings settings(Object... fieldsAndValues) {
        var changes = new EnumMap<ScalingField, Double>(ScalingField.class);
        for (var i = 0; i < fieldsAndValues.length; i += 2) {
            var value = (Number) fieldsAndValues[i + 1];
            changes.put((ScalingField) fieldsAndValues[i], value.doubleValue());
        }
        return ScalingSettings.DEFAULT.with("m", changes);
    }

    private ReplicaCountController controller(ScalingSettings settings, int desired) {
        return new ReplicaCountController(settings, desired, nowUs);
    }

    private static ReplicaCounts counts(int registered, int running) {
        return new ReplicaCounts(registered, running, CAPACITY);
    }

    /** Runs whole windows of a steady load, a sample a second; returns the number desired. */
    private int runWindows(
            ReplicaCountController controller, int load, int windows, int registered) {
        for (var i = 0; i < windows; i++) {
            var due = false;
            while (!due) {
                nowUs += SECOND_US;
                due = controller.sample(load, true, nowUs);
            }
            controller.decide(counts(registered, controller.desired()), nowUs);
        }
        return controller.desired();
    }

    @Test
    void twentyFiveInFlightWithTenAtSeventyPercentAreFour() {
        var controller = controller(settings(TARGET, 10), 1);
        assertEquals(4, runWindows(controller, 25, 1, 9));
        assertEquals(25, controller.average());
        assertEquals(4, ReplicaCountController.wanted(25, 7));
        assertEquals(4, ReplicaCountController.wanted(28, 7));
        assertEquals(5, ReplicaCountController.wanted(28.01, 7));
        assertEquals(0, ReplicaCountController.wanted(0, 7));
    }

    @Test
    void loadIsAveragedOverTheWindow() {
        var controller = controller(settings(TARGET, 10), 1);
        for (var i = 1; i < 60; i++) {
            nowUs += SECOND_US;
            assertFalse(controller.sample(i % 2 * 50, true, nowUs));
        }
        nowUs += SECOND_US;
        assertTrue(controller.sample(0, true, nowUs));
        assertEquals(4, controller.decide(counts(9, 1), nowUs), "50 and 0 by turns are 25");
    }

    @Test
    void anExcessOfEightFallsToFourTwoOne() {
        var settings = settings(WINDOW, 10, DELAY, 30, TARGET, 10);
        for (var wanted : new int[] {0, 2}) {
            var controller = controller(settings, wanted + 8);
            var seen = new ArrayList<Integer>();
            for (var i = 0; i < 24; i++) {
                var excess = runWindows(controller, wanted * 7, 1, 12) - wanted;
                if (seen.isEmpty() || seen.get(seen.size() - 1) != excess) {
                    seen.add(excess);
                }
            }
            assertEquals(List.of(8, 4, 2, 1, 0), seen);
        }
    }

    @Test
    void theDelayRunsWholeAndReturningLoadResetsIt() {
        var controller = controller(settings(WINDOW, 10, DELAY, 30, TARGET, 10), 4);
        assertEquals(4, runWindows(controller, 0, 3, 4));
        assertEquals(ScalingPhase.WAITING, controller.phase());
        assertEquals(10 * SECOND_US, controller.delayLeftUs(nowUs));
        assertEquals(4, runWindows(controller, 25, 1, 4), "load is back within the delay");
        assertEquals(ScalingPhase.STEADY, controller.phase());
        assertEquals(4, runWindows(controller, 0, 3, 4), "the delay began anew");
        assertEquals(2, runWindows(controller, 0, 1, 4));
        assertEquals(2, runWindows(controller, 0, 2, 4), "and begins anew after each step");
        assertEquals(1, runWindows(controller, 0, 1, 4));
    }

    @Test
    void floorAndCeilingHoldAndTheDefaultCeilingIsWhatIsRegistered() {
        var settings = settings(WINDOW, 10, DELAY, 0, TARGET, 10, FLOOR, 2, CEILING, 5);
        var bounded = controller(settings, 3);
        assertEquals(5, runWindows(bounded, 1000, 1, 9));
        assertEquals(2, runWindows(bounded, 0, 9, 9));
        var unbounded = controller(settings(TARGET, 10), 3);
        assertEquals(7, runWindows(unbounded, 1000, 1, 7));
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 3600})
    void theShortestAndTheLongestWindowWork(int windowS) {
        var controller = controller(settings(WINDOW, windowS, TARGET, 10), 1);
        var startUs = nowUs;
        assertEquals(4, runWindows(controller, 25, 1, 9));
        assertEquals(windowS * SECOND_US, nowUs - startUs);
    }

    @Test
    void theShortestAndTheLongestDelayWork() {
        var none = settings(WINDOW, 10, DELAY, 0, TARGET, 10);
        assertEquals(
                4,
                runWindows(controller(none, 8), 0, 1, 8),
                "a delay of nothing steps at each decision");
        var longest = controller(settings(WINDOW, 10, DELAY, 3600, TARGET, 10), 8);
        assertEquals(8, runWindows(longest, 0, 360, 8));
        assertEquals(4, runWindows(longest, 0, 1, 8));
    }

    @Test
    void theSmallestStepWorks() {
        var smallest = settings(WINDOW, 10, DELAY, 0, STEP, 1, TARGET, 10);
        assertEquals(299, runWindows(controller(smallest, 300), 297 * 7, 1, 300), "one at least");
        assertEquals(
                297, runWindows(controller(smallest, 300), 0, 1, 300), "one in a hundred at most");
    }

    @Test
    void theLowestAndTheHighestUtilizationWork() {
        assertEquals(25, ReplicaCountController.wanted(25, 100 * 0.01));
        var highest = controller(settings(UTILIZATION, 100, TARGET, 10), 1);
        assertEquals(3, runWindows(highest, 25, 1, 9));
    }

    @Test
    void aWindowInWhichTooFewEdgesWereHeardMayRaiseAndNeverLower() {
        var controller = controller(settings(WINDOW, 10, DELAY, 0, TARGET, 10), 4);
        nowUs += 5 * SECOND_US;
        controller.sample(0, false, nowUs);
        nowUs += 5 * SECOND_US;
        assertTrue(controller.sample(0, true, nowUs));
        assertEquals(4, controller.decide(counts(9, 4), nowUs));
        nowUs += 10 * SECOND_US;
        controller.sample(60, false, nowUs);
        assertEquals(9, controller.decide(counts(9, 4), nowUs));
    }

    @Test
    void fromZeroTheFirstWaitingRequestStartsOneReplica() {
        var controller = controller(settings(DELAY, 0, TARGET, 10), 0);
        nowUs += SECOND_US / 5;
        assertFalse(controller.sample(0, true, nowUs));
        nowUs += SECOND_US / 5;
        assertTrue(controller.sample(1, true, nowUs), "no window is waited for");
        assertEquals(1, controller.decide(counts(4, 0), nowUs));
    }

    @Test
    void aRejectedDecisionIsShownAndHeld() {
        var controller = controller(settings(WINDOW, 10, DELAY, 10, TARGET, 10), 4);
        assertEquals(2, runWindows(controller, 0, 2, 4));
        controller.rejected(4, "model 'm' would run nowhere", nowUs);
        assertEquals(4, controller.desired());
        assertEquals(ScalingPhase.HELD, controller.phase());
        assertTrue(controller.reason().contains("nowhere"));
    }

    private static ScalingSettings randomSettings(Random random) {
        var floor = random.nextInt(4);
        var ceiling = Math.max(1, floor + random.nextInt(20));
        var delayS = random.nextInt(60);
        var stepPercent = 1 + random.nextInt(50);
        var target = 1 + random.nextInt(30);
        var utilization = 1 + random.nextInt(100);
        return settings(
                WINDOW,
                10,
                DELAY,
                delayS,
                STEP,
                stepPercent,
                TARGET,
                target,
                UTILIZATION,
                utilization,
                FLOOR,
                floor,
                CEILING,
                ceiling);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void underAnyLoadNeitherBoundNorPaceIsBroken(long seed) {
        var random = new Random(seed);
        var settings = randomSettings(random);
        var floor = settings.floor();
        var ceiling = settings.ceiling();
        var controller = controller(settings, floor + random.nextInt(ceiling - floor + 1));
        var loweredUs = nowUs - 3600 * SECOND_US;
        var load = 0;
        for (var i = 0; i < 20_000; i++) {
            nowUs += SECOND_US;
            load = random.nextInt(40) == 0 ? random.nextInt(3) * random.nextInt(400) : load;
            var complete = random.nextInt(200) > 0;
            if (!controller.sample(load, complete, nowUs)) {
                continue;
            }
            var before = controller.desired();
            var after = controller.decide(counts(1000, before), nowUs);
            assertTrue(after >= floor && after <= ceiling, after + " in " + floor + ".." + ceiling);
            if (after < before) {
                assertTrue(
                        nowUs - loweredUs >= settings.delayS() * SECOND_US,
                        "two steps down within a delay");
                var most = Math.max(1, before * settings.stepPercent() / 100);
                assertTrue(
                        before - after <= most,
                        (before - after) + " of " + before + ", at most " + most);
                loweredUs = nowUs;
            } else if (after > before) {
                loweredUs = nowUs - 3600 * SECOND_US;
            }
        }
    }
}
