package martenloom.simulation.network;

/**
 * One run of a member's process, as the network sees it. After a restart the same address belongs
 * to another endpoint.
 */
public interface NetworkEndpoint {
    /** The address of the machine on which the process runs. */
    String address();

    /** Whether the process stands still, so that its peers hear nothing from it. */
    boolean isFrozen();

    /** A connection that this endpoint has dialed is up. */
    void onConnected(String listener);

    /** A connection that this endpoint has dialed was closed. */
    void onClosed(SimulatedConnection connection);

    /** A record arrived on a connection, from the endpoint at its other end. */
    void onRecord(SimulatedConnection connection, byte[] record);
}
