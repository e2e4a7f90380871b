package martenloom.edge.home;

/** What an edge may ask of the core, as the lease holder of a role. */
public enum CoreCommand {
    /** A run of a job begins. */
    START_JOB("JOB_START"),

    /** Further output of a run is to be saved. */
    APPEND_JOB_OUTPUT("JOB_KEEP"),

    /** A run is over and brought a result. */
    FINISH_JOB("JOB_DONE"),

    /** A run is over and brought no result. */
    RETURN_JOB("JOB_BACK"),

    /** So many replicas of a model shall serve in a region. */
    SET_REPLICA_COUNT("SCALE");

    private final String wireName;

    CoreCommand(String wireName) {
        this.wireName = wireName;
    }

    /** The name that is sent. */
    public String wireName() {
        return wireName;
    }
}
