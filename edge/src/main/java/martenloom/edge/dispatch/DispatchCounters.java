package martenloom.edge.dispatch;

/** Counts of requests since the start, for the shell. Used on the reactor thread. */
public final class DispatchCounters {
    private long requests;
    private long served;
    private long rejected;
    private long failed;
    private long retried;
    private long timedOut;
    private long moved;
    private long jobs;

    void countRequest() {
        requests++;
    }

    void countServed() {
        served++;
    }

    void countRejected() {
        rejected++;
    }

    void countFailed() {
        failed++;
    }

    void countRetried() {
        retried++;
    }

    void countTimedOut() {
        timedOut++;
    }

    void countMoved() {
        moved++;
    }

    void countJob() {
        jobs++;
    }

    /** Requests of clients, also those without a route. */
    public long requests() {
        return requests;
    }

    /** Requests that a replica's complete response was passed on for. */
    public long served() {
        return served;
    }

    /** Requests that were answered with a time to come again. */
    public long rejected() {
        return rejected;
    }

    /** Requests that ended with an error status or a truncated stream. */
    public long failed() {
        return failed;
    }

    /** Attempts after the first. */
    public long retried() {
        return retried;
    }

    /** Requests that reached their deadline. */
    public long timedOut() {
        return timedOut;
    }

    /** Attempts that were moved off an unresponsive replica. */
    public long moved() {
        return moved;
    }

    /** Deferred jobs that were started. */
    public long jobs() {
        return jobs;
    }
}
