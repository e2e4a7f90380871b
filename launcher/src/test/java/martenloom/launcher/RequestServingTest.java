package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import martenloom.launcher.harness.EventStream;
import martenloom.launcher.harness.ReplicaFault;
import martenloom.launcher.harness.StandInReplica;
import martenloom.launcher.harness.TestCluster;
import martenloom.launcher.harness.TestHttpClient;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The data plane as whole daemons: responses, retries after faults of replicas, allowed regions and
 * evacuations.
 */
final class RequestServingTest {
    private static final int REQUESTS = 6;
    private static final int HOME_REQUESTS = 8;
    private static final int PIPELINED_REQUESTS = 4;
    private static final int PIPELINED_BODY_BYTES = 70_000;
    private static final int MOST_BODY_BYTES = 100_000;
    private static final int LONG_FIELD_BYTES = 9_000;
    private static final int EVACUATION_ATTEMPTS = 40;
    private static final int RETURN_ATTEMPTS = 4_000;

    @AutoClose private static TestCluster cluster;
    private static StandInReplica northPlain;
    private static StandInReplica southPlain;
    private static StandInReplica firstModel;
    private static StandInReplica secondModel;
    @TempDir private static Path dir;

    @BeforeAll
    static void startCluster() {
        cluster =
                TestCluster.in(dir)
                        .replica("i-a", "plain", 0)
                        .replica("i-b", "plain", 1)
                        .replicas("model", 0, "i-m1", "i-m2")
                        .edges(0, 1)
                        .start();
        northPlain = cluster.replica("i-a");
        southPlain = cluster.replica("i-b");
        firstModel = cluster.replica("i-m1");
        secondModel = cluster.replica("i-m2");
    }

    @BeforeEach
    void clearFaults() {
        cluster.faultOfAll(ReplicaFault.NONE);
        cluster.askUntil(cluster.edge(0), "replicas", "i-m2");
    }

    private static void faultOfPlain(ReplicaFault fault) {
        northPlain.fault(fault);
        southPlain.fault(fault);
    }

    @Test
    void aResponseComesBackUnalteredWithItsSeal() {
        var reply = cluster.request(0, "/safe/x?q=1", "a1", "X-Other: kept\r\n", "body text");
        assertEquals(200, reply.status());
        assertEquals("done by plain for a1", reply.body());
        assertTrue(reply.seal().startsWith("seal-"));
        var seen = northPlain.requestText("a1") + southPlain.requestText("a1");
        assertTrue(seen.startsWith("POST /safe/x?q=1 HTTP/1.1"), seen);
        assertTrue(
                seen.contains("X-Other=kept")
                        && seen.endsWith("body text")
                        && seen.contains("X-Target-Instance=i-"),
                seen);
    }

    @Test
    void anUnknownRouteIs404AndRequestSmugglingIs400() {
        assertEquals(404, cluster.request(0, "/none/x", "a2").status());
        var reply =
                TestHttpClient.call(
                        cluster.front(0),
                        "POST /safe/x HTTP/1.1\r\n"
                                + "Host: cluster.example\r\n"
                                + "Transfer-Encoding: chunked\r\n",
                        "0\r\n\r\nGET /safe/ HTTP/1.1\r\n\r\n");
        assertEquals(400, reply.status());
    }

    @Test
    void aStreamPassesComplete() {
        var reply = cluster.prompt(0, "/o/stream", "a3");
        assertTrue(reply.complete());
        assertEquals(EventStream.ALL_IDS, EventStream.ids(reply.body()));
    }

    @Test
    void aResumableStreamGoesOnAtAnotherReplicaInOneResponse() {
        for (var cutting : List.of(firstModel, secondModel)) {
            clearFaults();
            cutting.fault(ReplicaFault.CUT_STREAM);
            for (var i = 0; i < REQUESTS; i++) {
                var reply = cluster.prompt(0, "/r/stream", "a4" + cutting.id() + i);
                assertTrue(reply.complete());
                assertEquals(EventStream.ALL_IDS, EventStream.ids(reply.body()));
            }
        }
        assertTrue(
                firstModel.attempts("a4i-m1") + secondModel.attempts("a4i-m2") > 0,
                "a cutting replica was asked");
    }

    @Test
    void aStreamThatMayNotBeRepeatedEndsVisiblyCut() {
        firstModel.fault(ReplicaFault.CUT_STREAM);
        secondModel.fault(ReplicaFault.CUT_STREAM);
        var reply = cluster.prompt(0, "/o/stream", "a5");
        assertFalse(reply.complete());
        assertEquals(1, firstModel.executions("a5") + secondModel.executions("a5"));
    }

