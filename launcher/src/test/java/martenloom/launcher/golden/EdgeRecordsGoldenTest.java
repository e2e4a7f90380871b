package martenloom.launcher.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.fleet.RecordType;
import martenloom.common.jobs.Job;
import martenloom.common.jobs.JobCodec;
import martenloom.common.jobs.JobState;
import martenloom.common.settings.SettingsFile;
import martenloom.edge.EdgeDaemon;
import martenloom.launcher.harness.ReactorThread;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * The recorded bytes of what an edge sends to its home: renewals, load, the wish for the whole
 * state, and the orders of the runner of jobs. A real edge runs alone; a plain socket plays its
 * home with records as a core daemon was recorded to send them.
 */
final class EdgeRecordsGoldenTest {
    private static final int NETWORK = 60;
    private static final String HOME_IP = "127.60.1.10";
    private static final String EDGE_IP = "127.60.2.10";
    private static final int MOST_RECORDS = 200;
    private static final String RENEWAL = "1 t t t t p 1 8? 8? 8 8? 8? t? ( t ) ( t )";
    private static final String ORDER = "1 8? 8 t t 8 8 t";

    private final GoldenBytes golden = new GoldenBytes("edge-records.txt");
    private final GoldenBytes ofCore = new GoldenBytes("core-records.txt");
    private final ReactorThread reactor = ReactorThread.start("golden-edge");

    @AfterEach
    void stopEdge() {
        reactor.stop();
    }

    private void startEdge(int port) {
        reactor.call(
                () -> {
                    var settings =
                            SettingsFile.parse(PlainEdge.settings(NETWORK, EDGE_IP, HOME_IP, port));
                    new EdgeDaemon(settings, reactor.reactor()).start();
                    return settings;
                });
    }

    // ---- what the home sends

    /** News that answer a renewal; the digest is not the edge's, so it asks for the whole state. */
    private static byte[] news(long stampUs, boolean jobsLive) {
        return new RecordWriter(RecordType.EDGE_LEASE_RESPONSE)
                .i64(stampUs)
                .i64(10_000_000)
                .i64(0)
                .i64(2)
                .i32(123)
                .i32(1)
                .i32(1)
                .texts(List.of(HOME_IP))
                .flag(jobsLive)
                .i64(1_600_000)
                .i32(0)
                .bytes();
    }

    /** The recorded configuration of a core daemon, with an edition in its masked field. */
    private byte[] configuration() {
        var record = ofCore.bytes("to-edge.configuration").clone();
        record[8] = 2;
        return record;
    }

    private static byte[] grant(Renewal renewal, String duty) {
        return new RecordWriter(RecordType.LEASE_GRANT)
                .text(renewal.holder)
                .text(duty)
                .i64(7)
                .i64(renewal.stampUs)
                .i64(2_500_000)
                .bytes();
    }

    private static byte[] answer(byte[] order, int status, String text) {
        var id = new RecordReader(order, true);
        return new RecordWriter(RecordType.ORDER_RESPONSE)
                .i64(id.i64())
                .i64(id.i64())
                .i32(status)
                .text(text)
                .bytes();
    }

    /** One waiting job on a route whose service has a replica, though nothing listens there. */
    private static byte[] waitingJobs() {
        return new RecordWriter(RecordType.JOB_LIST)
                .i32(1)
                .text("job-1")
                .flag(false)
                .i64(0)
                .i32(0)
                .i64(600_000_000)
                .i64(600_000_000)
                .text("")
                .text("streamr")
                .bytes();
    }

    /** A job whose route has no replica, so that its run is soon given back. */
    private static String startedJob() {
        var job = new Job();
        job.setId("job-1");
        job.setRegion("north");
        job.setHost("cluster.example");
        job.setPath("/safe/x");
        job.setBody("b".getBytes(StandardCharsets.UTF_8));
        job.setState(JobState.RUNNING);
        job.setFencingToken(7);
        job.setAttempts(1);
        var out = new RecordWriter();
        JobCodec.write(job, out);
        return Base64.getEncoder().encodeToString(out.bytes());
    }

