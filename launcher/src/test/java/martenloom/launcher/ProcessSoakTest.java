package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.locks.LockSupport;
import martenloom.launcher.harness.ClientCrowd;
import martenloom.launcher.harness.DaemonProcess;
import martenloom.launcher.harness.ProcessCluster;
import martenloom.launcher.harness.ProcessLimits;
import martenloom.launcher.harness.TallyCallers;
import martenloom.launcher.harness.TestConfiguration;
import martenloom.launcher.harness.TestHttpClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Daemons as processes under signals, restarts, changes of the configuration and crowds of clients
 * that do not behave, in series that overlap, while ordinary clients keep using their connections
 * until the process at the other end is gone. Judged are ends of processes that nobody asked for,
 * memory, descriptors, what may run once, responses that were cut, adds to tallies, and that
 * everybody is served at the end.
 *
 * <p>A seed gives the events; the clocks are real. More seeds, other lengths and sizes: {@code
 * -Dsoak.seed=N -Dsoak.seeds=N -Dsoak.seconds=N -Dsoak.cores=N -Dsoak.edges=N -Dsoak.clients=N}.
 */
final class ProcessSoakTest {
    private static final ProcessLimits LIMITS = new ProcessLimits(64, 320, 600);
    private static final int FIRST_NETWORK = 170;
    private static final int NETWORKS = 30;
    private static final int USUAL_SECONDS = 20;
    private static final int USUAL_CLIENTS = 8;
    private static final int TALLY_CALLERS = 2;
    private static final int CROWD = 250;
    private static final int LONGEST_PAUSE_MS = 1_200;
    private static final int LONGEST_DOWN_MS = 1_500;
    private static final int LONGEST_CROWD_MS = 4_000;
    private static final int EVENT_THREADS = 16;
    private static final int PATIENCE_MS = 15_000;

    /** LOST allows so many requests that were passed on and then cut. */
    private static final int ALLOWED_CUTS = 3;

    /** The status of a process that ended by SIGTERM. */
    private static final int TERMINATED = 143;

    private static final int OK = 200;

    @TempDir private Path dir;
    private final int coreCount = Integer.getInteger("soak.cores", 3);
    private final int edgeCount = Integer.getInteger("soak.edges", 3);
    private final Queue<String> violations = new ConcurrentLinkedQueue<>();
    private final AtomicInteger cuts = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger revision = new AtomicInteger(1);

    /**
     * How often a kill of each edge has begun or is done, so that a request knows whether its end
     * may be cut; odd while one goes on.
     */
    private AtomicIntegerArray kills;

    /** How many interruptions of core daemons there are now; at most a minority. */
    private final AtomicInteger coresDown = new AtomicInteger();

    private ProcessCluster cluster;
    private volatile boolean over;

    @Test
    void everybodyIsServedWhateverEndsAndWhoeverCalls() throws Exception {
        var first = Integer.getInteger("soak.seed", 1);
        for (var seed = first; seed < first + Integer.getInteger("soak.seeds", 1); seed++) {
            violations.clear();
            cuts.set(0);
            answered.set(0);
            revision.set(1);
            kills = new AtomicIntegerArray(edgeCount);
            over = false;
            var network = FIRST_NETWORK + seed % NETWORKS;
            try (var started =
                    new ProcessCluster(
                            dir.resolve("seed" + seed),
                            network,
                            coreCount,
                            edgeCount,
                            LIMITS,
                            TestConfiguration.of(1))) {
                cluster = started;
                play(seed);
            }
        }
    }

