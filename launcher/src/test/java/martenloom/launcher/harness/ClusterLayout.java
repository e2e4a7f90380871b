package martenloom.launcher.harness;

import java.util.List;

/**
 * Where the daemons and replicas of a test cluster listen: a loopback network of its own for each
 * cluster, with an address for each daemon and the same ports at each of them. Immutable.
 */
final class ClusterLayout {
    static final int INTERNAL_PORT = PortBlock.port(17720);

    /** Internal port of a core daemon that no other daemon can reach. */
    static final int PARTITIONED_PORT = PortBlock.port(17820);

    static final int CONTROL_PORT = PortBlock.port(18166);
    static final int FRONT_PORT = PortBlock.port(18161);
    static final int READINESS_PORT = PortBlock.port(18167);

    private static final List<String> ZONES = List.of("north-a", "south-b", "west-c");
    private static final int FIRST_HOST = 10;

    private final String prefix;

    ClusterLayout(int network) {
        prefix = "127." + network;
    }

    static List<String> zones() {
        return ZONES;
    }

    /** The zone of a daemon or replica; daemons go round the zones by their number. */
    static String zone(int number) {
        return ZONES.get(number % ZONES.size());
    }

    static String region(String zone) {
        return zone.split("-")[0];
    }

    String core(int number) {
        return prefix + ".1." + (FIRST_HOST + number);
    }

    String edge(int number) {
        return prefix + ".2." + (FIRST_HOST + number);
    }

    String replica(int number) {
        return prefix + ".3." + (FIRST_HOST + number);
    }

    boolean isCore(String ip) {
        return ip.startsWith(prefix + ".1.");
    }

    String control(int core) {
        return core(core) + ":" + CONTROL_PORT;
    }
}
