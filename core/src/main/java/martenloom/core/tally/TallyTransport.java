package martenloom.core.tally;

import java.util.Set;

/** The links to the other core daemons, as far as tallies need them. */
public interface TallyTransport {
    /** The peers that should be reached. */
    Set<String> peers();

    /** Sends a record to a peer if it is reached. */
    void send(String ip, byte[] record);
}