    private void play(int seed) throws Exception {
        var clients = new ArrayList<Thread>();
        for (var i = 0; i < Integer.getInteger("soak.clients", USUAL_CLIENTS); i++) {
            var name = "s" + seed + "-c" + i;
            var random = new Random(seed * 1_000L + i);
            clients.add(new Thread(() -> runClient(name, random), name));
        }
        clients.forEach(Thread::start);
        var tallies = new TallyCallers(cluster.control(), coreCount, TALLY_CALLERS, seed);
        disturb(new Random(seed));
        over = true;
        for (var client : clients) {
            client.join();
        }
        tallies.stop();
        System.out.printf(
                "soak seed %d: %d answered, %d cut, adds %s, %d violations %s%n",
                seed, answered.get(), cuts.get(), tallies, violations.size(), violations);
        assertEquals(List.of(), List.copyOf(violations), "seed " + seed);
        assertTrue(cuts.get() <= ALLOWED_CUTS, () -> "seed " + seed + ": " + cuts + " cut");
        cluster.awaitServing();
        assertEquals(List.of(), tallies.check(), "seed " + seed);
        for (var edge = 0; edge < edgeCount; edge++) {
            assertWithinLimits(cluster.edge(edge), seed);
        }
        for (var core = 0; core < coreCount; core++) {
            assertWithinLimits(cluster.core(core), seed);
        }
        assertNewestIsKept(seed);
    }

    private static void assertWithinLimits(DaemonProcess daemon, int seed) {
        assertTrue(daemon.isAlive(), () -> "seed " + seed + ", ended: " + daemon.output());
        assertTrue(daemon.descriptors() <= LIMITS.maxFileDescriptors(), "seed " + seed);
        assertTrue(daemon.peakMemoryMb() <= LIMITS.memoryMb(), "seed " + seed);
    }

    /** What was acknowledged is what a repetition of the last order finds. */
    private void assertNewestIsKept(int seed) {
        var status =
                cluster.control()
                        .replaceConfiguration(
                                revision.get(), TestConfiguration.of(revision.get() + 1));
        assertEquals(OK, status, "seed " + seed + ": the next configuration");
    }

    // ---- events

    private void disturb(Random random) throws Exception {
        var events = Executors.newScheduledThreadPool(EVENT_THREADS);
        var running = new ArrayList<Future<?>>();
        var seconds = Integer.getInteger("soak.seconds", USUAL_SECONDS);
        var atMs = 0;
        while (atMs < seconds * 1_000) {
            atMs += random.nextInt(LONGEST_PAUSE_MS);
            running.add(schedule(events, random, atMs));
        }
        for (var event : running) {
            event.get();
        }
        events.shutdown();
    }

    private Future<?> schedule(ScheduledExecutorService events, Random random, int atMs) {
        var edge = random.nextInt(edgeCount);
        var core = random.nextInt(coreCount);
        var downMs = random.nextInt(LONGEST_DOWN_MS);
        var crowd = new Random(random.nextLong());
        Runnable event =
                switch (random.nextInt(8)) {
                    case 0 -> () -> restartEdge(edge, true);
                    case 1 -> () -> restartEdge(edge, false);
                    case 2 -> () -> interruptCore(core, true, downMs);
                    case 3 -> () -> interruptCore(core, false, downMs);
                    case 4 -> () -> cluster.edge(edge).hangUp();
                    case 5 -> this::changeConfiguration;
                    case 6 -> () -> press(cluster.front(edge), edgePayload(crowd), crowd);
                    default -> () -> press(cluster.controlPlane(core), corePayload(crowd), crowd);
                };
        return events.schedule(event, atMs, TimeUnit.MILLISECONDS);
    }

    private void restartEdge(int number, boolean inOrder) {
        synchronized (("edge" + number).intern()) {
            if (inOrder) {
                end("edge " + number, cluster.edge(number), true);
            } else {
                kills.incrementAndGet(number);
                end("edge " + number, cluster.edge(number), false);
                kills.incrementAndGet(number);
            }
            cluster.startEdge(number);
        }
    }

    private void interruptCore(int number, boolean inOrder, int downMs) {
        synchronized (("core" + number).intern()) {
            if (coresDown.incrementAndGet() * 2 < coreCount) {
                end("core " + number, cluster.core(number), inOrder);
                awaitMs(downMs);
                cluster.startCore(number);
            }
            coresDown.decrementAndGet();
        }
    }

    /** Ends a process that must run until now, and by the signal alone. */
    private void end(String name, DaemonProcess daemon, boolean inOrder) {
        if (!daemon.isAlive()) {
            violations.add(
                    name + " has ended by itself, " + daemon.status() + ": " + daemon.output());
            return;
        }
        if (!inOrder) {
            daemon.close();
            return;
        }
        daemon.terminate();
        var status = daemon.awaitEnd();
        if (status != TERMINATED && status != 0) {
            violations.add(name + " ended with " + status + ": " + daemon.output());
            daemon.close();
        }
    }

