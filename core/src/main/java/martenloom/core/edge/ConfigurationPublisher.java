package martenloom.core.edge;

import java.util.HashMap;
import java.util.Map;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.link.PeerLink;
import martenloom.core.chain.ChainMember;
import martenloom.core.state.ClusterState;

/**
 * Sends the committed configuration to the edges of this home. The routing text, its largest part,
 * goes to an edge only with a revision that it has not been sent on its link. Runs on the reactor
 * thread.
 */
public final class ConfigurationPublisher {
    private static final long NEVER_SENT = -1;

    private final ChainMember chain;
    private final EdgeLinks edges;

    /** The revision that each edge was last sent on its current link. */
    private final Map<String, Long> sentRevision = new HashMap<>();

    private final ReturnedZones returnedZones = new ReturnedZones();

    /** Has sent nothing to any edge yet. */
    public ConfigurationPublisher(ChainMember chain, EdgeLinks edges) {
        this.chain = chain;
        this.edges = edges;
    }

    /** Sends a newly committed state to all edges. */
    public void onCommitted(ClusterState state) {
        returnedZones.onCommitted(state.evacuations().zones(), Clocks.nowUs());
        var complete = encode(state, true);
        var withoutRoutingText = encode(state, false);
        var revision = state.configuration().revision();
        edges.forEach(
                (edgeIp, link) -> {
                    var sent = sentRevision.getOrDefault(edgeIp, NEVER_SENT);
                    link.send(sent == revision ? withoutRoutingText : complete);
                });
        edges.edgeIps().forEach(edgeIp -> sentRevision.put(edgeIp, revision));
    }

    /**
     * Sends the complete configuration to one edge, unless what is known here may be outdated: the
     * edge learns that from every answer to a renewal, and chooses another home.
     */
    public void sendComplete(String edgeIp, PeerLink link) {
        if (!chain.isFresh(Clocks.nowUs())) {
            return;
        }
        var state = chain.committed();
        link.send(encode(state, true));
        returnedZones.send(link, Clocks.nowUs());
        sentRevision.put(edgeIp, state.configuration().revision());
    }

    /**
     * An edge has told the edition that it has: sends it the configuration if there is a newer one
     * here.
     */
    void sendIfNewer(String edgeIp, PeerLink link, long edition) {
        if (chain.committed().edition() > edition) {
            sendComplete(edgeIp, link);
        } else if (chain.committed().edition() == edition) {
            sentRevision.put(edgeIp, chain.committed().configuration().revision());
        }
    }

    /** Whether an edge was sent the configuration on its current link. */
    public boolean isSentTo(String edgeIp) {
        return sentRevision.containsKey(edgeIp);
    }

    /** Forgets what an edge was sent: its link has closed, or is a new one. */
    public void forget(String edgeIp) {
        sentRevision.remove(edgeIp);
    }

    private static byte[] encode(ClusterState state, boolean withRoutingText) {
        return new RecordWriter(RecordType.CONFIGURATION)
                .i64(state.edition())
                .i64(state.configuration().revision())
                .text(withRoutingText ? state.configuration().routingText() : "")
                .texts(state.evacuations().zones())
                .list(
                        state.scaling().targets().entrySet(),
                        (out, entry) ->
                                out.text(entry.getKey())
                                        .i32(entry.getValue().desired())
                                        .flag(entry.getValue().pinned())
                                        .texts(entry.getValue().resting()))
                .bytes();
    }
}
