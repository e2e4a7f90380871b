package martenloom.edge.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import martenloom.common.callers.Callers;
import martenloom.common.callers.MemoryAccount;
import martenloom.common.clock.Clocks;
import martenloom.edge.http.ErrorResponse;
import martenloom.edge.http.MessageHead;
import martenloom.edge.memory.MessageMemory;
import martenloom.edge.transport.FakeSocket;
import martenloom.routing.route.ClientLimits;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How requests of a client are read, one at a time, and how their responses are framed. */
final class ClientConnectionTest {
    private static final ClientLimits LIMITS = new ClientLimits(200, 10, 1000, 2000);
    private static final long MEMORY_BYTES = 1_000;
    private static final String HEAD = "POST /path HTTP/1.1\r\nHost: h\r\n";

    private final List<String> events = new ArrayList<>();
    private final FakeSocket socket = new FakeSocket();
    private final MessageMemory memory = new MessageMemory(MEMORY_BYTES);
    private final MessageMemory responses = new MessageMemory(MEMORY_BYTES);
    private boolean shutdown;
    private Eventloop loop;
    private Callers callers;
    private ClientConnection connection;

    private final RequestHandler handler =
            new RequestHandler() {
                @Override
                public ClientLimits clientLimits() {
                    return LIMITS;
                }

                @Override
                public Callers callers() {
                    return callers;
                }

                @Override
                public MessageMemory requestMemory() {
                    return memory;
                }

                @Override
                public MessageMemory responseMemory() {
                    return responses;
                }

                @Override
                public boolean closesConnections() {
                    return shutdown;
                }

                @Override
                public void onOpened(ClientConnection client) {
                    events.add("opened");
                }

                @Override
                public void onRequest(ClientConnection client, MessageHead head, byte[] body) {
                    events.add(head.path() + " " + new String(body, StandardCharsets.ISO_8859_1));
                }

                @Override
                public void onSentAhead(Runnable goOn) {
                    loop.post(goOn);
                }

                @Override
                public void onClosed(ClientConnection client) {
                    events.add("closed");
                }
            };

    @BeforeEach
    void connect() {
        loop = Eventloop.builder().withCurrentThread().build();
        callers = Callers.at(loop, 1, new MemoryAccount(Integer.MAX_VALUE));
        connection = new ClientConnection(loop, socket, handler);
        events.clear();
    }

    @Test
    void aSecondRequestIsReadWhenTheFirstIsAnswered() {
        var request = HEAD + "Content-Length: 2\r\n\r\n";
        socket.receive("\r\n" + request + "ab" + request + "cd");
        assertEquals(List.of("/path ab"), events);
        connection.respond("HTTP/1.1 200 OK\r\n".getBytes(), "yes".getBytes());
        assertEquals("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes", socket.takeWritten());
        loop.run();
        assertEquals(List.of("/path ab", "/path cd"), events);
    }

    /**
     * Guards against responses that pile up since the next request is begun before they are read.
     */
    @Test
    void aFurtherRequestIsBegunWhenTheLastResponseHasGoneOut() {
        var request = HEAD + "Content-Length: 2\r\n\r\n";
        var sent = socket.holdWrites();
        socket.receive(request + "ab" + request + "cd");
        connection.respond(
                "HTTP/1.1 200 OK\r\n".getBytes(StandardCharsets.ISO_8859_1), new byte[0]);
        loop.run();
        assertEquals(List.of("/path ab"), events);
        sent.set(null);
        loop.run();
        assertEquals(List.of("/path ab", "/path cd"), events);
    }

    /** Guards against requests that run though their client has gone. */
    @Test
    void whatWasSentAheadEndsWithTheConnection() {
        socket.receive(HEAD + "\r\n" + HEAD + "\r\n");
        connection.respond(
                "HTTP/1.1 200 OK\r\n".getBytes(StandardCharsets.ISO_8859_1), new byte[0]);
        connection.close();
        loop.run();
        assertEquals(List.of("/path ", "closed"), events);
    }

