package martenloom.launcher.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import martenloom.launcher.harness.HttpReply;
import martenloom.launcher.harness.TestCluster;
import martenloom.launcher.harness.TestConfiguration;
import martenloom.launcher.harness.TestRoute;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The recorded answers to the calls of operator, replicas and clients that look up: a transcript of
 * calls to a core daemon that runs alone, with status, fields and body of each answer. Ports and
 * ages of jobs are made equal.
 */
final class ControlApiGoldenTest {
    private static final List<String> FIELDS =
            List.of("Content-Type", "Retry-After", "Connection", "Transfer-Encoding");
    private static final String RESOURCE = "/golden/control-api.txt";

    private final StringBuilder transcript = new StringBuilder();

    @TempDir private Path dir;

    /** Calls again while the daemon, which has just started, is not yet in service. */
    private static void untilInService(TestCluster cluster) {
        assertEquals(400, cluster.control().replaceConfiguration(0, "{"));
    }

    private void call(TestCluster cluster, String call, String base, String body) {
        var answer = cluster.control().call(0, call, base, body);
        transcript.append("> ").append(call);
        transcript.append(base.isEmpty() ? "" : " X-Base-Revision: " + base).append('\n');
        body.lines().forEach(line -> transcript.append("> ").append(line).append('\n'));
        transcript.append("< ").append(answer.status()).append('\n');
        FIELDS.stream().filter(answer.fields()::containsKey).forEach(field -> field(field, answer));
        normal(answer.body())
                .lines()
                .forEach(line -> transcript.append("< ").append(line).append('\n'));
        transcript.append('\n');
    }

    private void field(String name, HttpReply answer) {
        transcript.append("< ").append(name).append(": ");
        transcript.append(answer.field(name)).append('\n');
    }

    private static String normal(String body) {
        return body.replaceAll("(127[.][0-9.]+):[0-9]+", "$1:PORT")
                .replaceAll("\"(AgeMs|SlackMs)\":-?[0-9]+", "\"$1\":0");
    }

    private void get(TestCluster cluster, String path) {
        call(cluster, "GET " + path, "", "");
    }

    private void post(TestCluster cluster, String path, String body) {
        call(cluster, "POST " + path, "", body);
    }

    private void configurations(TestCluster cluster) {
        var replace = "POST /configuration/replace";
        var update = "POST /configuration/update";
        get(cluster, "/configuration/describe");
        call(cluster, replace, "", TestConfiguration.of(3));
        call(cluster, replace, "x", TestConfiguration.of(3));
        call(cluster, replace, "0", "not { JSON");
        call(cluster, replace, "0", "{}");
        call(cluster, replace, "1", TestConfiguration.of(3));
        call(cluster, replace, "0", TestConfiguration.of(3));
        call(cluster, replace, "0", TestConfiguration.of(3));
        call(cluster, replace, "3", TestConfiguration.of(2));
        call(cluster, replace, "0", TestConfiguration.of(4));
        call(
                cluster,
                replace,
                "3",
                TestConfiguration.of(4).replace("Backend\":\"plain\"", "Backend\":\"absent\""));
        call(cluster, replace, "3", TestConfiguration.of(4).replace("8000", "0"));
        var late = new TestRoute("late", "/late/", "idempotent", "plain", 1);
        call(cluster, update, "3", TestConfiguration.upsert(20, late));
        call(cluster, update, "3", TestConfiguration.upsert(21, late));
        call(cluster, update, "20", "{\"Revision\":21,\"Remove\":{\"Routes\":[\"absent\"]}}");
        call(cluster, update, "21", "{\"Revision\":22,\"Remove\":{\"Routes\":[\"late\"]}}");
        call(cluster, update, "", "{\"Revision\":23}");
        get(cluster, "/configuration/describe");
    }

    private void evacuations(TestCluster cluster) {
        post(cluster, "/evacuations/nowhere/start", "");
        post(cluster, "/evacuations/south-b/start", "");
        post(cluster, "/evacuations/south-b/start", "");
        post(cluster, "/evacuations/west-c/start", "");
        post(cluster, "/evacuations/north-a/start", "");
        post(cluster, "/evacuations/south-b/finish", "");
        post(cluster, "/evacuations/south-b/finish", "");
        post(cluster, "/evacuations/nowhere/finish", "");
        post(cluster, "/evacuations/west-c/finish", "");
        post(cluster, "/evacuations/north-a/finish", "");
    }

    private void placements(TestCluster cluster) {
        post(cluster, "/placements/nowhere/m/unload", "");
        post(cluster, "/placements/north/absent/unload", "");
        post(cluster, "/placements/north/m/load", "");
        post(cluster, "/placements/west/m/unload", "");
        post(cluster, "/placements/south/m/unload", "");
        post(cluster, "/placements/north/m/unload", "");
        post(cluster, "/placements/west/m/load", "");
        post(cluster, "/placements/west/m/other", "");
    }

    private static String beat(long sequence, String more) {
        return "{\"Backend\":\"model\",\"Address\":\"127.61.3.40:9000\",\"Zone\":\"north-a\","
                + "\"Capacity\":8,\"Sequence\":"
                + sequence
                + more
                + "}";
    }

