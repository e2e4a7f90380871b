package martenloom.core.load;

import martenloom.common.load.LoadSummary;

/**
 * The load as one home daemon knows it: the samples of the edges that are subscribed to it, the
 * sums of the other homes, and the total of both. A sample lapses when its source is not heard, or
 * when the link of the edge closes. Reads no clock; runs on the reactor thread.
 */
public final class LoadAggregator {
    /** The age at which the sample of an edge no longer counts. */
    public static final long EDGE_LAPSE_US = 2_000_000;

    /** The age at which the sum of another home no longer counts. */
    public static final long HOME_LAPSE_US = 1_500_000;

    private final LoadSamples edges = new LoadSamples(EDGE_LAPSE_US);
    private final LoadSamples homes = new LoadSamples(HOME_LAPSE_US);
    private long version;

    /** Takes an edge's sample; false when it is late, repeated or of a former incarnation. */
    public boolean acceptEdge(
            String edge, long incarnation, long sequence, LoadSummary sample, long nowUs) {
        return counted(edges.accept(edge, incarnation, sequence, sample, nowUs));
    }

    /** Takes the sum of another home under the same rule. */
    public boolean acceptHome(
            String home, long incarnation, long sequence, LoadSummary sum, long nowUs) {
        return counted(homes.accept(home, incarnation, sequence, sum, nowUs));
    }

    /** The link of an edge has closed: its sample counts no more here. */
    public void removeEdge(String edge) {
        counted(edges.remove(edge));
    }

    private boolean counted(boolean changed) {
        version += changed ? 1 : 0;
        return changed;
    }

    /** The sequence number of the edge's sample that the sums hold now, or 0. */
    public long sequenceOf(String edge) {
        return edges.sequenceOf(edge);
    }

    /** The sum over the edges of this home. */
    public LoadSummary ownSum(long nowUs) {
        counted(edges.removeLapsed(nowUs));
        var sum = new LoadSummary();
        edges.addTo(sum);
        return sum;
    }

    /** The sum over the edges of all homes, as far as they were heard. */
    public LoadSummary total(LoadSummary ownSum, long nowUs) {
        counted(homes.removeLapsed(nowUs));
        var total = new LoadSummary().add(ownSum);
        homes.addTo(total);
        return total;
    }

    /** Rises with every change of a sum. */
    public long version() {
        return version;
    }
}
