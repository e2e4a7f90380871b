package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A stand-in replica: beats, serves one request at a time on each connection, counts its runs. */
class Replica implements AutoCloseable {
    /** A request as it came. */
    static final class Request {
        String method;
        String path;
        Map<String, String> fields;
        byte[] body;

        String id() {
            return fields.getOrDefault("x-attempt-id", "");
        }
    }

    final Kit kit;
    final String id;
    final String service;
    final int zone;
    final String ip;
    final int port;
    final int capacity;
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final ServerSocket server = new ServerSocket();
    private final AtomicLong sequence = new AtomicLong();
    volatile String state = "ready";
    volatile boolean beating = true;

    Replica(Kit kit, String id, String service, int zone, int number, int capacity) throws IOException {
        this.kit = kit;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.capacity = capacity;
        ip = kit.replicaIp(zone, number);
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 512);
        port = server.getLocalPort();
        daemon(this::accept);
        daemon(this::beat);
    }

    static void daemon(Runnable task) {
        var thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void beat() {
        var turn = zone;
        while (!server.isClosed()) {
            if (beating && !kit.cores.isEmpty()) {
                for (var i = 0; i < kit.cores.size(); i++) {
                    if (sendBeat(kit.cores.get(turn % kit.cores.size())) == 200) {
                        break;
                    }
                    turn++;
                }
            }
            Kit.pause(1200);
        }
    }

    int sendBeat(String core) {
        return Http.call(core, kit.controlPort(), "POST", "/instances/" + id + "/heartbeat",
                "Content-Type: application/json\r\n",
                "{\"Backend\":\"" + service + "\",\"Address\":\"" + ip + ":" + port + "\",\"Zone\":\""
                        + Kit.ZONES[zone] + "\",\"Revision\":\"v1\",\"Capacity\":" + capacity
                        + ",\"State\":\"" + state + "\",\"WarmupLeftMs\":0,\"Phase\":\"colocated\","
                        + "\"Models\":[{\"Name\":\"m\",\"Revision\":1,\"Adapters\":[]}],\"Sequence\":"
                        + sequence.incrementAndGet() + "}", 1000).status;
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                var socket = server.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            var in = new BufferedInputStream(socket.getInputStream());
            var out = socket.getOutputStream();
            while (true) {
                var request = read(in);
                if (request == null) {
                    return;
                }
                if (!request.fields.getOrDefault("x-target-instance", id).equals(id)) {
                    write(out, "HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: " + request.id()
                            + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                runs.computeIfAbsent(request.id(), key -> new AtomicInteger()).incrementAndGet();
                if (!run(request, socket, out)) {
                    return;
                }
            }
        } catch (IOException e) {
            // The connection has ended.
        }
    }

    /** Runs a request and answers it; says whether the connection is kept. */
    boolean run(Request request, Socket socket, OutputStream out) throws IOException {
        respond(request, out, ("done " + request.id()).getBytes(StandardCharsets.UTF_8));
        return true;
    }

    void respond(Request request, OutputStream out, byte[] body) throws IOException {
        var whole = new ByteArrayOutputStream();
        whole.writeBytes(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.id() + "\r\nX-Server-Seal: seal." + id
                + "\r\nContent-Type: text/plain\r\nContent-Length: " + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
        whole.writeBytes(body);
        out.write(whole.toByteArray());
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static Request read(InputStream in) throws IOException {
        var start = Http.line(in);
        if (start.isEmpty()) {
            return null;
        }
        var request = new Request();
        var words = start.split(" ");
        request.method = words[0];
        request.path = words[1];
        request.fields = Http.fields(in);
        var body = new ByteArrayOutputStream();
        if (request.fields.containsKey("transfer-encoding")) {
            Http.readChunks(in, body);
        } else {
            body.writeBytes(in.readNBytes(Integer.parseInt(request.fields.getOrDefault("content-length", "0"))));
        }
        request.body = body.toByteArray();
        return request;
    }

    int totalRuns() {
        return runs.values().stream().mapToInt(AtomicInteger::get).sum();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
