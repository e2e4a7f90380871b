package martenloom.edge.overload;

/**
 * The order of the reports of one region and model: first by the fencing token of the role lease
 * under which a report was made, then by the lease holder's own counter. A successor sorts above
 * its predecessor with no disk of its own, for the core keeps the tokens.
 */
public record ReportSequence(long fencingToken, long counter)
        implements Comparable<ReportSequence> {
    /** Sorts below every report. */
    static final ReportSequence NONE = new ReportSequence(-1, -1);

    @Override
    public int compareTo(ReportSequence other) {
        return fencingToken != other.fencingToken
                ? Long.compare(fencingToken, other.fencingToken)
                : Long.compare(counter, other.counter);
    }
}