    private static void awaitMs(int delayMs) {
        var end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMs);
        while (System.nanoTime() < end) {
            LockSupport.parkNanos(end - System.nanoTime());
        }
    }

    private synchronized void changeConfiguration() {
        var next = revision.get() + 1;
        if (cluster.control().replaceConfiguration(revision.get(), TestConfiguration.of(next))
                == OK) {
            revision.set(next);
        } else {
            violations.add("configuration " + next + " was not acknowledged");
        }
    }

    private static void press(String address, String payload, Random random) {
        try (var crowd = new ClientCrowd(address, payload.getBytes(StandardCharsets.ISO_8859_1))) {
            crowd.press(CROWD);
            awaitMs(random.nextInt(LONGEST_CROWD_MS));
        }
    }

    private static String edgePayload(Random random) {
        var head = "POST /safe/x HTTP/1.1\r\nHost: cluster.example\r\nX-Attempt-Id: crowd\r\n";
        return switch (random.nextInt(5)) {
            case 0 ->
                    head + "a:\r\n".repeat(1_900) + "Content-Length: 100\r\n\r\n" + "b".repeat(99);
            case 1 -> head + "Content-Length: 99000\r\n\r\n" + "b".repeat(98_999);
            case 2 -> head + "Transfer-Encoding: chunked\r\n\r\n" + "1\r\nb\r\n".repeat(50_000);
            case 3 -> (head + "Content-Length: 1\r\n\r\np").repeat(500);
            default -> "";
        };
    }

    private static String corePayload(Random random) {
        var head = "POST /jobs/j/submit HTTP/1.1\r\nHost: c\r\n";
        return switch (random.nextInt(5)) {
            case 0 -> head + "Content-Length: 65000\r\n\r\n" + "b".repeat(64_999);
            case 1 -> head + "Content-Length: 1000000\r\n\r\n" + "b".repeat(999_999);
            case 2 -> head + "Transfer-Encoding: chunked\r\n\r\n" + "1\r\nb\r\n".repeat(50_000);
            case 3 -> head + ("X-Long: " + "v".repeat(8_000) + "\r\n").repeat(90);
            default -> "";
        };
    }

    // ---- ordinary clients

    private void runClient(String name, Random random) {
        var number = 0;
        while (!over) {
            var edge = random.nextInt(edgeCount);
            try (var socket = TestHttpClient.open(cluster.front(edge))) {
                socket.setSoTimeout(PATIENCE_MS);
                var in = new BufferedInputStream(socket.getInputStream());
                var kept = true;
                while (kept && !over) {
                    var path = random.nextBoolean() ? "/once/x" : "/safe/x";
                    var attempt = name + "-" + number++;
                    var killsBefore = kills.get(edge);
                    var status = 0;
                    try {
                        socket.getOutputStream()
                                .write(TestHttpClient.request(path, attempt, "", "p"));
                        var reply = TestHttpClient.read(in);
                        status = reply.complete() ? reply.status() : 0;
                        kept = status != 0 && !reply.field("Connection").equals("close");
                    } catch (IOException e) {
                        kept = false;
                    }
                    var killed = killsBefore % 2 == 1 || kills.get(edge) != killsBefore;
                    judge(attempt, path, status, killed);
                }
            } catch (IOException e) {
                Thread.onSpinWait(); // the edge is down: another one is asked
            }
        }
    }

    private void judge(String attempt, String path, int status, boolean killed) {
        var executions = cluster.executions(attempt);
        if (path.startsWith("/once/") && executions > 1) {
            violations.add(attempt + " ran " + executions + " times");
        }
        if (path.startsWith("/once/") && status == 503 && executions > 0) {
            violations.add(attempt + " was refused and ran");
        }
        if (status == 0 && executions > 0 && !killed) {
            cuts.incrementAndGet();
            System.out.println("soak: " + attempt + " " + path + " was run and cut");
        }
        answered.addAndGet(status == OK ? 1 : 0);
    }
}
