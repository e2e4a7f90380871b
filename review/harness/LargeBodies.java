package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients upload bodies of nearly the permitted size to one edge, each over a narrow link, while
 * others send small requests on kept connections. For ten seconds there are 2.5 times as many
 * uploads.
 */
public final class LargeBodies {
    private static final int USUAL_UPLOADS = 16;
    private static final double BURST = 2.5;
    private static final long BURST_MS = 10_000;
    private static final int BODY_BYTES = 4_000_000;
    private static final int UPLOAD_MS = 3_000;
    private static final int SMALL_CLIENTS = 40;
    private static final int SMALL_BYTES = 600;
    private static final int SMALL_WORK_MS = 300;
    private static final int UPLOAD_WORK_MS = 700;
    private static final long DAY_MS = 16_000;
    private static final int TIME_REMAINING_MS = 8_000;

    /** LOST allows so many requests that are passed on and then cut. */
    private static final int ALLOWED_CUTS = 3;

    /** CONFIG: eight requests, and over a quarter of those that outlast TimeoutMs. */
    private static final int UNANSWERED = 8;

    private static final int QUARTER = 4;
    private static final long TIMEOUT_MS = 5_001;
    private static final long SLACK_MS = 500;

    private static final AtomicInteger NUMBER = new AtomicInteger();

    private static volatile boolean over;
    private static final AtomicInteger ENDED_BY_ITSELF = new AtomicInteger();

    /** The requests that lasted longer than TimeoutMs from their last byte on. */
    private static final AtomicInteger OUTLASTING = new AtomicInteger();

    private static final AtomicInteger OUTLASTING_UNANSWERED = new AtomicInteger();

    /** How each request ended at its client. */
    private static final Map<String, String> ENDS = new ConcurrentHashMap<>();

    /** The requests that were not the first on their connection. */
    private static final Set<String> ON_KEPT = ConcurrentHashMap.newKeySet();

    private LargeBodies() {}

    public static void main(String[] args) {
        Kit.runCase(args[0], LargeBodies::run);
    }

    /** Sends requests one after another on a kept connection, opening a new one when it ends. */
    private static void client(Kit kit, String name, int bytes, int uploadMs, long untilNs) {
        var body = new byte[bytes];
        Arrays.fill(body, (byte) 'a');
        while (System.nanoTime() < untilNs) {
            try (var http = new Http(kit.edges.get(0), kit.frontPort(), TIME_REMAINING_MS + 1000)) {
                var kept = false;
                do {
                    kept = request(kit, http, name, body, uploadMs, kept);
                } while (kept && System.nanoTime() < untilNs);
            } catch (IOException e) {
                kit.note(name + " cannot connect: " + e.getMessage());
                Kit.pause(300);
            }
        }
    }

    /** One request; says whether another may follow on the connection. */
    private static boolean request(
            Kit kit, Http http, String name, byte[] body, int uploadMs, boolean onKept) {
        var id = name + "-" + NUMBER.incrementAndGet();
        if (onKept) {
            ON_KEPT.add(id);
        }
        var end = "cut while sending";
        var kept = false;
        var sentNs = 0L;
        try {
            http.sendPaced(
                    "POST",
                    "/digest/x",
                    "Host: ficu95.example\r\nX-Attempt-Id: " + id + "\r\nX-Time-Remaining: "
                            + TIME_REMAINING_MS + "\r\n",
                    body,
                    uploadMs);
            end = "cut";
            sentNs = System.nanoTime();
            var reply = http.receive();
            end = reply.status == 0 ? "closed without an answer" : String.valueOf(reply.status);
            kept = reply.status != 0 && !reply.field("connection").equals("close");
            Kit.pause(20);
        } catch (SocketTimeoutException e) {
            end = "silent";
        } catch (IOException e) {
            kit.note(id + " " + e.getMessage());
        }
        ENDS.put(id, end);
        if (sentNs > 0 && System.nanoTime() - sentNs > TIMEOUT_MS * 1_000_000) {
            OUTLASTING.incrementAndGet();
            if (end.equals("silent") && System.nanoTime() - sentNs > (TIMEOUT_MS + SLACK_MS) * 1_000_000) {
                OUTLASTING_UNANSWERED.incrementAndGet();
            }
        }
        if (!end.equals("200")) {
            kit.note(id + (onKept ? " on a kept connection: " : " on a new connection: ") + end);
        }
        return kept;
    }