    @Test
    void chunkedBodiesAreTakenTogether() {
        socket.receive(HEAD + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n");
        socket.receive("1\r\nc\r\n0\r\n\r\n");
        assertEquals(List.of("/path abc"), events);
    }

    @Test
    void aClientThatAsksFirstIsToldToGoOn() {
        socket.receive(HEAD + "Content-Length: 2\r\nExpect: 100-continue\r\n\r\n");
        assertEquals("HTTP/1.1 100 Continue\r\n\r\n", socket.takeWritten());
    }

    /** Guards against a body for which there is no memory, and which nobody answers. */
    @Test
    void aBodyThatFindsNoMemoryWaitsUnreadAndIsThenRejected() {
        memory.open(1, 0, () -> {}).take((int) MEMORY_BYTES, 0);
        socket.receive(HEAD + "Content-Length: 4\r\n\r\nab");
        assertEquals(List.of(), events);
        connection.enforceTimeouts(Clocks.nowUs() + 1_100_000);
        assertTrue(
                socket.takeWritten()
                        .startsWith("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"));
        loop.run();
        assertFalse(socket.isClosed(), "the rest of the body is still to come");
        socket.receive("cd");
        assertTrue(socket.isClosed());
        assertEquals(List.of("closed"), events);
    }

    @Test
    void aBodyThatFoundNoMemoryIsReadWhenThereIsRoom() {
        var other = memory.open(1, 0, () -> {});
        other.take((int) MEMORY_BYTES, 0);
        socket.receive(HEAD + "Content-Length: 4\r\n\r\nab");
        other.close(0);
        loop.run();
        socket.receive("cd");
        assertEquals(List.of("/path abcd"), events);
        assertEquals(4, memory.heldBytes());
        connection.respond("HTTP/1.1 200 OK\r\n".getBytes(), "yes".getBytes());
        assertEquals(0, memory.heldBytes());
    }

    @Test
    void aStreamIsWrittenInChunks() {
        socket.receive(HEAD + "\r\n");
        connection.beginStream("HTTP/1.1 200 OK\r\n".getBytes());
        connection.sendEvents("data: 123456789\n\n".getBytes());
        connection.sendEvents(new byte[0]);
        connection.endStream();
        assertEquals(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "11\r\ndata: 123456789\n\n\r\n0\r\n\r\n",
                socket.takeWritten());
        assertTrue(connection.idle());
    }

    @Test
    void anAbortedStreamHasNoLastChunk() {
        socket.receive(HEAD + "\r\n");
        connection.beginStream("HTTP/1.1 200 OK\r\n".getBytes());
        connection.abortStream();
        assertFalse(socket.takeWritten().contains("0\r\n\r\n"));
        assertTrue(socket.isClosed());
    }

    @Test
    void inShutdownTheConnectionIsClosedBehindTheResponse() {
        socket.receive(HEAD + "\r\n");
        shutdown = true;
        connection.respond(ErrorResponse.head(503, "0.40"), ErrorResponse.noBody());
        assertEquals(
                "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.40\r\n"
                        + "Content-Length: 0\r\nConnection: close\r\n\r\n",
                socket.takeWritten());
        assertTrue(socket.isClosed());
    }

    @ParameterizedTest
    @CsvSource({
        "'POST /path HTTP/1.1\r\n\r\n', 400 Bad Request",
        "'POST /path HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n', 413 Content Too Large",
        "'POST path HTTP/1.1\r\nHost: h\r\n\r\n', 400 Bad Request"
    })
    void aRequestThatIsNotAcceptedIsAnsweredAndTheConnectionClosed(String request, String status) {
        socket.receive(request);
        assertTrue(socket.takeWritten().startsWith("HTTP/1.1 " + status + "\r\n"));
        assertTrue(socket.isClosed());
        assertEquals(List.of("closed"), events);
    }

    @Test
    void aHeadIsBounded() {
        socket.receive(HEAD + "A: " + "x".repeat(200));
        assertTrue(socket.takeWritten().startsWith("HTTP/1.1 431 "));
    }

    @Test
    void aSlowRequestTimesOut() {
        socket.receive(HEAD);
        connection.enforceTimeouts(Clocks.nowUs());
        assertEquals("", socket.takeWritten());
        connection.enforceTimeouts(Clocks.nowUs() + 1_600_000);
        assertTrue(socket.takeWritten().startsWith("HTTP/1.1 408 "));
    }

    /** Guards against a 408 for a head in two pieces on a connection that had rested. */
    @Test
    void theTimeForAHeadCountsFromItsFirstByte() {
        var openedUs = Clocks.nowUs();
        while (Clocks.nowUs() - openedUs < 2_000) {
            Thread.onSpinWait();
        }
        socket.receive(HEAD);
        connection.enforceTimeouts(openedUs + 1_501_000);
        assertEquals("", socket.takeWritten());
    }

    /** Guards against responses that pile up at an edge since their clients do not read. */
    @Test
    void whatWaitsToGoOutCountsInTheAccountOfResponses() {
        var sent = socket.holdWrites();
        socket.receive(HEAD + "\r\n");
        connection.respond("HTTP/1.1 200 OK\r\n".getBytes(), "yes".getBytes());
        assertEquals(socket.takeWritten().length(), responses.heldBytes());
        sent.set(null);
        assertEquals(0, responses.heldBytes());
    }

    @Test
    void aClosedConnectionHoldsNothing() {
        var sent = socket.holdWrites();
        socket.receive(HEAD + "\r\n");
        connection.respond("HTTP/1.1 200 OK\r\n".getBytes(), "yes".getBytes());
        connection.close();
        assertEquals(0, responses.heldBytes());
        sent.setException(new IOException("closed"));
        assertEquals(0, responses.heldBytes());
    }

    @Test
    void anIdleConnectionIsClosedSoonerInShutdown() {
        connection.enforceTimeouts(Clocks.nowUs() + 2_500_000);
        assertFalse(socket.isClosed());
        shutdown = true;
        connection.enforceTimeouts(Clocks.nowUs() + 1_100_000);
        assertTrue(socket.isClosed());
    }

    @Test
    void aConnectionWithARequestInFlightDoesNotTimeOut() {
        socket.receive(HEAD + "\r\n");
        connection.enforceTimeouts(Clocks.nowUs() + 100_000_000);
        assertFalse(socket.isClosed());
    }
}
