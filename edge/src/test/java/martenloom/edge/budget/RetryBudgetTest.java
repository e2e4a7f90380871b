package martenloom.edge.budget;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** The shares of all edges together stay inside the common budget in every window. */
final class RetryBudgetTest {
    private static final int EDGES = 7;
    private static final double RATIO = 0.2;
    private static final double SLACK = 54;
    private static final int WINDOW_S = 10;

    /** Tenths of a second: the length of the trial, of its busy part, and of a window. */
    private static final int STEPS = 400;

    private static final int BUSY_STEPS = 200;
    private static final int WINDOW_STEPS = 100;
    private static final long STEP_US = 100_000;
    private static final long FIRST_US = 5;
    private static final int REQUESTS_PER_STEP = 3;
    private static final int RETRIES_PER_STEP = 5;

    private final int[] requests = new int[STEPS];
    private final int[] retries = new int[STEPS];

    private void run(RetryBudget budget, int step) {
        var now = step * STEP_US + FIRST_US;
        for (var i = 0; i < (step < BUSY_STEPS ? REQUESTS_PER_STEP : 0); i++) {
            budget.onRequest("service", now);
            requests[step]++;
        }
        for (var i = 0; i < RETRIES_PER_STEP; i++) {
            retries[step] += budget.trySpend("service", EDGES, now) ? 1 : 0;
        }
    }

    private static int sum(int[] counts, int from, int to) {
        return Arrays.stream(counts, from, to).sum();
    }

    @Test
    void allEdgesTogetherKeepTheBudgetInEveryWindow() {
        var budgets = new RetryBudget[EDGES];
        Arrays.setAll(budgets, index -> new RetryBudget(RATIO, WINDOW_S, SLACK));
        for (var step = 0; step < STEPS; step++) {
            for (var budget : budgets) {
                run(budget, step);
            }
        }
        for (var from = 0; from + WINDOW_STEPS <= STEPS; from++) {
            var within = sum(requests, from, from + WINDOW_STEPS);
            var before = sum(requests, Math.max(0, from - WINDOW_STEPS), from);
            var spent = sum(retries, from, from + WINDOW_STEPS);
            assertTrue(
                    spent <= RATIO * Math.max(within, before) + SLACK,
                    "window at " + from + ": " + spent);
        }
    }
}
