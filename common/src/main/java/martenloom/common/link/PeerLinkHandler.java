package martenloom.common.link;

/** Receives the records of links and learns of their ends. Called on the reactor thread. */
public interface PeerLinkHandler {
    /** A record has arrived; the handler owns the array. */
    void onRecord(PeerLink link, byte[] record);

    /** The link has closed; called once, and nothing follows it. */
    void onClosed(PeerLink link);
}
