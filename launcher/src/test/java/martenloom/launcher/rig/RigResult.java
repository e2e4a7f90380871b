package martenloom.launcher.rig;

import java.util.List;
import java.util.Locale;

/**
 * What one run showed.
 *
 * @param reach how far knowledge had spread at the end
 * @param core rates of one core daemon
 * @param busiestCoreCpu the processor time a second of the core daemon that used most
 * @param edge rates of one edge
 * @param coreTypes the record types that core daemons sent most, as number:records a second
 * @param changeMs how long each change of configuration took until it was in force everywhere
 */
record RigResult(
        Reach reach,
        Rates core,
        double busiestCoreCpu,
        Rates edge,
        double heapMb,
        int configurationBytes,
        List<Long> changeMs,
        String coreTypes) {
    private static final double KILO = 1_000;
    private static final double PERCENT = 100;

    /**
     * How far knowledge had spread.
     *
     * @param replicasKnown replicas that the edge knows which knows fewest
     * @param edgesHeard edges that the edge has heard of which has heard of fewest
     */
    record Reach(int readyEdges, long replicasKnown, int edgesHeard) {}

    /** Records and bytes sent and processor time used, each in one second. */
    record Rates(double records, double bytes, double cpu) {}

    static String header() {
        return "edges cores replicas zones regions models routes pace joins | ready known heard |"
                + " core: records/s KB/s cpu% head-cpu% | edge: records/s KB/s cpu% | heap MB |"
                + " configuration KB | change ms (median, worst) | core kinds (record:a second)";
    }

    /** One line under the header. */
    String line(RigSize size) {
        return String.format(
                Locale.ROOT,
                "%d %d %d %d %d %d %d %d %d | %d %d %d | %.0f %.1f %.2f %.2f | %.1f %.2f %.3f |"
                        + " %.0f | %.1f | %s | %s",
                size.edges(),
                size.cores(),
                size.replicas(),
                size.zones(),
                size.regions(),
                size.models(),
                size.routes(),
                size.paceMs(),
                size.joins(),
                reach.readyEdges,
                reach.replicasKnown,
                reach.edgesHeard,
                core.records,
                core.bytes / KILO,
                core.cpu * PERCENT,
                busiestCoreCpu * PERCENT,
                edge.records,
                edge.bytes / KILO,
                edge.cpu * PERCENT,
                heapMb,
                configurationBytes / KILO,
                medianAndWorst(),
                coreTypes);
    }

    private String medianAndWorst() {
        var sorted = changeMs.stream().sorted().toList();
        return sorted.isEmpty()
                ? "-"
                : sorted.get(sorted.size() / 2) + ", " + sorted.get(sorted.size() - 1);
    }
}
