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
 * Sends the committed configuration to the edges of this home. The routing text goes to an edge
 * only with a revision that it has not been sent on its link. Runs on the reactor thread.
 */
public final class ConfigurationPublisher {
    private static final long NEVER_SENT = -1;

    private final ChainMember chain;
    private final EdgeLinks homes;
    private final Map<String, Long> sentRevision = new HashMap<>();

    public ConfigurationPublisher(ChainMember chain, EdgeLinks homes) {
        this.chain = chain;
        this.homes = homes;
    }

    /** Sends a newly committed state to all edges. */
    public void onCommitted(ClusterState state) {
        var whole = configuration(state, true);
        var withoutText = configuration(state, false);
        homes.forEach(
                (edgeIp, link) -> {
                    var sent = sentRevision.getOrDefault(edgeIp, NEVER_SENT);
                    link.send(sent == state.configuration().revision() ? withoutText : whole);
                });
        homes.edgeIps()
                .forEach(edgeIp -> sentRevision.put(edgeIp, state.configuration().revision()));
    }

    /**
     * Sends the whole configuration to one edge. Nothing is handed out as current that may be old:
     * the edge is told our age with every renewal, and goes elsewhere.
     */
    public void sendWhole(String edgeIp, PeerLink link) {
        if (!chain.isFresh(Clocks.nowUs())) {
            return;
        }
        var state = chain.committed();
        link.send(configuration(state, true));
        sentRevision.put(edgeIp, state.configuration().revision());
    }

    public boolean sentTo(String edgeIp) {
        return sentRevision.containsKey(edgeIp);
    }

    /** Forgets what an edge was sent: its link has closed, or is a new one. */
    public void forget(String edgeIp) {
        sentRevision.remove(edgeIp);
    }

    private static byte[] configuration(ClusterState state, boolean withRoutingText) {
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
