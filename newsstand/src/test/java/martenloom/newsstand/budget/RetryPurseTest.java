package martenloom.newsstand.budget;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.*;

/** The shares of all edges together stay inside the common budget in every window. */
final class RetryPurseTest {
    @Test
    void allEdgesTogetherKeepTheBudgetInEveryWindow() {
        var edges = 7;
        var purses = new RetryPurse[edges];
        for (var i = 0; i < edges; i++) {
            purses[i] = new RetryPurse(0.2, 10, 54);
        }
        var errands = new int[400];
        var repeats = new int[400];
        for (var t = 0; t < 400; t++) {
            var now = t * 100_000L + 5;
            for (var p : purses) {
                for (var k = 0; k < (t < 200 ? 3 : 0); k++) {
                    p.errand("s", now);
                    errands[t]++;
                }
                for (var k = 0; k < 5; k++) {
                    repeats[t] += p.spend("s", edges, now) ? 1 : 0;
                }
            }
        }
        for (var t = 0; t + 100 <= 400; t++) {
            var e = 0;
            var r = 0;
            for (var i = t; i < t + 100; i++) {
                e += errands[i];
                r += repeats[i];
            }
            var before = 0;
            for (var i = Math.max(0, t - 100); i < t; i++) {
                before += errands[i];
            }
            assertTrue(r <= 0.2 * Math.max(e, before) + 54, "window at " + t + ": " + r);
        }
    }
}