    /** What the home needs of a renewal to answer it. */
    private record Renewal(boolean ready, long stampUs, String holder, List<String> duties) {
        static Renewal read(byte[] record) {
            var in = new RecordReader(record, true);
            var edge = EdgeRecord.read(in, 0);
            return new Renewal(edge.ready(), in.i64(), in.text(), in.texts());
        }
    }

    // ---- the checks

    private void check(String name, byte[] record, String description) {
        golden.check(name, RecordMask.masked(record, description));
    }

    @Test
    void anEdgeSpeaksToItsHomeAsRecorded() throws IOException {
        try (var server = new ServerSocket(0, 5, InetAddress.getByName(HOME_IP))) {
            server.setSoTimeout(20_000);
            startEdge(server.getLocalPort());
            try (var home = new PlainPeer(server.accept())) {
                check("renewal.first", home.next(RecordType.EDGE_LEASE_RENEWAL), RENEWAL);
                home.send(configuration());
                home.send(ofCore.bytes("to-edge.replicas"));
                check(
                        "sample",
                        home.next(RecordType.LOAD_SAMPLE),
                        "1 t 8? 8? 4 ( t 4 4 1 1 4 ) ( t 4 ) ( t t )");
                check("resync", answerUntil(home, RecordType.RESYNC_REQUEST, false), "1");
                var renewal = readyRenewal(home);
                check("renewal.ready", renewal, RENEWAL);
                runJob(home, Renewal.read(renewal));
                home.send(new RecordWriter(RecordType.SHELL_QUERY).text("no such query").bytes());
                check("text", home.next(RecordType.SHELL_RESPONSE), "1 t");
                home.send(ofCore.bytes("from-core.hello"));
                check("heard", home.next(RecordType.KNOWN_PEERS), "1");
            }
        }
    }

    /** Runs a job as far as its start and its return, which are all that the home is told. */
    private void runJob(PlainPeer home, Renewal renewal) throws IOException {
        assertTrue(renewal.duties.contains("jobs/north"), renewal.toString());
        home.send(grant(renewal, "jobs/north"));
        home.send(waitingJobs());
        var start = answerUntil(home, RecordType.EDGE_REQUEST, true);
        check("order.job-start", start, ORDER);
        home.send(answer(start, 200, startedJob()));
        var back = answerUntil(home, RecordType.EDGE_REQUEST, true);
        check("order.job-back", back, ORDER);
        assertEquals(7, orderFence(back));
    }

    private static long orderFence(byte[] order) {
        var in = new RecordReader(order, true);
        in.i64();
        in.i64();
        in.text();
        in.text();
        return in.i64();
    }

    private byte[] readyRenewal(PlainPeer home) throws IOException {
        for (var renewals = 0; renewals < MOST_RECORDS; renewals++) {
            var record = answerUntil(home, RecordType.EDGE_LEASE_RENEWAL, true);
            var renewal = Renewal.read(record);
            home.send(news(renewal.stampUs, true));
            if (renewal.ready && renewal.duties.contains("jobs/north")) {
                return record;
            }
        }
        return fail("the edge is not ready or does not want to run jobs");
    }

    /** Answers renewals until a record of this type comes. */
    private static byte[] answerUntil(PlainPeer home, int type, boolean jobsLive)
            throws IOException {
        for (var records = 0; records < MOST_RECORDS; records++) {
            var record = home.next();
            if (record[0] == type) {
                return record;
            }
            if (record[0] == RecordType.EDGE_LEASE_RENEWAL) {
                var renewal = Renewal.read(record);
                home.send(news(renewal.stampUs, jobsLive));
                home.send(grant(renewal, "jobs/north"));
            }
        }
        return fail("no record of type " + type);
    }
}