    private void replicas(TestCluster cluster) {
        var beat = "/instances/replica-1/heartbeat";
        post(cluster, beat, beat(1, ""));
        post(cluster, beat, beat(2, ",\"WarmupLeftMs\":1500,\"RemainingMs\":60000"));
        post(cluster, beat, beat(2, ""));
        post(cluster, beat, beat(3, ",\"State\":\"draining\""));
        post(cluster, beat, beat(4, "").replace("127.61.3.40:9000", "elsewhere"));
        post(cluster, beat, beat(4, "").replace("\"Backend\":\"model\",", ""));
        post(cluster, beat, beat(4, "").replace("4}", "\"x\"}"));
        post(cluster, beat, "not { JSON");
        post(cluster, "/instances/replica-1/deregister", "");
        post(cluster, "/instances/replica-1/deregister", "");
        post(cluster, "/instances/never-seen/deregister", "");
        post(cluster, "/instances/a%20blank/deregister", "");
        post(cluster, beat, beat(5, ""));
    }

    private static String job(String path, String dueMs, String more) {
        return "{\"Hostname\":\"cluster.example\",\"Path\":\""
                + path
                + "\",\"DueMs\":"
                + dueMs
                + ",\"Body\":\"b\""
                + more
                + "}";
    }

    private void jobs(TestCluster cluster) {
        get(cluster, "/jobs");
        post(cluster, "/jobs/job-1/submit", job("/safe/x?y=1", "600000", ""));
        post(cluster, "/jobs/job-1/submit", job("/safe/x?y=1", "600000", ""));
        post(cluster, "/jobs/job-1/submit", job("/safe/other", "600000", ""));
        post(cluster, "/jobs/job-2/submit", job("/r/x", "600000", ",\"Region\":\"south\""));
        post(cluster, "/jobs/a%20blank/submit", job("/safe/x", "600000", ""));
        post(cluster, "/jobs/job-3/submit", "not { JSON");
        post(cluster, "/jobs/job-3/submit", "{}");
        post(cluster, "/jobs/job-3/submit", job("safe", "600000", ""));
        post(cluster, "/jobs/job-3/submit", job("/nowhere/x", "600000", ""));
        post(cluster, "/jobs/job-3/submit", job("/safe/x", "999", ""));
        post(cluster, "/jobs/job-3/submit", job("/safe/x", "600000", ",\"Method\":\"get\""));
        post(cluster, "/jobs/job-3/submit", job("/safe/x", "600000", ",\"Region\":\"nowhere\""));
        post(cluster, "/jobs/job-3/submit", job("/home/x", "600000", ",\"Region\":\"south\""));
        post(
                cluster,
                "/jobs/job-3/submit",
                job("/safe/x", "600000", ",\"Headers\":{\"a b\":\"c\"}"));
        get(cluster, "/jobs/job-1/describe");
        get(cluster, "/jobs/absent/describe");
        get(cluster, "/jobs/job-1/result");
        get(cluster, "/jobs/absent/result");
        post(cluster, "/jobs/job-1/confirm", "");
        post(cluster, "/jobs/absent/confirm", "");
        post(cluster, "/jobs/job-1/cancel", "");
        post(cluster, "/jobs/job-1/cancel", "");
        post(cluster, "/jobs/absent/cancel", "");
        get(cluster, "/jobs/job-1/result");
        post(cluster, "/jobs/job-1/confirm", "");
        get(cluster, "/jobs/job-1/describe");
        get(cluster, "/jobs");
    }

    private void unknownCalls(TestCluster cluster) {
        get(cluster, "/");
        get(cluster, "/nowhere");
        post(cluster, "/lookup", "");
        get(cluster, "/configuration/replace");
        post(cluster, "/jobs/job-1/nowhere", "");
    }

    private void lookUp(TestCluster cluster) {
        get(cluster, "/lookup?Name=cluster.example&Zone=north-a&Region=north");
        get(cluster, "/lookup?Name=absent.example&Zone=south-b&Region=south");
        get(cluster, "/lookup");
    }

    /** The readiness of an edge reaches the core with its next renewal. */
    private static void untilTheEdgeIsListed(TestCluster cluster) {
        for (var calls = 0; calls < 2_000; calls++) {
            if (cluster.control().get(0, "/lookup").status() == 200) {
                return;
            }
        }
        fail("the edge is not listed");
    }

    /** Orders for the region of the only replica, with a route that allows only that region. */
    private void ordersForTheOnlyReplica(TestCluster cluster) {
        var pinned = new TestRoute("pinned", "/n/", "streaming", "model", 1).onlyIn("north");
        get(cluster, "/configuration/describe");
        call(cluster, "POST /configuration/update", "22", TestConfiguration.upsert(30, pinned));
        post(cluster, "/placements/north/m/unload", "");
        post(cluster, "/placements/north/m/load", "");
        post(cluster, "/evacuations/north-a/start", "");
        post(cluster, "/evacuations/north-a/finish", "");
    }

    @Test
    void everyCallIsAnsweredAsRecorded() throws IOException {
        try (var cluster =
                TestCluster.in(dir).network(61).cores(1).withoutConfiguration().start()) {
            untilInService(cluster);
            lookUp(cluster);
            configurations(cluster);
            evacuations(cluster);
            placements(cluster);
            replicas(cluster);
            jobs(cluster);
            unknownCalls(cluster);
            cluster.addReplica("replica-9", "model", 0);
            cluster.startEdge(0);
            cluster.awaitReady(0);
            untilTheEdgeIsListed(cluster);
            lookUp(cluster);
            ordersForTheOnlyReplica(cluster);
        }
        assertEquals(recorded(), transcript.toString());
    }

    private static String recorded() throws IOException {
        try (var in = ControlApiGoldenTest.class.getResourceAsStream(RESOURCE)) {
            assertNotNull(in, RESOURCE);
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
