package martenloom.common.fleet;

/**
 * The types of the records between daemons: the first byte of each record. The numbers are part of
 * the wire format and never change; 1 to 39 are the messages of the chain, see {@code
 * ChainMessage}.
 */
public final class RecordType {
    /** Between core daemons: rows of the registry that changed. */
    public static final int REGISTRY_UPDATE = 40;

    /** Between core daemons: digests of the registry by range, to find what was missed. */
    public static final int REGISTRY_DIGEST = 41;

    /** Between core daemons: a command forwarded to the head of the chain. */
    public static final int ORDER_REQUEST = 42;

    /** The answer to {@link #ORDER_REQUEST}, {@link #EDGE_REQUEST} or a confirmed update. */
    public static final int ORDER_RESPONSE = 43;

    /** An edge, or its home, asks for a lease on a singleton role. */
    public static final int LEASE_REQUEST = 44;

    /** The head grants a lease, or a home passes the grant on. */
    public static final int LEASE_GRANT = 45;

    /** The first record on a link between core daemons: who dials, and from which region. */
    public static final int HELLO = 46;

    /** Between core daemons: the addresses of the core daemons that the sender reaches. */
    public static final int KNOWN_PEERS = 47;

    /** Like {@link #REGISTRY_UPDATE}, but its receipt is confirmed by an answer. */
    public static final int CONFIRMED_REGISTRY_UPDATE = 48;

    /**
     * Between core daemons: rows of the registry that say nothing new, by their keys and numbers
     * alone. Sent to daemons that have announced {@link #PEER_FEATURES}; others get {@link
     * #REGISTRY_UPDATE}.
     */
    public static final int REGISTRY_LIVENESS = 49;

    /** Sent when a link opens, and answered: what the sender reads beyond the first version. */
    public static final int PEER_FEATURES = 50;

    /** Like {@link #REGISTRY_UPDATE} with short rows of replicas. */
    public static final int REGISTRY_ROWS = 51;

    /** Like {@link #REGISTRY_DIGEST} with more ranges; answered by {@link #REGISTRY_ROWS}. */
    public static final int REGISTRY_RANGE_DIGESTS = 52;

    /** Between core daemons: asks for a sign of life and which adds to tallies are held. */
    public static final int TALLY_PROBE = 53;

    /** The answer to {@link #TALLY_PROBE}. */
    public static final int TALLY_PROBE_RESPONSE = 54;

    /** Between core daemons: adds to tallies that are durable at the sender. */
    public static final int TALLY_ADDS = 55;

    /** The answer to {@link #TALLY_ADDS}: how many adds of the origin are durable. */
    public static final int TALLY_HELD = 56;

    /** Asks a core daemon for adds to tallies; answered by {@link #TALLY_ADDS}. */
    public static final int TALLY_FETCH = 57;

    /** An edge renews its lease with its home. */
    public static final int EDGE_LEASE_RENEWAL = 60;

    /** The answer to {@link #EDGE_LEASE_RENEWAL}. */
    public static final int EDGE_LEASE_RESPONSE = 61;

    /** From a home to its edges: the committed configuration and cluster state they need. */
    public static final int CONFIGURATION = 62;

    /** From a home to its edges: replicas that changed, or all of them. */
    public static final int REPLICA_UPDATE = 63;

    /** An edge asks its home for all replicas and the whole configuration. */
    public static final int RESYNC_REQUEST = 64;

    /** From a home to the holder of the role: the live jobs of its region. */
    public static final int JOB_LIST = 65;

    /** An edge sends a command of a singleton role to the core. */
    public static final int EDGE_REQUEST = 66;

    /** Like {@link #REPLICA_UPDATE} with replicas that changed, in short rows. */
    public static final int REPLICA_CHANGES = 67;

    /** An edge tells its home what it has: the edition, and digests of its replicas by range. */
    public static final int STATE_SYNC_REQUEST = 68;

    /** From a home to an edge: the replicas of the ranges that differ, in short rows. */
    public static final int REPLICA_RANGES = 69;

    /**
     * From a home to an edge behind {@link #CONFIGURATION}: the zones that were taken back lately,
     * with how long ago. Sent to edges that have announced {@link #PEER_FEATURES}.
     */
    public static final int RETURNED_ZONES = 70;

    /**
     * From a home to an edge: the core daemons that stand in the edge's region. Sent to edges that
     * have announced {@link #PEER_FEATURES}, when it changes.
     */
    public static final int REGION_CORES = 71;

    /** An edge reports its own part of the load to its home. */
    public static final int LOAD_SAMPLE = 80;

    /** An overload report of a region and model. */
    public static final int OVERLOAD_REPORT = 81;

    /** Between homes: the sum over the edges of the sender. */
    public static final int HOME_LOAD = 82;

    /** From a home to its edges: the sum over all homes. */
    public static final int TOTAL_LOAD = 83;

    /**
     * An edge or a home asks a home for its load as a stream of {@link #LOAD_UPDATE}, which begins
     * with a snapshot; who has not asked gets {@link #TOTAL_LOAD} or {@link #HOME_LOAD}.
     */
    public static final int LOAD_SUBSCRIPTION = 84;

    /** From a home to its subscribers: what has changed in its published load. */
    public static final int LOAD_UPDATE = 85;

    /** A query of the operator's shell. */
    public static final int SHELL_QUERY = 90;

    /** The answer to {@link #SHELL_QUERY}, in plain text. */
    public static final int SHELL_RESPONSE = 91;

    private RecordType() {}

    /** Whether records of this type are for the tallies. */
    public static boolean isAboutTallies(int type) {
        return type >= TALLY_PROBE && type <= TALLY_FETCH;
    }
}
