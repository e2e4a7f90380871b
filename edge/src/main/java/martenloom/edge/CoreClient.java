package martenloom.edge;

import io.activej.eventloop.Eventloop;
import java.security.SecureRandom;
import java.util.function.BiConsumer;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.link.PeerLink;
import martenloom.common.link.PendingRequests;
import martenloom.common.link.RequestId;
import martenloom.common.log.RingLog;
import martenloom.edge.jobs.JobRunner;

/**
 * Sends requests to the core by the home. Every caller is told exactly once: the answer that came
 * on the link on which its request was sent, or that the outcome is unknown, after a limited time.
 * All methods run on the thread of the reactor, and so do the replies.
 */
final class CoreClient implements JobRunner.Core {
    private static final long REPLY_LIMIT_US = 3_000_000;

    private final Eventloop loop;
    private final HomeConnection home;
    private final PendingRequests<PeerLink> pending =
            new PendingRequests<>(new SecureRandom().nextLong());

    CoreClient(Eventloop loop, HomeConnection home) {
        this.loop = loop;
        this.home = home;
    }

    /** The version tells the request from a late copy, see ClusterState.Change. */
    @Override
    public void ask(
            String act,
            String subject,
            long fence,
            long version,
            String body,
            BiConsumer<Integer, String> reply) {
        var link = home.link();
        if (link.isEmpty()) {
            loop.post(() -> reply.accept(PendingRequests.UNKNOWN_OUTCOME, "no home"));
            return;
        }
        var id = pending.register(link.get(), reply);
        var out = new RecordWriter(RecordType.EDGE_REQUEST);
        id.write(out);
        link.get().send(out.text(act).text(subject).i64(fence).i64(version).text(body).bytes());
        Clocks.after(loop, REPLY_LIMIT_US, () -> pending.expire(id, "no reply"));
    }

    /** Passes an answer of the core on to the caller that waits for it. */
    void onAnswer(PeerLink link, RecordReader in) {
        var id = RequestId.read(in);
        if (!pending.complete(id, link, in.i32(), in.text())) {
            RingLog.debug("link " + link.peer() + ": an answer to no request of ours is dropped");
        }
    }

    /** Tells the callers whose answers could only have come on this link. */
    void onClosed(PeerLink link) {
        pending.channelClosed(link, "the link to the home closed before an answer");
    }
}
