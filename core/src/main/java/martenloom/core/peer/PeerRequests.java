package martenloom.core.peer;

import java.security.SecureRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.link.PeerLink;
import martenloom.common.link.PendingRequests;
import martenloom.common.link.RequestId;
import martenloom.common.log.RingLog;
import martenloom.core.state.ResultCode;

/**
 * The requests that this daemon has sent to other core daemons, and the answers that go over the
 * links. Every caller is told exactly once, as {@link PendingRequests} guarantees. Runs on the
 * reactor thread.
 */
public final class PeerRequests {
    private final PendingRequests<PeerLink> pending =
            new PendingRequests<>(new SecureRandom().nextLong());

    /** Sends a request: a record of this type with the id of the request before its body. */
    public RequestId send(
            PeerLink link,
            int recordType,
            Consumer<RecordWriter> body,
            BiConsumer<ResultCode, String> reply) {
        var id =
                pending.register(
                        link, (number, text) -> reply.accept(ResultCode.ofNumber(number), text));
        var out = new RecordWriter(recordType);
        id.write(out);
        body.accept(out);
        link.send(out.bytes());
        return id;
    }

    /** Gives up a request that had no answer in time; does nothing if it was answered. */
    public void expire(RequestId id, String why) {
        pending.expire(id, why);
    }

    public void onAnswer(PeerLink link, RecordReader in) {
        var id = RequestId.read(in);
        if (!pending.complete(id, link, in.i32(), in.text())) {
            RingLog.debug("link " + link.peer() + ": an answer to no request of ours is dropped");
        }
    }

    public void onClosed(PeerLink link) {
        pending.channelClosed(link, "the link to " + link.peer() + " closed before an answer");
    }

    public boolean isEmpty() {
        return pending.size() == 0;
    }

    /** Answers a request on the link on which it came, under the id that its sender gave it. */
    public static void answer(PeerLink link, RequestId id, ResultCode code, String text) {
        var out = new RecordWriter(RecordType.ORDER_RESPONSE);
        id.write(out);
        link.send(out.i32(code.number()).text(text).bytes());
    }
}
