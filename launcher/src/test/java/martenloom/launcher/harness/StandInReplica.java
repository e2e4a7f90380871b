package martenloom.launcher.harness;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Predicate;

/** A stand-in for a replica, with switches for its faults; it counts what it ran by id. */
public final class StandInReplica implements Closeable {
    /** How the stand-in misbehaves. */
    public enum Mode {
        WELL,
        CUT_STREAM,
        RESET,
        EXTRA,
        GARBLE,
        NOT_RUN,
        SILENT,
        LATE_OTHER,
        FLAKY,
        FORGETS,
        STALL,
        /** Halts in the middle of a stream until it is resumed. */
        PAUSE,
        /** Writes events for as long as the connection bears it. */
        FLOOD,
        /** Answers before it has read the body, and reads on once it is resumed. */
        EARLY,
        /** Answers without a length and closes the connection in order. */
        UNFRAMED,
        /** Answers without a length and resets the connection on the way. */
        UNFRAMED_RESET,
        /**
         * On a connection that has served before: one more answer, with no id, before the right
         * one.
         */
        STRAY,
        /**
         * Refuses each request at first; when it comes again on that connection, it sends the
         * refusal once more and then runs it.
         */
        REFUSAL_TWICE,
        /** Runs a request and answers 503 without saying that it was not executed. */
        BUSY_AFTER_RUN
    }

    /** Among the fields of a send: when it arrived, by nanoTime. */
    public static final String ARRIVED = ":arrived";

    public final String id;
    public final String service;
    public final String zone;
    public final String address;
    public volatile Mode mode = Mode.WELL;

    /** Only for measuring: how long a run takes, with as many places as the beats say. */
    public volatile int workMs;

    public final LongAdder busyMs = new LongAdder();

    /** Requests that a failing replica fails; a part of them, or those of some callers only. */
    public volatile Predicate<String> fails = a -> true;

    /** Requests that have come to a halt here, in the middle of a stream or before any answer. */
    public final Set<String> stalled = ConcurrentHashMap.newKeySet();

    /** The fields of every send that arrived, in order, by attempt. */
    public final Map<String, List<Map<String, String>>> sends = new ConcurrentHashMap<>();

    /** Lets go on what halted in the modes PAUSE and EARLY. */
    public volatile CountDownLatch resume = new CountDownLatch(1);

    /** In the mode REFUSAL_TWICE: the attempt that each connection refused last. */
    private final Map<Socket, String> refused = new ConcurrentHashMap<>();

    private final Map<String, CompletableFuture<Long>> signals = new ConcurrentHashMap<>();
    private final Semaphore places = new Semaphore(8, true);
    public final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    public final Map<String, String> heads = new ConcurrentHashMap<>();
    public final AtomicInteger seq = new AtomicInteger();
    private final ServerSocket door;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final ExecutorService hands =
            Executors.newCachedThreadPool(
                    r -> {
                        var t = new Thread(r, "stand-in");
                        t.setDaemon(true);
                        return t;
                    });

