package martenloom.core.edge;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import martenloom.common.link.PeerLink;

/**
 * The links of the edges that are subscribed to this daemon as their home, one for each edge: the
 * link on which the edge has renewed its lease last. Runs on the reactor thread.
 */
public final class EdgeLinks {
    /** An edge renews every 0.4 s; after three missed renewals it does not rely on this daemon. */
    private static final long RELIANCE_US = 1_200_000;

    private final Map<String, PeerLink> links = new LinkedHashMap<>();

    /** Makes this the link of an edge; true when it was not already. */
    public boolean bind(String edgeIp, PeerLink link) {
        if (links.put(edgeIp, link) == link) {
            return false;
        }
        link.setAttachment(edgeIp);
        return true;
    }

    /** Forgets a closed link; returns the edge whose current link it was, if any. */
    public Optional<String> remove(PeerLink link) {
        var edgeIp = edgeOf(link);
        edgeIp.ifPresent(links::remove);
        return edgeIp;
    }

    /** The edge whose current link this is. */
    public Optional<String> edgeOf(PeerLink link) {
        return link.attachment() instanceof String edgeIp && links.get(edgeIp) == link
                ? Optional.of(edgeIp)
                : Optional.empty();
    }

    /** The current link of an edge. */
    public Optional<PeerLink> link(String edgeIp) {
        return Optional.ofNullable(links.get(edgeIp));
    }

    /** A copy of the addresses of the edges. */
    public Collection<String> edgeIps() {
        return Set.copyOf(links.keySet());
    }

    /** The number of edges. */
    public int size() {
        return links.size();
    }

    /**
     * Visits a copy of the links: one that is found not to read is closed by the sending, and is
     * removed meanwhile.
     */
    public void forEach(BiConsumer<String, PeerLink> action) {
        List.copyOf(links.entrySet())
                .forEach(entry -> action.accept(entry.getKey(), entry.getValue()));
    }

    /** Sends a record to all edges. */
    public void sendAll(byte[] record) {
        forEach((edgeIp, link) -> link.send(record));
    }

    /** Whether an edge was heard so recently that it relies on this daemon. */
    public boolean isReliedOn(long nowUs) {
        return links.values().stream()
                .anyMatch(link -> nowUs - link.lastReceivedUs() < RELIANCE_US);
    }
}
