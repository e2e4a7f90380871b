package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import martenloom.launcher.harness.StandInReplica;
import martenloom.launcher.harness.TestCluster;
import martenloom.launcher.harness.TestHttpClient;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The data plane as whole programs: answers, faults of replicas, homes, drains and evacuations. */
final class ServingTest {
    private static TestCluster t;
    private static StandInReplica a;
    private static StandInReplica b;
    private static StandInReplica m1;
    private static StandInReplica m2;
    @TempDir static Path dir;

    @BeforeAll
    static void open() {
        t = new TestCluster(dir, 71, 3);
        a = t.replica("i-a", "plain", 0);
        b = t.replica("i-b", "plain", 1);
        m1 = t.replica("i-m1", "model", 0);
        m2 = t.replica("i-m2", "model", 0);
        t.startEdge(0);
        t.startEdge(1);
        assertEquals(
                200, t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
        t.awaitReady(0, 1);
    }

    @AfterAll
    static void close() {
        t.close();
    }

    @BeforeEach
    void well() {
        t.replicas.forEach(r -> r.mode = StandInReplica.Mode.WELL);
        t.askUntil(t.edge(0), "replicas", "i-m2");
    }

    private static String ids(String body) {
        return body.replaceAll("(?s)id: (\\d+)\ndata: piece \\d+\n\n", "$1,");
    }

    @Test
    void anAnswerComesBackUnalteredWithItsSeal() {
        var r = t.request(0, "/safe/x?q=1", "a1", "X-Other: kept\r\n", "body text");
        assertEquals(200, r.status);
        assertEquals("done by plain for a1", r.body);
        assertTrue(r.fields.get("X-Server-Seal").startsWith("seal-"));
        var seen = a.heads.getOrDefault("a1", b.heads.getOrDefault("a1", ""));
        assertTrue(seen.startsWith("POST /safe/x?q=1 HTTP/1.1"), seen);
        assertTrue(
                seen.contains("X-Other=kept")
                        && seen.endsWith("body text")
                        && seen.contains("X-Target-Instance=i-"),
                seen);
    }

    @Test
    void anUnknownRouteIs404AndSmugglingIs400() {
        assertEquals(404, t.request(0, "/none/x", "a2", "", "").status);
        var r =
                TestHttpClient.call(
                        t.front(0),
                        "POST /safe/x HTTP/1.1\r\n"
                                + "Host: cluster.example\r\n"
                                + "Transfer-Encoding: chunked\r\n",
                        "0\r\n\r\nGET /safe/ HTTP/1.1\r\n\r\n");
        assertEquals(400, r.status);
    }

    @Test
    void aStreamPassesWhole() {
        var r = t.request(0, "/o/stream", "a3", "X-Model: m\r\nX-Token-Usage: 10,40\r\n", "p");
        assertTrue(r.whole);
        assertEquals("1,2,3,4,5,6,7,8,", ids(r.body));
    }

    @Test
    void aResumableStreamGoesOnAtAnotherReplicaInOneAnswer() {
        for (var cutting : new StandInReplica[] {m1, m2}) {
            well();
            cutting.mode = StandInReplica.Mode.CUT_STREAM;
            for (var i = 0; i < 6; i++) {
                var r =
                        t.request(
                                0,
                                "/r/stream",
                                "a4" + cutting.id + i,
                                "X-Model: m\r\nX-Token-Usage: 10,40\r\n",
                                "p");
                assertTrue(r.whole);
                assertEquals("1,2,3,4,5,6,7,8,", ids(r.body));
            }
        }
        assertTrue(
                m1.heads.keySet().stream().filter(k -> k.startsWith("a4i-m1")).count()
                                + m2.heads.keySet().stream()
                                        .filter(k -> k.startsWith("a4i-m2"))
                                        .count()
                        > 0,
                "a cutting replica was asked");
    }

    @Test
    void aStreamThatMayNotBeRepeatedEndsVisiblyCut() {
        m1.mode = StandInReplica.Mode.CUT_STREAM;
        m2.mode = StandInReplica.Mode.CUT_STREAM;
        var r = t.request(0, "/o/stream", "a5", "X-Model: m\r\nX-Token-Usage: 10,40\r\n", "p");
        assertFalse(r.whole);
        assertEquals(1, m1.ran("a5") + m2.ran("a5"));
    }

    @Test
    void aRepeatableRequestGoesToAnotherReplicaAfterAReset() {
        a.mode = StandInReplica.Mode.RESET;
        var r = t.request(0, "/safe/x", "a6", "", "");
        assertEquals(200, r.status);
        assertEquals("seal-i-b", r.fields.get("X-Server-Seal"));
    }

    @Test
    void whatMayNotRunTwiceIsNeitherRepeatedNorPromised() {
        a.mode = StandInReplica.Mode.RESET;
        b.mode = StandInReplica.Mode.RESET;
        var r = t.request(0, "/once/x", "a7", "", "");
        assertEquals(502, r.status);
        assertEquals(1, a.ran("a7") + b.ran("a7"));
    }

    @Test
    void notRunIsRefusedWithAPromiseAndATime() {
        a.mode = StandInReplica.Mode.NOT_RUN;
        b.mode = StandInReplica.Mode.NOT_RUN;
        var r = t.request(0, "/once/x", "a8", "", "");
        assertEquals(503, r.status);
        assertTrue(Double.parseDouble(r.fields.get("Retry-After")) > 0);
        assertEquals(0, a.ran("a8") + b.ran("a8"));
    }

    @Test
    void garbledExtraAndLateAnswersNeverReachAnotherRequest() {
        for (var mode :
                new StandInReplica.Mode[] {
                    StandInReplica.Mode.EXTRA,
                    StandInReplica.Mode.LATE_OTHER,
                    StandInReplica.Mode.GARBLE
                }) {
            a.mode = mode;
            for (var i = 0; i < 6; i++) {
                var id = "a9" + mode + i;
                var r = t.request(0, "/safe/x", id, "", "");
                assertEquals(200, r.status);
                assertEquals("done by plain for " + id, r.body);
            }
        }
    }

    @Test
    void aHomeBindsWhereAnRequestRuns() {
        for (var i = 0; i < 8; i++) {
            assertEquals(
                    "seal-i-a",
                    t.request(i % 2, "/home/x", "h" + i, "", "").fields.get("X-Server-Seal"));
        }
        assertEquals(0, b.heads.keySet().stream().filter(k -> k.startsWith("h")).count());
    }

    @Test
    void requestsSentOneBehindTheOtherAreAnsweredInOrder() throws Exception {
        var at = t.front(0).split(":");
        try (var s = new java.net.Socket(at[0], Integer.parseInt(at[1]))) {
            s.setSoTimeout(20_000);
            var big = "z".repeat(70_000);
            var b = new StringBuilder();
            for (var i = 0; i < 4; i++) {
                b.append("POST /safe/x HTTP/1.1\r\nHost: cluster.example\r\nX-Attempt-Id: p")
                        .append(i)
                        .append("\r\nX-Time-Remaining: 8000\r\nContent-Length: ")
                        .append(big.length())
                        .append("\r\n\r\n")
                        .append(big);
            }
            var w =
                    new Thread(
                            () -> {
                                try {
                                    s.getOutputStream().write(b.toString().getBytes());
                                } catch (java.io.IOException e) {
                                    return;
                                }
                            });
            w.start();
            var in = new java.io.BufferedInputStream(s.getInputStream());
            for (var i = 0; i < 4; i++) {
                assertEquals("done by plain for p" + i, TestHttpClient.read(in).body);
            }
        }
    }

    @Test
    void limitsOfTheConfigurationHold() {
        assertEquals(413, t.request(0, "/safe/x", "l1", "", "x".repeat(100_001)).status);
        assertEquals(
                431,
                t.request(0, "/safe/x", "l2", "X-Long: " + "y".repeat(9000) + "\r\n", "").status);
    }

    @Test
    void anEvacuatedZoneGetsNothingUntilItIsTakenBack() {
        assertEquals(404, t.order("POST /evacuations/nowhere/start", "", ""));
        assertEquals(200, t.order("POST /evacuations/south-b/start", "", ""));
        for (var i = 0;
                i < 40
                        && !t.request(1, "/safe/x", "e-wait" + i, "", "")
                                .fields
                                .get("X-Server-Seal")
                                .equals("seal-i-a");
                i++) {}
        for (var i = 0; i < 6; i++) {
            assertEquals(
                    "seal-i-a",
                    t.request(1, "/safe/x", "e" + i, "", "").fields.get("X-Server-Seal"));
        }
        assertEquals(200, t.order("POST /evacuations/south-b/finish", "", ""));
        var back = false;
        for (var i = 0; i < 4000 && !back; i++) {
            back =
                    t.request(1, "/safe/x", "f" + i, "", "")
                            .fields
                            .getOrDefault("X-Server-Seal", "")
                            .equals("seal-i-b");
        }
        assertTrue(back);
    }
}
