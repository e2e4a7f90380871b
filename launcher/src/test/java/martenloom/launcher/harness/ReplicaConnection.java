package martenloom.launcher.harness;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * One connection to a stand-in replica, served on the thread that calls {@link #serve}: it reads
 * one request after the other and responds, or misbehaves, as the replica's fault says then.
 */
final class ReplicaConnection {
    private static final int STREAM_EVENTS = 8;

    /** The event before which the faults of streams strike. */
    private static final int FAULTY_EVENT = 4;

    private static final int FLOOD_EVENTS = 1_000_000;
    private static final int FLOOD_EVENT_BYTES = 4_000;
    private static final int CUT_BYTES = 5;
    private static final String EVENT_STREAM = "Content-Type: text/event-stream\r\n";

    private final StandInReplica replica;
    private final ReceivedRequests requests;
    private final Socket socket;
    private final InputStream in;
    private final OutputStream out;
    private int served;

    /** The attempt that DUPLICATE_REFUSAL refused last on this connection. */
    private String refused = "";

    ReplicaConnection(StandInReplica replica, ReceivedRequests requests, Socket socket)
            throws IOException {
        this.replica = replica;
        this.requests = requests;
        this.socket = socket;
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    /** Serves requests until the connection is to be closed. */
    void serve() throws IOException {
        while (serveNext()) {
            served++;
        }
    }

    /** Says whether the connection stays open. */
    private boolean serveNext() throws IOException {
        var startLine = TestHttpClient.line(in);
        if (startLine.isEmpty()) {
            return false;
        }
        if (replica.fault() == ReplicaFault.DROPS_USED_CONNECTIONS && served > 0) {
            return reset();
        }
        var request = ReplicaRequest.read(startLine, in);
        requests.addReceived(request);
        if (replica.fault() == ReplicaFault.EARLY_RESPONSE) {
            return respondEarly(request);
        }
        var body = new String(in.readNBytes(request.contentLength()), StandardCharsets.UTF_8);
        if (!request.isMeantFor(replica.id())) {
            return refuse("421 Misdirected", request);
        }
        if (isRefused(request)) {
            return true;
        }
        requests.addExecution(request.attempt());
        requests.addText(request, body);
        replica.occupy();
        return respondWithFault(request);
    }

    /** Refuses the request where the fault says so; a second refusal is followed by execution. */
    private boolean isRefused(ReplicaRequest request) throws IOException {
        var attempt = request.attempt();
        if (replica.fault() == ReplicaFault.NOT_EXECUTED) {
            return refuse("503 Full", request);
        }
        if (replica.fault() == ReplicaFault.DUPLICATE_REFUSAL
                && (requests.received(attempt).size() == 1 || attempt.equals(refused))) {
            refuse("503 Full", request);
            var again = attempt.equals(refused);
            refused = attempt;
            return !again;
        }
        return false;
    }

    private boolean refuse(String status, ReplicaRequest request) throws IOException {
        write(
                "HTTP/1.1 "
                        + status
                        + "\r\nX-Attempt-Id: "
                        + request.attempt()
                        + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        return true;
    }

    private boolean respondWithFault(ReplicaRequest request) throws IOException {
        switch (replica.fault()) {
            case RESET -> {
                return reset();
            }
            case SERVER_ERROR -> {
                return replica.isFailing(request.attempt())
                        ? respondEmpty("500 Broken", request)
                        : respond(request);
            }
            case STALL -> {
                return request.isStream() ? respond(request) : stall(request);
            }
            case SILENT -> {
                return stall(request);
            }
            case BUSY_AFTER_EXECUTION -> {
                return respondEmpty("503 Busy", request);
            }
            case GARBLED_RESPONSE -> {
                write("ceci n'est pas une reponse\r\n\r\n");
                return false;
            }
            case STRAY_RESPONSE -> {
                if (served > 0) {
                    writeStale("");
                }
                return respond(request);
            }
            case RESPONSE_TO_ANOTHER -> {
                writeStale("X-Attempt-Id: 0123\r\n");
                return respond(request);
            }
            default -> {
                return respond(request);
            }
        }
    }

    private void writeStale(String attemptField) throws IOException {
        write(
                "HTTP/1.1 200 OK\r\n"
                        + attemptField
                        + "X-Server-Seal: old\r\nContent-Length: 5\r\n\r\nstale");
    }

    private boolean respondEmpty(String status, ReplicaRequest request) throws IOException {
        write(head(status, request) + "Content-Length: 0\r\n\r\n");
        return true;
    }

    private boolean respond(ReplicaRequest request) throws IOException {
        if (request.isStream()) {
            return stream(request);
        }
        if (replica.image().isPresent()) {
            return respondWithImage(request, replica.image().get());
        }
        var text = replica.responseText(request.attempt());
        if (replica.fault() == ReplicaFault.UNFRAMED) {
            return respondUnframed(head("200 OK", request), text);
        }
        if (replica.fault() == ReplicaFault.UNFRAMED_RESET) {
            return respondUnframed(head("200 OK", request), text.substring(0, CUT_BYTES));
        }
        var response =
                head("200 OK", request) + "Content-Length: " + text.length() + "\r\n\r\n" + text;
        write(response + (replica.fault() == ReplicaFault.DUPLICATE_RESPONSE ? response : ""));
        return true;
    }

    private boolean respondWithImage(ReplicaRequest request, byte[] image) throws IOException {
        write(
                head("200 OK", request)
                        + "Content-Type: image/png\r\nContent-Length: "
                        + image.length
                        + "\r\n\r\n");
        out.write(image);
        out.flush();
        return true;
    }

    private String head(String status, ReplicaRequest request) {
        return "HTTP/1.1 "
                + status
                + "\r\nX-Attempt-Id: "
                + request.attempt()
                + "\r\nX-Server-Seal: seal-"
                + replica.id()
                + "\r\n";
    }

    /**
     * In UNFRAMED_RESET what was written has been read (the test resumes the replica then) before
     * the reset, which would drop it.
     */
    private boolean respondUnframed(String head, String body) throws IOException {
        write(head + "\r\n" + body);
        if (replica.fault() == ReplicaFault.UNFRAMED_RESET) {
            replica.awaitResumed();
            reset();
        }
        return false;
    }

    private boolean respondEarly(ReplicaRequest request) throws IOException {
        requests.addExecution(request.attempt());
        write(head("200 OK", request) + "Content-Length: 5\r\n\r\nearly");
        requests.tell("halted " + request.attempt());
        replica.awaitResumed();
        var body = new String(in.readNBytes(request.contentLength()), StandardCharsets.UTF_8);
        requests.addText(request, body);
        requests.tell("read " + request.attempt());
        return true;
    }

    /** Says nothing more and keeps the connection, as a machine behind a silent partition does. */
    private boolean stall(ReplicaRequest request) throws IOException {
        requests.addStalled(request.attempt());
        requests.tell("halted " + request.attempt());
        try {
            in.read();
        } finally {
            requests.tell("left " + request.attempt());
        }
        return false;
    }

    /** The connection is reset when it is closed. */
    private boolean reset() throws IOException {
        socket.setSoLinger(true, 0);
        return false;
    }

    // ---- streams

    private boolean stream(ReplicaRequest request) throws IOException {
        var head = head("200 OK", request) + EVENT_STREAM;
        if (replica.fault() == ReplicaFault.UNFRAMED) {
            return respondUnframed(head, events(STREAM_EVENTS));
        }
        if (replica.fault() == ReplicaFault.UNFRAMED_RESET) {
            return respondUnframed(head, events(FAULTY_EVENT));
        }
        write(head + "Transfer-Encoding: chunked\r\n\r\n");
        if (replica.fault() == ReplicaFault.FLOOD) {
            flood(request.attempt());
        }
        for (var number = request.lastEvent() + 1; number <= STREAM_EVENTS; number++) {
            if (number == FAULTY_EVENT && !passFaultyEvent(request)) {
                return false;
            }
            writeChunk(event(number));
        }
        write("0\r\n\r\n");
        return true;
    }

    /** Misbehaves before the faulty event as the fault says; says whether the stream goes on. */
    private boolean passFaultyEvent(ReplicaRequest request) throws IOException {
        switch (replica.fault()) {
            case PAUSE -> {
                requests.tell("halted " + request.attempt());
                replica.awaitResumed();
                return true;
            }
            case STALL -> {
                return stall(request);
            }
            case CUT_STREAM -> {
                var event = event(FAULTY_EVENT);
                write(Integer.toHexString(event.length()) + "\r\n" + event.substring(0, CUT_BYTES));
                return false;
            }
            default -> {
                return true;
            }
        }
    }

    private static String event(int number) {
        return "id: " + number + "\ndata: piece " + number + "\n\n";
    }

    private static String events(int count) {
        var text = new StringBuilder();
        for (var i = 1; i <= count; i++) {
            text.append(event(i));
        }
        return text.toString();
    }

    private void flood(String attempt) throws IOException {
        var event = "data: " + "x".repeat(FLOOD_EVENT_BYTES) + "\n\n";
        requests.tell("halted " + attempt);
        try {
            for (var i = 1; i < FLOOD_EVENTS; i++) {
                writeChunk(event);
            }
        } finally {
            requests.tell("left " + attempt);
        }
    }

    private void writeChunk(String data) throws IOException {
        write(Integer.toHexString(data.length()) + "\r\n" + data + "\r\n");
    }

    private void write(String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
