package martenloom.common.load;

import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/** The load of one replica, added up over edges. Not thread-safe. */
public final class ReplicaLoadSummary {
    private static final int MAX_U8 = 255;

    /** Attempts in flight. */
    private int inFlight;

    /** Tokens of prompts that wait for prefill. */
    private int pendingPrefillTokens;

    /** Edges that suspect the replica of a fault. */
    private int suspectingEdges;

    /** Edges that have received something from the replica just now. */
    private int hearingEdges;

    /** Recent attempts that succeeded. */
    private int successes;

    /** Recent attempts that failed. */
    private int failures;

    public int inFlight() {
        return inFlight;
    }

    public int pendingPrefillTokens() {
        return pendingPrefillTokens;
    }

    public int suspectingEdges() {
        return suspectingEdges;
    }

    public void setSuspectingEdges(int suspectingEdges) {
        this.suspectingEdges = suspectingEdges;
    }

    public int hearingEdges() {
        return hearingEdges;
    }

    public void setHearingEdges(int hearingEdges) {
        this.hearingEdges = hearingEdges;
    }

    public int successes() {
        return successes;
    }

    public void setSuccesses(int successes) {
        this.successes = successes;
    }

    public int failures() {
        return failures;
    }

    public void setFailures(int failures) {
        this.failures = failures;
    }

    /** A load without suspicions. */
    static ReplicaLoadSummary of(
            int inFlight, int pendingPrefillTokens, int successes, int failures) {
        var load = new ReplicaLoadSummary();
        load.inFlight = inFlight;
        load.pendingPrefillTokens = pendingPrefillTokens;
        load.successes = successes;
        load.failures = failures;
        return load;
    }

    /** Adds what one edge has in flight there, and whether that edge suspects the replica. */
    void addFromEdge(int attempts, int prefillTokens, boolean suspecting) {
        inFlight += attempts;
        pendingPrefillTokens += prefillTokens;
        suspectingEdges += suspecting ? 1 : 0;
    }

    /** Adds another load, or with a sign of -1 takes it off. */
    void add(ReplicaLoadSummary other, int sign) {
        inFlight += sign * other.inFlight;
        pendingPrefillTokens += sign * other.pendingPrefillTokens;
        suspectingEdges += sign * other.suspectingEdges;
        hearingEdges += sign * other.hearingEdges;
        successes += sign * other.successes;
        failures += sign * other.failures;
    }

    /** Copies everything but attempts and tokens. */
    void copyHealth(ReplicaLoadSummary other) {
        suspectingEdges = other.suspectingEdges;
        hearingEdges = other.hearingEdges;
        successes = other.successes;
        failures = other.failures;
    }

    boolean isSuspected() {
        return failures > 0 || suspectingEdges > 0;
    }

    /** The larger, the more it matters to others that this replica is suspected. */
    int suspicionRank() {
        return suspectingEdges + failures;
    }

    boolean isZero() {
        return inFlight == 0
                && pendingPrefillTokens == 0
                && suspectingEdges == 0
                && hearingEdges == 0
                && successes == 0
                && failures == 0;
    }

    /** Writes everything but attempts and tokens, in as few bytes as the numbers need. */
    void writeHealth(RecordWriter out) {
        out.varint(suspectingEdges).varint(hearingEdges).varint(successes).varint(failures);
    }

    /** Reads what {@link #writeHealth} wrote. */
    void readHealth(RecordReader in) {
        suspectingEdges = in.varint32();
        hearingEdges = in.varint32();
        successes = in.varint32();
        failures = in.varint32();
    }

    void write(RecordWriter out) {
        out.i32(inFlight)
                .i32(pendingPrefillTokens)
                .u8(Math.min(MAX_U8, suspectingEdges))
                .u8(Math.min(MAX_U8, hearingEdges))
                .i16(successes)
                .i16(failures);
    }

    void read(RecordReader in) {
        inFlight = in.i32();
        pendingPrefillTokens = in.i32();
        suspectingEdges = in.u8();
        hearingEdges = in.u8();
        successes = in.i16();
        failures = in.i16();
    }
}
