package martenloom.launcher.rig;

import java.lang.management.ManagementFactory;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import martenloom.common.link.LinkTraffic;

/**
 * What the daemons had used from their start to one moment. Immutable.
 *
 * @param atNs the moment by nanoTime
 * @param coreCpuNs processor time of each core daemon
 * @param edgeCpuNs processor time of each thread that runs edges
 * @param core what all core daemons had sent
 * @param edge what all edges had sent
 * @param coreTypes records that all core daemons had sent, by record type
 */
record ResourceUsage(
        long atNs,
        List<Long> coreCpuNs,
        List<Long> edgeCpuNs,
        Sent core,
        Sent edge,
        Map<Integer, Long> coreTypes) {
    private static final double NS_PER_S = 1e9;
    private static final int MOST_TYPES = 5;

    /** Records and bytes sent. */
    record Sent(long records, long bytes) {}

    static ResourceUsage now(RigCluster cluster, RigSize size) {
        return new ResourceUsage(
                System.nanoTime(),
                cpuNs(cluster.coreThreadIds()),
                cpuNs(cluster.edgeThreadIds()),
                sent(cluster::coreThread, size.cores()),
                sent(cluster::edgeThread, RigCluster.EDGE_REACTORS),
                typesSent(cluster, size.cores()));
    }

    private static List<Long> cpuNs(List<Long> threads) {
        var bean = ManagementFactory.getThreadMXBean();
        return threads.stream().map(bean::getThreadCpuTime).toList();
    }

    private static Sent sent(IntFunction<String> thread, int threads) {
        var traffic =
                IntStream.range(0, threads).mapToObj(thread).map(LinkTraffic::ofThread).toList();
        return new Sent(
                traffic.stream().mapToLong(LinkTraffic::totalRecords).sum(),
                traffic.stream().mapToLong(LinkTraffic::totalBytes).sum());
    }

    private static Map<Integer, Long> typesSent(RigCluster cluster, int cores) {
        var types = new TreeMap<Integer, Long>();
        for (var i = 0; i < cores; i++) {
            LinkTraffic.ofThread(cluster.coreThread(i))
                    .countsByType()
                    .forEach((type, count) -> types.merge(type, count.records(), Long::sum));
        }
        return types;
    }

    /** The seconds that went by since an earlier moment. */
    double secondsSince(ResourceUsage earlier) {
        return (atNs - earlier.atNs) / NS_PER_S;
    }

    /** The rates of one core daemon since an earlier moment. */
    RigResult.Rates coreRates(ResourceUsage earlier, int cores) {
        var daemonSeconds = secondsSince(earlier) * cores;
        return rates(earlier.core, core, sum(coreCpuNs) - sum(earlier.coreCpuNs), daemonSeconds);
    }

    /** The rates of one edge since an earlier moment. */
    RigResult.Rates edgeRates(ResourceUsage earlier, int edges) {
        var daemonSeconds = secondsSince(earlier) * edges;
        return rates(earlier.edge, edge, sum(edgeCpuNs) - sum(earlier.edgeCpuNs), daemonSeconds);
    }

    private static RigResult.Rates rates(Sent from, Sent to, long cpuNs, double daemonSeconds) {
        return new RigResult.Rates(
                (to.records - from.records) / daemonSeconds,
                (to.bytes - from.bytes) / daemonSeconds,
                cpuNs / NS_PER_S / daemonSeconds);
    }

    private static long sum(List<Long> values) {
        return values.stream().mapToLong(Long::longValue).sum();
    }

    /** The processor time a second, since an earlier moment, of the busiest core daemon. */
    double busiestCoreCpu(ResourceUsage earlier) {
        var used =
                IntStream.range(0, coreCpuNs.size())
                        .mapToObj(core -> coreCpuNs.get(core) - earlier.coreCpuNs.get(core))
                        .toList();
        return Collections.max(used) / NS_PER_S / secondsSince(earlier);
    }

    /** The record types that core daemons sent most since an earlier moment. */
    String busiestTypes(ResourceUsage earlier, int cores) {
        var daemonSeconds = secondsSince(earlier) * cores;
        var counts = new TreeMap<Integer, Long>();
        coreTypes.forEach(
                (type, count) ->
                        counts.put(type, count - earlier.coreTypes.getOrDefault(type, 0L)));
        return counts.entrySet().stream()
                .sorted(Comparator.comparingLong(entry -> -entry.getValue()))
                .limit(MOST_TYPES)
                .map(entry -> entry.getKey() + ":" + Math.round(entry.getValue() / daemonSeconds))
                .collect(Collectors.joining(" "));
    }
}