    public StandInReplica(String id, String service, String zone, String ip) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        door = new ServerSocket();
        door.bind(new InetSocketAddress(ip, 0));
        address = ip + ":" + door.getLocalPort();
        hands.execute(this::accept);
    }

    private void accept() {
        try {
            while (true) {
                var s = door.accept();
                open.add(s);
                hands.execute(() -> serve(s));
            }
        } catch (IOException e) {
            return;
        }
    }

    public int ran(String attempt) {
        return runs.getOrDefault(attempt, new AtomicInteger()).get();
    }

    /**
     * When (by nanoTime) something came about here: "halted ID", "left ID" (its connection has
     * ended), "read ID" (its body).
     */
    public CompletableFuture<Long> signal(String what) {
        return signals.computeIfAbsent(what, k -> new CompletableFuture<>());
    }

    private void tell(String what) {
        signal(what).complete(System.nanoTime());
    }

    public int ranAll() {
        return runs.values().stream().mapToInt(AtomicInteger::get).sum();
    }

    private void serve(Socket s) {
        try (s) {
            var in = new BufferedInputStream(s.getInputStream());
            var out = s.getOutputStream();
            for (var n = 0; one(s, in, out, n); n++) {}
        } catch (IOException e) {
            return;
        } finally {
            open.remove(s);
        }
    }

    private boolean one(Socket s, InputStream in, OutputStream out, int before) throws IOException {
        var start = TestHttpClient.line(in);
        if (start.isEmpty()) {
            return false;
        }
        if (mode == Mode.FORGETS && before > 0) {
            s.setSoLinger(true, 0);
            return false;
        }
        var f = new TreeMap<String, String>(String.CASE_INSENSITIVE_ORDER);
        for (var l = TestHttpClient.line(in); !l.isEmpty(); l = TestHttpClient.line(in)) {
            f.put(l.substring(0, l.indexOf(':')), l.substring(l.indexOf(':') + 1).strip());
        }
        var length = Integer.parseInt(f.getOrDefault("Content-Length", "0"));
        var a = f.getOrDefault("X-Attempt-Id", "");
        f.put(ARRIVED, String.valueOf(System.nanoTime()));
        sends.computeIfAbsent(a, k -> new CopyOnWriteArrayList<>()).add(f);
        if (mode == Mode.EARLY) {
            return answerEarly(in, out, a, start + " " + f, length);
        }
        var body = in.readNBytes(length);
        if (!f.getOrDefault("X-Target-Instance", id).equals(id)) {
            out.write(
                    ("HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: "
                                    + a
                                    + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                            .getBytes());
            return true;
        }
        if (mode == Mode.NOT_RUN) {
            out.write(
                    ("HTTP/1.1 503 Full\r\nX-Attempt-Id: "
                                    + a
                                    + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                            .getBytes());
            return true;
        }
        if (mode == Mode.REFUSAL_TWICE && (sends.get(a).size() == 1 || a.equals(refused.get(s)))) {
            out.write(
                    ("HTTP/1.1 503 Full\r\nX-Attempt-Id: "
                                    + a
                                    + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                            .getBytes());
            if (!a.equals(refused.put(s, a))) {
                return true;
            }
        }
        runs.computeIfAbsent(a, k -> new AtomicInteger()).incrementAndGet();
        heads.put(a, start + " " + f + " " + new String(body, StandardCharsets.UTF_8));
        if (workMs > 0) {
            work();
        }
        if (mode == Mode.RESET) {
            s.setSoLinger(true, 0);
            return false;
        }
        if (mode == Mode.FLAKY && fails.test(a)) {
            out.write(
                    ("HTTP/1.1 500 Broken\r\nX-Attempt-Id: "
                                    + a
                                    + "\r\nX-Server-Seal: seal-"
                                    + id
                                    + "\r\nContent-Length: 0\r\n\r\n")
                            .getBytes());
            return true;
        }
        if (mode == Mode.STALL && !start.contains("/stream")) {
            return stall(in, a);
        }
        if (mode == Mode.SILENT) {
            return stall(in, a);
        }
        if (mode == Mode.BUSY_AFTER_RUN) {
            out.write(
                    ("HTTP/1.1 503 Busy\r\nX-Attempt-Id: "
                                    + a
                                    + "\r\nX-Server-Seal: seal-"
                                    + id
                                    + "\r\nContent-Length: 0\r\n\r\n")
                            .getBytes());
            return true;
        }
        if (mode == Mode.STRAY && before > 0) {
            out.write(
                    "HTTP/1.1 200 OK\r\nX-Server-Seal: old\r\nContent-Length: 5\r\n\r\nstale"
                            .getBytes());
        }
        if (mode == Mode.GARBLE) {
            out.write("ceci n'est pas une reponse\r\n\r\n".getBytes());
            return false;
        }
        if (mode == Mode.LATE_OTHER) {
            out.write(
                    ("HTTP/1.1 200 OK\r\n"
                                    + "X-Attempt-Id: 0123\r\n"
                                    + "X-Server-Seal: old\r\n"
                                    + "Content-Length: 5\r\n\r\n"
                                    + "stale")
                            .getBytes());
        }
        if (start.contains("/stream")) {
            return stream(
                    s,
                    in,
                    out,
                    a,
                    Integer.parseInt(
                            f.getOrDefault("Last-Event-Id", "0").isEmpty()
                                    ? "0"
                                    : f.getOrDefault("Last-Event-Id", "0")));
        }
        var text = "done by " + service + " for " + a;
        if (mode == Mode.UNFRAMED || mode == Mode.UNFRAMED_RESET) {
            return unframed(
                    s, in, out, head(a), mode == Mode.UNFRAMED ? text : text.substring(0, 5));
        }
        var answer =
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: "
                        + a
                        + "\r\nX-Server-Seal: seal-"
                        + id
                        + "\r\nContent-Length: "
                        + text.length()
                        + "\r\n\r\n"
                        + text;
        out.write((answer + (mode == Mode.EXTRA ? answer : "")).getBytes());
        out.flush();
        return true;
    }

    private String head(String a) {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + a + "\r\nX-Server-Seal: seal-" + id + "\r\n";
    }

    /**
     * In UNFRAMED_RESET what was written has been read (a signal of the test says so) before the
     * reset, which would drop it.
     */
    private boolean unframed(Socket s, InputStream in, OutputStream out, String head, String text)
            throws IOException {
        out.write((head + "\r\n" + text).getBytes());
        out.flush();
        if (mode == Mode.UNFRAMED_RESET) {
            awaitResume();
            s.setSoLinger(true, 0);
        }
        return false;
    }

    private boolean answerEarly(InputStream in, OutputStream out, String a, String head, int length)
            throws IOException {
        runs.computeIfAbsent(a, k -> new AtomicInteger()).incrementAndGet();
        out.write((head(a) + "Content-Length: 5\r\n\r\nearly").getBytes());
        out.flush();
        tell("halted " + a);
        awaitResume();
        heads.put(a, head + " " + new String(in.readNBytes(length), StandardCharsets.UTF_8));
        tell("read " + a);
        return true;
    }

    private void awaitResume() {
        try {
            resume.await(20, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Says nothing more and keeps the connection, as a machine behind a silent cut does. */
    private boolean stall(InputStream in, String a) throws IOException {
        stalled.add(a);
        tell("halted " + a);
        try {
            in.read();
        } finally {
            tell("left " + a);
        }
        return false;
    }

    private void flood(OutputStream out, String a) throws IOException {
        var e = "data: " + "x".repeat(4000) + "\n\n";
        tell("halted " + a);
        try {
            for (var i = 1; i < 1_000_000; i++) {
                out.write((Integer.toHexString(e.length()) + "\r\n" + e + "\r\n").getBytes());
                out.flush();
            }
        } finally {
            tell("left " + a);
        }
    }

    private void work() {
        places.acquireUninterruptibly();
        try {
            Thread.sleep(workMs);
            busyMs.add(workMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            places.release();
        }
    }

    private boolean unframedStream(Socket s, InputStream in, OutputStream out, String a)
            throws IOException {
        var b = new StringBuilder();
        for (var i = 1; i <= (mode == Mode.UNFRAMED ? 8 : 4); i++) {
            b.append("id: ").append(i).append("\ndata: piece ").append(i).append("\n\n");
        }
        return unframed(s, in, out, head(a) + "Content-Type: text/event-stream\r\n", b.toString());
    }

    private boolean stream(Socket s, InputStream in, OutputStream out, String a, int from)
            throws IOException {
        if (mode == Mode.UNFRAMED || mode == Mode.UNFRAMED_RESET) {
            return unframedStream(s, in, out, a);
        }
        out.write(
                (head(a) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                        .getBytes());
        if (mode == Mode.FLOOD) {
            flood(out, a);
        }
        for (var i = from + 1; i <= 8; i++) {
            var e = "id: " + i + "\ndata: piece " + i + "\n\n";
            if (mode == Mode.PAUSE && i == 4) {
                tell("halted " + a);
                awaitResume();
            }
            if (mode == Mode.STALL && i == 4) {
                return stall(in, a);
            }
            if (mode == Mode.CUT_STREAM && i == 4) {
                out.write(
                        (Integer.toHexString(e.length()) + "\r\n" + e.substring(0, 5)).getBytes());
                out.flush();
                return false;
            }
            out.write((Integer.toHexString(e.length()) + "\r\n" + e + "\r\n").getBytes());
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes());
        out.flush();
        return true;
    }

    public String beat(String state, int warmLeftMs) {
        return "{\"Backend\":\""
                + service
                + "\",\"Address\":\""
                + address
                + "\",\"Zone\":\""
                + zone
                + "\",\"Revision\":\"v1\",\"Capacity\":8,\"State\":\""
                + state
                + "\",\"WarmupLeftMs\":"
                + warmLeftMs
                + ",\"Sequence\":"
                + seq.incrementAndGet()
                + "}";
    }

    @Override
    public void close() throws IOException {
        door.close();
        open.forEach(
                s -> {
                    try {
                        s.close();
                    } catch (IOException e) {
                        return;
                    }
                });
        hands.shutdownNow();
    }
}
