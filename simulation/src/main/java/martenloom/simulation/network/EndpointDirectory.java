package martenloom.simulation.network;

import java.util.Optional;

/** Finds the process that runs at an address just now. */
@FunctionalInterface
public interface EndpointDirectory {
    Optional<NetworkEndpoint> running(String address);
}
