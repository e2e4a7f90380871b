package martenloom.simulation.network;

/**
 * One connection, from the process that dialed it to the process that accepted it. Once closed it
 * stays closed; a further connection between the two addresses is another object.
 */
public final class SimulatedConnection {
    private final RecordTransport transport;
    private final NetworkEndpoint dialer;
    private final NetworkEndpoint listener;
    private final ConnectionDirection toListener;
    private final ConnectionDirection toDialer;
    private boolean open = true;

    /** Since when the dialer has heard nothing, or {@code Long.MAX_VALUE} if it does hear. */
    private long silentSinceUs = Long.MAX_VALUE;

    SimulatedConnection(
            RecordTransport transport, NetworkEndpoint dialer, NetworkEndpoint listener) {
        this.transport = transport;
        this.dialer = dialer;
        this.listener = listener;
        toListener = new ConnectionDirection(this, dialer, listener);
        toDialer = new ConnectionDirection(this, listener, dialer);
    }

    /** The other end, as seen from one of the two. */
    public NetworkEndpoint peerOf(NetworkEndpoint self) {
        return self.address().equals(dialer.address()) ? listener : dialer;
    }

    /** Sends a record from the dialer to the listener. */
    public void send(byte[] record) {
        transport.transmit(toListener, record);
    }

    /** Sends a record from the listener back to the dialer. */
    public void answer(byte[] record) {
        transport.transmit(toDialer, record);
    }

    NetworkEndpoint dialer() {
        return dialer;
    }

    NetworkEndpoint listener() {
        return listener;
    }

    ConnectionDirection toListener() {
        return toListener;
    }

    ConnectionDirection toDialer() {
        return toDialer;
    }

    boolean isOpen() {
        return open;
    }

    void markClosed() {
        open = false;
    }

    boolean involves(String address) {
        return dialer.address().equals(address) || listener.address().equals(address);
    }

    void markHeard() {
        silentSinceUs = Long.MAX_VALUE;
    }

    /** Notes that the dialer hears nothing, and returns for how long that has lasted. */
    long markSilent(long nowUs) {
        silentSinceUs = Math.min(silentSinceUs, nowUs);
        return nowUs - silentSinceUs;
    }
}
