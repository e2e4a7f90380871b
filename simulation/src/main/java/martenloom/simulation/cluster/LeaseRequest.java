package martenloom.simulation.cluster;

/**
 * A candidate's request for the lease of a role, or for its renewal.
 *
 * @param role the role that one candidate at a time may have
 * @param candidate who asks
 * @param requestedAtUs when it asked, from which it counts the duration of the lease
 */
public record LeaseRequest(String role, String candidate, long requestedAtUs) {}
