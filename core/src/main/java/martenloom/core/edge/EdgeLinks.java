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
 * The links of the edges that made this daemon their home, one for each edge: the link on which the
 * edge renewed last. Runs on the reactor thread.
 */
public final class EdgeLinks {
    /**
     * An edge renews every 0.4 s; three renewals missed mean that it does not rely on this daemon.
     */
    private static final long RELIED_US = 1_200_000;

    private final Map<String, PeerLink> links = new LinkedHashMap<>();

    /** Makes this the link of an edge; true when it was not already. */
    public boolean bind(String edgeIp, PeerLink link) {
        if (links.put(edgeIp, link) == link) {
            return false;
        }
        link.setAttachment(edgeIp);
        return true;
    }

    /** Forgets a closed link; returns the edge that has lost its home by that, if any. */
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

    public Optional<PeerLink> link(String edgeIp) {
        return Optional.ofNullable(links.get(edgeIp));
    }

    public Collection<String> edgeIps() {
        return Set.copyOf(links.keySet());
    }

    public int size() {
        return links.size();
    }

    /**
     * Goes over a copy: a link that is found not to read is closed by the sending, and is removed
     * meanwhile.
     */
    public void forEach(BiConsumer<String, PeerLink> action) {
        List.copyOf(links.entrySet()).forEach(e -> action.accept(e.getKey(), e.getValue()));
    }

    public void sendAll(byte[] record) {
        forEach((edgeIp, link) -> link.send(record));
    }

    /** Whether an edge was heard so lately that it relies on this daemon. */
    public boolean reliedOn(long now) {
        return links.values().stream().anyMatch(link -> now - link.lastReceivedUs() < RELIED_US);
    }
}
