package martenloom.core.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.queue.ChannelBuffer;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import martenloom.common.callers.BodyHolder;
import martenloom.common.callers.MemoryAccount;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The one bound on the bodies of calls to the control API. */
final class RequestBodiesTest {
    private static final int LARGE = 100 << 10;

    private final List<String> served = new ArrayList<>();
    private Eventloop loop;
    private MemoryAccount memory;
    private RequestBodies bodies;

    @BeforeEach
    void open() {
        loop = Eventloop.builder().withCurrentThread().build();
        bound(LARGE + LARGE / 2);
    }

    private void bound(long capacityBytes) {
        memory = new MemoryAccount(capacityBytes);
        bodies = new RequestBodies(loop, request -> new Holder());
    }

    /** Holds a body in the account of the test. */
    private final class Holder implements BodyHolder {
        private long held;

        @Override
        public void awaitBody() {}

        @Override
        public void serve() {}

        @Override
        public boolean holdBody(long bytes) {
            memory.hold(bytes - held);
            held = bytes;
            return !memory.isExceeded();
        }
    }

    /** A call whose body comes in pieces. */
    private final class Call {
        private final ChannelBuffer<ByteBuf> pieces = new ChannelBuffer<>(8);
        private final SettablePromise<HttpResponse> answer = new SettablePromise<>();
        private final Promise<HttpResponse> response =
                bodies.read(
                        HttpRequest.post("http://h/path")
                                .withBodyStream(pieces.getSupplier())
                                .build(),
                        body -> {
                            served.add(body.length() + " " + body.charAt(0));
                            return answer;
                        });

        Call send(char letter, int length) {
            var bytes = String.valueOf(letter).repeat(length).getBytes(StandardCharsets.UTF_8);
            pieces.put(ByteBuf.wrapForReading(bytes));
            return this;
        }

        Call end() {
            pieces.put(null);
            return this;
        }

        int status() {
            return response.getResult().getCode();
        }
    }

    @Test
    void aBodyCountsFromItsFirstByteToTheResponse() {
        var call = new Call().send('a', 10).send('a', LARGE);
        assertEquals(LARGE + 10, memory.heldBytes());
        call.end();
        assertEquals(List.of(LARGE + 10 + " a"), served);
        assertEquals(LARGE + 10, memory.heldBytes());
        call.answer.set(HttpResponse.ok200().build());
        assertEquals(0, memory.heldBytes());
        assertEquals(200, call.status());
    }

    /** Guards against a core that runs out of memory by many large calls at once. */
    @Test
    void aLargeBodyThatFindsNoRoomIsRefusedAndASmallOneIsServed() {
        new Call().send('a', LARGE);
        assertEquals(503, new Call().send('b', LARGE).status());
        new Call().send('c', 10).end();
        assertEquals(List.of("10 c"), served);
    }

    @Test
    void aBodyOverTheLimitIsRefused() {
        bound(Long.MAX_VALUE);
        var call = new Call().send('a', RequestBodies.MAX_BODY_BYTES);
        assertFalse(call.response.isComplete());
        assertEquals(413, call.send('a', 1).status());
        assertEquals(0, memory.heldBytes());
    }
}
