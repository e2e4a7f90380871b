package martenloom.edge.home;

import io.activej.eventloop.Eventloop;
import java.security.SecureRandom;
import java.util.function.Consumer;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.link.PeerLink;
import martenloom.common.link.PendingRequests;
import martenloom.common.link.RequestId;
import martenloom.common.log.RingLog;

/**
 * Sends requests to the core by the home. Every caller gets exactly one reply: the one that came on
 * the link on which its request was sent, or that the outcome is unknown, after a limited time.
 * Runs on the reactor thread.
 */
public final class CoreClient implements CoreRequests {
    private static final long REPLY_TIMEOUT_US = 3_000_000;

    private final Eventloop loop;
    private final HomeConnection home;
    private final PendingRequests<PeerLink> pending =
            new PendingRequests<>(new SecureRandom().nextLong());

    public CoreClient(Eventloop loop, HomeConnection home) {
        this.loop = loop;
        this.home = home;
    }

    @Override
    public void send(CoreRequest request, Consumer<CoreReply> onReply) {
        var link = home.link();
        if (link.isEmpty()) {
            loop.post(
                    () ->
                            onReply.accept(
                                    new CoreReply(PendingRequests.UNKNOWN_OUTCOME, "no home")));
            return;
        }
        var id =
                pending.register(
                        link.get(), (status, text) -> onReply.accept(new CoreReply(status, text)));
        var out = new RecordWriter(RecordType.EDGE_REQUEST);
        id.write(out);
        link.get()
                .send(
                        out.text(request.command().wireName())
                                .text(request.subject())
                                .i64(request.fencingToken())
                                .i64(request.version())
                                .text(request.body())
                                .bytes());
        Clocks.after(loop, REPLY_TIMEOUT_US, () -> pending.expire(id, "no reply"));
    }

    /** Passes a reply of the core on to the caller that waits for it. */
    public void onReply(PeerLink link, RecordReader in) {
        var id = RequestId.read(in);
        if (!pending.complete(id, link, in.i32(), in.text())) {
            RingLog.debug("link " + link.peer() + ": a reply to no request of ours is dropped");
        }
    }

    /** Gives up the requests whose replies could only have come on this link. */
    public void onClosed(PeerLink link) {
        pending.channelClosed(link, "the link to the home closed before an answer");
    }
}