    static int run(Kit kit) throws Exception {
        kit.start(1);
        var replicas = new ArrayList<Replica>();
        for (var zone = 0; zone < 3; zone++) {
            replicas.add(
                    new Replica(kit, "i-" + zone, "digests", zone, zone, 32) {
                        @Override
                        boolean run(Request request, Socket socket, OutputStream out)
                                throws IOException {
                            Kit.pause(request.id().startsWith("s") ? SMALL_WORK_MS : UPLOAD_WORK_MS);
                            respond(request, out, ("done " + request.id()).getBytes(StandardCharsets.UTF_8));
                            return true;
                        }
                    });
        }
        if (kit.configure(0, JobResults.configuration(1), 20_000) != 200 || !kit.awaitReady(30_000)) {
            return Kit.EXIT_CANNOT_RUN;
        }
        Kit.pause(5_000);
        var end = System.nanoTime() + DAY_MS * 1_000_000;
        Replica.daemon(() -> restart(kit));
        var clients = new ArrayList<Thread>();
        start(clients, kit, "s", SMALL_CLIENTS, SMALL_BYTES, 0, end);
        start(clients, kit, "u", USUAL_UPLOADS, BODY_BYTES, UPLOAD_MS, end);
        Kit.pause(3_000);
        if (kit.trouble) {
            kit.note("the burst begins");
            var burstEnd = System.nanoTime() + BURST_MS * 1_000_000;
            start(clients, kit, "b", (int) (USUAL_UPLOADS * (BURST - 1)), BODY_BYTES, UPLOAD_MS, burstEnd);
        }
        for (var client : clients) {
            client.join();
        }
        over = true;
        return judge(kit, replicas);
    }

    /** Starts the edge again a second after it has ended, as the platform does. */
    private static void restart(Kit kit) {
        while (!over) {
            if (!kit.process(kit.edges.get(0)).isAlive()) {
                ENDED_BY_ITSELF.incrementAndGet();
                kit.note("the edge's process has ended by itself");
                Kit.pause(1_000);
                try {
                    kit.startEdge(0);
                } catch (IOException e) {
                    kit.note("the edge is not started again: " + e.getMessage());
                }
            }
            Kit.pause(100);
        }
    }

    private static void start(
            List<Thread> clients, Kit kit, String kind, int count, int bytes, int uploadMs, long untilNs) {
        for (var i = 0; i < count; i++) {
            var name = kind + i;
            var thread = new Thread(() -> client(kit, name, bytes, uploadMs, untilNs));
            thread.setDaemon(true);
            thread.start();
            clients.add(thread);
        }
    }

    /** Counts what was passed on from kept connections to sound replicas and then cut. */
    private static int judge(Kit kit, List<Replica> replicas) throws IOException {
        var counts = new TreeMap<String, Integer>();
        var lost = 0;
        for (var entry : ENDS.entrySet()) {
            var id = entry.getKey();
            var end = entry.getValue();
            var passedOn = replicas.stream().anyMatch(replica -> replica.runs.containsKey(id));
            var closed = end.equals("cut") || end.equals("closed without an answer");
            lost += closed && passedOn && ON_KEPT.contains(id) ? 1 : 0;
            counts.merge(
                    (id.startsWith("s") ? "small" : "upload") + ", " + end + (passedOn ? ", run" : ", not run"),
                    1,
                    Integer::sum);
        }
        counts.forEach((kind, count) -> kit.note(kind + ": " + count));
        var edge = kit.edges.get(0);
        kit.note("passed on from a kept connection that was then closed without an answer: " + lost);
        kit.note("the edge's process ended by itself: " + ENDED_BY_ITSELF + " times");
        kit.notePrinted(edge, 4);
        if (ENDS.isEmpty()) {
            return Kit.EXIT_CANNOT_RUN;
        }
        var unanswered = OUTLASTING_UNANSWERED.get();
        kit.note("sent whole and outlasted TimeoutMs: " + OUTLASTING + ", without an answer 0.5 s after it: " + unanswered);
        var config = unanswered >= UNANSWERED && unanswered * QUARTER > OUTLASTING.get();
        kit.note("CONFIG broken: " + config + ", LOST broken: " + (lost > ALLOWED_CUTS));
        return config || lost > ALLOWED_CUTS ? Kit.EXIT_BROKEN : Kit.EXIT_HELD;
    }
}
