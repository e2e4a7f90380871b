package martenloom.edge.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.activej.eventloop.Eventloop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import martenloom.common.clock.Clocks;
import martenloom.edge.http.MessageHead;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a connection to a replica makes of responses, in order and out of step. */
final class ReplicaConnectionTest {
    private static final String RESPONSE =
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: one\r\nContent-Length: 5\r\n\r\nhello";

    private final List<String> events = new ArrayList<>();
    private final FakeSocket socket = new FakeSocket();
    private boolean draining;
    private ReplicaConnection connection;

    private final ReplicaConnection.Owner owner =
            new ReplicaConnection.Owner() {
                @Override
                public void onBytesReceived(long nowUs) {}

                @Override
                public boolean keepsIdleConnections() {
                    return !draining;
                }

                @Override
                public void onIdle(ReplicaConnection idle) {
                    events.add("idle");
                }

                @Override
                public void onReuseFailed(long idleUs) {
                    events.add("reuse failed");
                }

                @Override
                public void onClosed(ReplicaConnection closed) {
                    events.add("closed");
                }
            };

    private final ResponseListener listener =
            new ResponseListener() {
                @Override
                public void onHead(MessageHead head) {
                    events.add("head " + head.status());
                }

                @Override
                public void onBody(byte[] buffer, int offset, int length) {
                    events.add(new String(buffer, offset, length, StandardCharsets.ISO_8859_1));
                }

                @Override
                public void onEnd() {
                    events.add("end");
                }

                @Override
                public void onConnectionEnd() {
                    events.add("connection end");
                }

                @Override
                public void onBroken() {
                    events.add("broken");
                }
            };

    @BeforeEach
    void connect() {
        Eventloop.builder().withCurrentThread().build();
        connection = new ReplicaConnection(socket, owner);
    }

    private void send(String id) {
        connection.send(id, "GET", "head".getBytes(), "body".getBytes(), listener);
        assertEquals("headbody", socket.takeWritten());
    }

    @Test
    void afterACompleteResponseTheConnectionIsIdle() {
        send("one");
        assertFalse(connection.usable(Clocks.nowUs()));
        socket.receive("HTTP/1.1 100 Continue\r\n\r\n" + RESPONSE);
        assertEquals(List.of("head 200", "hello", "idle", "end"), events);
        assertTrue(connection.usable(Clocks.nowUs()));
        assertTrue(connection.lastCarried("one"));
    }

    @Test
    void aResponseMayComeInPieces() {
        send("one");
        socket.receive("HTTP/1.1 200 OK\r\nX-Attempt-Id: one\r\nTransfer-Enc");
        socket.receive("oding: chunked\r\n\r\n3\r\nhe");
        socket.receive("l\r\n0\r\n\r\n");
        assertEquals(List.of("head 200", "he", "l", "idle", "end"), events);
    }

    @Test
    void aResponseToAnEarlierRequestIsPassedOver() {
        send("two");
        socket.receive(RESPONSE);
        assertEquals(List.of(), events);
        socket.receive(RESPONSE.replace("one", "two"));
        assertEquals(List.of("head 200", "hello", "closed", "end"), events, "it is out of step");
    }

    @Test
    void onAReusedConnectionAResponseMustSayWhatItBelongsTo() {
        send("one");
        socket.receive(RESPONSE);
        events.clear();
        send("two");
        socket.receive(RESPONSE.replace("X-Attempt-Id: one\r\n", ""));
        assertEquals(List.of("closed", "broken"), events);
    }

    @Test
    void aResponseWithoutALengthEndsWithTheConnection() {
        send("one");
        socket.receive("HTTP/1.1 200 OK\r\n\r\nhel");
        socket.receive("lo");
        socket.receiveEnd();
        assertEquals(List.of("head 200", "hel", "lo", "closed", "connection end"), events);
    }

    @Test
    void aResetTruncatesAResponseWithoutALength() {
        send("one");
        socket.receive("HTTP/1.1 200 OK\r\n\r\nhel");
        socket.receiveReset();
        assertEquals(List.of("head 200", "hel", "closed", "broken"), events);
    }

    @Test
    void aResetOfAReusedConnectionIsReported() throws InterruptedException {
        send("one");
        socket.receive(RESPONSE);
        events.clear();
        while (connection.idleUs(Clocks.nowUs()) == 0) {
            Thread.onSpinWait();
        }
        send("two");
        socket.receiveReset();
        assertEquals(List.of("reuse failed", "closed", "broken"), events);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "no response",
                "HTTP/1.1 2x0 OK\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx"
            })
    void whatIsNoResponseBreaksTheConnection(String bytes) {
        send("one");
        socket.receive(bytes);
        assertEquals("broken", events.get(events.size() - 1));
        assertTrue(socket.isClosed());
    }

    @Test
    void bytesWhileIdleCloseTheConnection() {
        socket.receive("HTTP/1.1 200 OK\r\n");
        assertEquals(List.of("closed"), events);
    }

    @ParameterizedTest
    @ValueSource(strings = {"Connection: close\r\n", "Keep-Alive: timeout=1\r\n"})
    void aConnectionThatTheReplicaEndsIsNotReused(String field) {
        send("one");
        socket.receive(RESPONSE.replace("Content-Length", field + "Content-Length"));
        assertFalse(connection.usable(Clocks.nowUs()));
    }

    @Test
    void aReplicaThatDrainsKeepsNoIdleConnections() {
        send("one");
        draining = true;
        socket.receive(RESPONSE);
        assertEquals(List.of("head 200", "hello", "closed", "end"), events);
    }

    @Test
    void anAbandonedRequestHearsNothingMore() {
        send("one");
        connection.abandon();
        assertEquals(List.of("closed"), events);
        assertTrue(socket.isClosed());
    }
}
