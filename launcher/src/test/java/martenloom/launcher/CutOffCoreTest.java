package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.regex.Pattern;
import martenloom.launcher.harness.TestCluster;
import martenloom.launcher.harness.TestHttpClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A core daemon without contact to a majority: what it takes from replicas, and what the edges make
 * of it.
 */
final class CutOffCoreTest {
    private static final Pattern STALE = Pattern.compile("stale (\\d+) ms");
    private static final long LONG_STALE_MS = 2_000;
    private static final int LONG_BEATS = 15;
    private static final int MOST_TRIES = 2_000;

    @TempDir Path dir;

    private static long number(Pattern p, String text) {
        var m = p.matcher(text);
        return m.find() ? Long.parseLong(m.group(1)) : -1;
    }

    @Test
    void replicasOfACutOffDaemonReportElsewhereAndServeWhileAnotherZoneIsEvacuated() {
        try (var t = new TestCluster(dir, 141, 3)) {
            var near = t.replica("i-near", "plain", 0);
            var evacuated = t.replica("i-evacuated", "plain", 1);
            t.replica("i-m", "model", 0);
            t.startEdge(0);
            assertEquals(
                    200,
                    t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
            t.awaitReady(0);
            t.kill(t.core(0));
            t.startCoreCutOff(0);
            assertEquals(200, t.order("POST /evacuations/south-b/start", "", ""));
            var atCut = near.seq.get() + 3;
            var ready = Pattern.compile("i-near .* ready seq (\\d+) ");
            var heard = t.askUntil(t.core(1), "replicas", a -> number(ready, a) > atCut);
            assertTrue(
                    number(ready, heard) > atCut,
                    "heartbeats go on to a daemon in contact: " + heard);
            t.askUntil(t.edge(0), "replicas", near.id);
            var status = 0;
            for (var i = 0; i < MOST_TRIES && status != 200; i++) {
                status = t.request(0, "/safe/x", "first" + i, "", "").status;
            }
            assertEquals(200, status);
            for (var i = 0; i < 20; i++) {
                assertEquals(200, t.request(0, "/safe/x", "later" + i, "", "").status);
                assertEquals(0, evacuated.ran("later" + i));
            }
            assertNotEquals(
                    200,
                    TestHttpClient.call(
                                    t.control(0),
                                    "POST /instances/i-near/deregister HTTP/1.1\r\n"
                                            + "Host: c\r\n"
                                            + "Connection: close\r\n",
                                    "")
                            .status,
                    "what nobody would learn is not acknowledged");
        }
    }

    @Test
    void theEdgesOfACutOffZoneKeepTheirDaemonAndHearOfNewReplicas() {
        try (var t = new TestCluster(dir, 142, 3)) {
            var first = t.replica("i-first", "plain", 0);
            t.replica("i-m", "model", 0);
            t.startEdge(0);
            assertEquals(
                    200,
                    t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
            t.awaitReady(0);
            t.kill(t.core(1));
            t.kill(t.core(2));
            assertTrue(t.askUntil(t.edge(0), "home", t.core(0) + " ").contains(t.core(0)));
            var later = first.seq.get() + LONG_BEATS;
            var end = Pattern.compile("i-first .* ready seq (\\d+) ");
            var heard =
                    t.askUntil(
                            t.core(0),
                            "replicas",
                            a -> {
                                assertTrue(
                                        t.ask(t.edge(0), "home").startsWith(t.core(0) + " "),
                                        "no better home is known");
                                return number(end, a) > later;
                            });
            assertTrue(
                    number(end, heard) > later,
                    "an edge relies on this daemon, so it takes heartbeats: " + heard);
            var stale = t.ask(t.core(0), "chain");
            assertTrue(number(STALE, stale) >= LONG_STALE_MS, stale);
            t.replica("i-late", "plain", 0);
            assertTrue(t.askUntil(t.edge(0), "replicas", "i-late").contains("i-late"));
            assertEquals(200, t.request(0, "/safe/x", "served", "", "").status);
        }
    }
}
