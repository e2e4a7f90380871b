package martenloom.launcher.harness;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Predicate;

/**
 * A stand-in for a replica: it accepts connections, serves each on a thread of its own with the
 * fault that a test has set, and counts what it executed by attempt id. Thread-safe.
 */
public final class StandInReplica implements Closeable {
    /** Requests that are executed at the same time while an execution takes time. */
    private static final int CAPACITY = 8;

    private static final long RESUME_TIMEOUT_S = 20;

    private final String id;
    private final String service;
    private final String zone;
    private final String address;
    private final ReceivedRequests requests = new ReceivedRequests();
    private final AtomicInteger heartbeatSequence = new AtomicInteger();
    private final Semaphore capacity = new Semaphore(CAPACITY, true);
    private final LongAdder busyMs = new LongAdder();
    private final ServerSocket server = new ServerSocket();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final ExecutorService threads =
            Executors.newCachedThreadPool(
                    task -> {
                        var thread = new Thread(task, "stand-in");
                        thread.setDaemon(true);
                        return thread;
                    });

    private volatile ReplicaFault fault = ReplicaFault.NONE;
    private volatile int executionMs;
    private volatile int responseBytes;
    private volatile Optional<byte[]> image = Optional.empty();
    private volatile Predicate<String> failing = attempt -> true;
    private volatile CountDownLatch resumed = new CountDownLatch(1);

    /** Starts to listen at a free port of this loopback address. */
    public StandInReplica(String id, String service, String zone, String ip) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        server.bind(new InetSocketAddress(ip, 0));
        address = ip + ":" + server.getLocalPort();
        threads.execute(this::accept);
    }

    private void accept() {
        try {
            while (true) {
                var socket = server.accept();
                connections.add(socket);
                threads.execute(() -> serve(socket));
            }
        } catch (IOException e) {
            return;
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            new ReplicaConnection(this, requests, socket).serve();
        } catch (IOException e) {
            return;
        } finally {
            connections.remove(socket);
        }
    }

    public String id() {
        return id;
    }

    public String service() {
        return service;
    }

    public String zone() {
        return zone;
    }

    public String address() {
        return address;
    }

    // ---- what a test sets

    public ReplicaFault fault() {
        return fault;
    }

    /** From now on requests meet this fault. */
    public void fault(ReplicaFault next) {
        fault = next;
    }

    /** How long an execution takes, with as many at once as the heartbeats say. */
    public void executionMs(int durationMs) {
        executionMs = durationMs;
    }

    /** From now on responses that are no streams have at least so many bytes. */
    public void responseBytes(int bytes) {
        responseBytes = bytes;
    }

    /** From now on responses that are no streams are this image. */
    public void respondWithImage(byte[] png) {
        image = Optional.of(png);
    }

    /** The image that it responds with, if it does. */
    Optional<byte[]> image() {
        return image;
    }

    /** The body of its response to an attempt, other than a stream. */
    public String responseText(String attempt) {
        var text = "done by " + service + " for " + attempt;
        return text + "x".repeat(Math.max(0, responseBytes - text.length()));
    }

    /** The attempts that {@link ReplicaFault#SERVER_ERROR} fails; all of them at first. */
    public void failOnly(Predicate<String> attempts) {
        failing = attempts;
    }

    /** Lets go on what is halted by PAUSE, EARLY_RESPONSE and UNFRAMED_RESET, and all later. */
    public void resume() {
        resumed.countDown();
    }

    /** What comes to a halt from now on waits for the next {@link #resume}. */
    public void haltAgain() {
        resumed = new CountDownLatch(1);
    }

    // ---- what a test sees

    /** How often this attempt was executed. */
    public int executions(String attempt) {
        return requests.executions(attempt);
    }

    /** How many executions there were of attempts whose id starts so. */
    public int executionsOf(String prefix) {
        return requests.executionsOf(prefix);
    }

    /** All executions of all attempts. */
    public int totalExecutions() {
        return requests.executionsOf("");
    }

    /** How many attempts whose id starts so were executed. */
    public int attempts(String prefix) {
        return requests.attempts(prefix);
    }

    /** Every request that arrived with this attempt id, in order. */
    public List<ReplicaRequest> received(String attempt) {
        return requests.received(attempt);
    }

    /** Start line, fields and body of this attempt; empty where it was not executed. */
    public String requestText(String attempt) {
        return requests.text(attempt);
    }

    /** Attempts that have come to a halt here for good. */
    public Set<String> stalled() {
        return requests.stalled();
    }

    /** When, by nanoTime, this attempt came to a halt here. */
    public CompletableFuture<Long> halted(String attempt) {
        return requests.signal("halted " + attempt);
    }

    /** When, by nanoTime, the connection of this halted attempt ended. */
    public CompletableFuture<Long> left(String attempt) {
        return requests.signal("left " + attempt);
    }

    /** When, by nanoTime, the body of this attempt had been read after an early response. */
    public CompletableFuture<Long> bodyRead(String attempt) {
        return requests.signal("read " + attempt);
    }

    /** The time that executions took together. */
    public long busyMs() {
        return busyMs.sum();
    }

    /** The sequence number of the latest heartbeat. */
    public int heartbeatSequence() {
        return heartbeatSequence.get();
    }

    /** The body of the next heartbeat. */
    public String nextHeartbeat(String state, int warmupLeftMs) {
        return "{\"Backend\":\""
                + service
                + "\",\"Address\":\""
                + address
                + "\",\"Zone\":\""
                + zone
                + "\",\"Revision\":\"v1\",\"Capacity\":"
                + CAPACITY
                + ",\"State\":\""
                + state
                + "\",\"WarmupLeftMs\":"
                + warmupLeftMs
                + ",\"Sequence\":"
                + heartbeatSequence.incrementAndGet()
                + "}";
    }

    // ---- for its connections

    boolean isFailing(String attempt) {
        return failing.test(attempt);
    }

    void awaitResumed() {
        try {
            resumed.await(RESUME_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Takes as long as an execution is set to take. */
    void occupy() {
        var durationMs = executionMs;
        if (durationMs == 0) {
            return;
        }
        capacity.acquireUninterruptibly();
        try {
            Thread.sleep(durationMs);
            busyMs.add(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            capacity.release();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        connections.forEach(StandInReplica::closeQuietly);
        threads.shutdownNow();
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            return;
        }
    }
}