    @Test
    void anIdempotentRequestIsRetriedAtAnotherReplicaAfterAReset() {
        northPlain.fault(ReplicaFault.RESET);
        var reply = cluster.request(0, "/safe/x", "a6");
        assertEquals(200, reply.status());
        assertEquals("seal-i-b", reply.seal());
    }

    @Test
    void aNonIdempotentRequestIsNeitherRetriedNorPromisedUnexecuted() {
        faultOfPlain(ReplicaFault.RESET);
        var reply = cluster.request(0, "/once/x", "a7");
        assertEquals(502, reply.status());
        assertEquals(1, northPlain.executions("a7") + southPlain.executions("a7"));
    }

    @Test
    void aRequestThatWasNotExecutedIsRejectedWithThatPromiseAndARetryTime() {
        faultOfPlain(ReplicaFault.NOT_EXECUTED);
        var reply = cluster.request(0, "/once/x", "a8");
        assertEquals(503, reply.status());
        assertTrue(Double.parseDouble(reply.field("Retry-After")) > 0);
        assertEquals(0, northPlain.executions("a8") + southPlain.executions("a8"));
    }

    @Test
    void garbledDuplicateAndLateResponsesNeverReachAnotherRequest() {
        for (var fault :
                List.of(
                        ReplicaFault.DUPLICATE_RESPONSE,
                        ReplicaFault.RESPONSE_TO_ANOTHER,
                        ReplicaFault.GARBLED_RESPONSE)) {
            northPlain.fault(fault);
            for (var i = 0; i < REQUESTS; i++) {
                var id = "a9" + fault + i;
                var reply = cluster.request(0, "/safe/x", id);
                assertEquals(200, reply.status());
                assertEquals("done by plain for " + id, reply.body());
            }
        }
    }

    @Test
    void anAllowedRegionBindsWhereARequestIsExecuted() {
        for (var i = 0; i < HOME_REQUESTS; i++) {
            assertEquals("seal-i-a", cluster.request(i % 2, "/home/x", "h" + i).seal());
        }
        assertEquals(0, southPlain.attempts("h"));
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        try (var socket = TestHttpClient.open(cluster.front(0))) {
            var body = "z".repeat(PIPELINED_BODY_BYTES);
            var writer =
                    new Thread(
                            () -> {
                                try {
                                    writePipelined(socket, body);
                                } catch (IOException e) {
                                    return;
                                }
                            });
            writer.start();
            var in = new BufferedInputStream(socket.getInputStream());
            for (var i = 0; i < PIPELINED_REQUESTS; i++) {
                assertEquals("done by plain for p" + i, TestHttpClient.read(in).body());
            }
        }
    }

    private static void writePipelined(Socket socket, String body) throws IOException {
        var requests = new ByteArrayOutputStream();
        for (var i = 0; i < PIPELINED_REQUESTS; i++) {
            requests.write(TestHttpClient.request("/safe/x", "p" + i, "", body));
        }
        socket.getOutputStream().write(requests.toByteArray());
    }

    @Test
    void theLimitsOfTheConfigurationHold() {
        var longBody = "x".repeat(MOST_BODY_BYTES + 1);
        assertEquals(413, cluster.request(0, "/safe/x", "l1", "", longBody).status());
        var longField = "X-Long: " + "y".repeat(LONG_FIELD_BYTES) + "\r\n";
        assertEquals(431, cluster.request(0, "/safe/x", "l2", longField, "").status());
    }

    @Test
    void anEvacuatedZoneGetsNothingUntilItsEvacuationIsFinished() {
        var control = cluster.control();
        assertEquals(404, control.postUntilSettled("/evacuations/nowhere/start"));
        assertEquals(200, control.postUntilSettled("/evacuations/south-b/start"));
        var away = false;
        for (var i = 0; i < EVACUATION_ATTEMPTS && !away; i++) {
            away = cluster.request(1, "/safe/x", "e-wait" + i).seal().equals("seal-i-a");
        }
        for (var i = 0; i < REQUESTS; i++) {
            assertEquals("seal-i-a", cluster.request(1, "/safe/x", "e" + i).seal());
        }
        assertEquals(200, control.postUntilSettled("/evacuations/south-b/finish"));
        var back = false;
        for (var i = 0; i < RETURN_ATTEMPTS && !back; i++) {
            back = cluster.request(1, "/safe/x", "f" + i).seal().equals("seal-i-b");
        }
        assertTrue(back);
    }
}
