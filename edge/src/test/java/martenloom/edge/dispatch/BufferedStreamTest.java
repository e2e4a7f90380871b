package martenloom.edge.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A stream at an edge that shuts down reaches the client complete, or as a failure. */
final class BufferedStreamTest {
    private final RequestFixture.RecordingSink client = new RequestFixture.RecordingSink();
    private final BufferedStream stream = new BufferedStream(client, "failure".getBytes());

    @Test
    void aStreamIsPassedOnWhenItIsComplete() {
        stream.beginStream("head".getBytes());
        stream.sendEvents("one,".getBytes());
        stream.sendEvents("two".getBytes());
        assertEquals(List.of(), client.calls);
        stream.endStream();
        assertEquals(List.of("begin head", "events one,two", "end"), client.calls);
    }

    @Test
    void anAbortedStreamIsAnsweredWithAFailure() {
        stream.beginStream("head".getBytes());
        stream.sendEvents("one".getBytes());
        stream.abortStream();
        assertEquals(List.of("respond failure "), client.calls);
    }

    @Test
    void aStreamThatIsTooLargeIsPassedOnAsItComes() {
        stream.beginStream("head".getBytes());
        stream.sendEvents(new byte[(1 << 18) + 1]);
        stream.sendEvents("more".getBytes());
        stream.abortStream();
        assertEquals(
                List.of("begin head", "events " + ((1 << 18) + 1), "events more", "abort"),
                client.calls);
    }
}
