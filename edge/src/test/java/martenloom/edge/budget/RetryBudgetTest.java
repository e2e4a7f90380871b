package martenloom.edge.budget;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The shares of all edges together stay inside the common budget in every window. */
final class RetryBudgetTest {
    @Test
    void allEdgesTogetherKeepTheBudgetInEveryWindow() {
        var edges = 7;
        var budgets = new RetryBudget[edges];
        for (var i = 0; i < edges; i++) {
            budgets[i] = new RetryBudget(0.2, 10, 54);
        }
        var requests = new int[400];
        var repeats = new int[400];
        for (var t = 0; t < 400; t++) {
            var now = t * 100_000L + 5;
            for (var p : budgets) {
                for (var k = 0; k < (t < 200 ? 3 : 0); k++) {
                    p.onRequest("s", now);
                    requests[t]++;
                }
                for (var k = 0; k < 5; k++) {
                    repeats[t] += p.trySpend("s", edges, now) ? 1 : 0;
                }
            }
        }
        for (var t = 0; t + 100 <= 400; t++) {
            var e = 0;
            var r = 0;
            for (var i = t; i < t + 100; i++) {
                e += requests[i];
                r += repeats[i];
            }
            var before = 0;
            for (var i = Math.max(0, t - 100); i < t; i++) {
                before += requests[i];
            }
            assertTrue(r <= 0.2 * Math.max(e, before) + 54, "window at " + t + ": " + r);
        }
    }
}
