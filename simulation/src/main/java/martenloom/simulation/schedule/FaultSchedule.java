package martenloom.simulation.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import martenloom.simulation.engine.RandomStream;

/**
 * The faults of one simulated day, and the seed from which everything else of that day is drawn.
 *
 * @param seed the seed of the day
 * @param members how many members the cluster has
 * @param faults what happens, in the order in which it begins
 */
public record FaultSchedule(long seed, int members, List<ScheduledFault> faults) {
    private static final int FEWEST_FAULTS = 3;
    private static final int MOST_FAULTS = 14;
    private static final int FEWEST_KINDS = 2;
    private static final int MOST_KINDS = 5;

    /** One day of so many draws from all kinds, the others from a few. */
    private static final int ALL_KINDS_ONE_IN = 3;

    private static final long LATEST_FIRST_MS = 3_000;
    private static final long LATEST_MS = 40_000;

    /** One gap of so many is long enough for the cluster to recover between two faults. */
    private static final int LONG_GAP_ONE_IN = 3;

    private static final long SHORTEST_LONG_GAP_MS = 4_000;
    private static final long LONGEST_GAP_MS = 14_000;
    private static final long LONGEST_SHORT_GAP_MS = 1_500;

    /** One fault of so many lasts long. */
    private static final int LONG_FAULT_ONE_IN = 3;

    private static final long SHORTEST_FAULT_MS = 50;
    private static final long LONGEST_SHORT_FAULT_MS = 1_500;
    private static final long LONGEST_FAULT_MS = 8_000;
    private static final long LONG_ISOLATION_MS = 20_000;
    private static final int CHOICES = 1 << 16;

    /**
     * Draws a schedule: some faults come alone, others close upon one another. Two days of three
     * draw from a few kinds only, which then meet more often (swarm testing).
     */
    public static FaultSchedule draw(long seed, int members, List<FaultKind> kinds) {
        var random = RandomStream.of(seed, "schedule");
        var faults = new ArrayList<ScheduledFault>();
        var count = FEWEST_FAULTS + random.below(MOST_FAULTS - FEWEST_FAULTS + 1);
        var atMs = random.between(0, LATEST_FIRST_MS);
        var kindsOfDay = random.oneIn(ALL_KINDS_ONE_IN) ? kinds : drawKinds(kinds, random);
        for (var i = 0; i < count && atMs < LATEST_MS; i++) {
            faults.add(drawFault(atMs, random, members, kindsOfDay));
            atMs +=
                    random.oneIn(LONG_GAP_ONE_IN)
                            ? random.between(SHORTEST_LONG_GAP_MS, LONGEST_GAP_MS)
                            : random.between(0, LONGEST_SHORT_GAP_MS);
        }
        return new FaultSchedule(seed, members, List.copyOf(faults));
    }

    private static List<FaultKind> drawKinds(List<FaultKind> kinds, RandomStream random) {
        var count = FEWEST_KINDS + random.below(MOST_KINDS - FEWEST_KINDS + 1);
        return IntStream.range(0, count).mapToObj(index -> random.pick(kinds)).distinct().toList();
    }

    private static ScheduledFault drawFault(
            long atMs, RandomStream random, int members, List<FaultKind> kinds) {
        var kind = random.pick(kinds);
        var lastsMs = kind == FaultKind.LONG_ISOLATION ? LONG_ISOLATION_MS : drawDurationMs(random);
        return new ScheduledFault(
                atMs, kind, random.below(members), lastsMs, random.below(CHOICES));
    }

    private static long drawDurationMs(RandomStream random) {
        return random.oneIn(LONG_FAULT_ONE_IN)
                ? random.between(LONGEST_SHORT_FAULT_MS, LONGEST_FAULT_MS)
                : random.between(SHORTEST_FAULT_MS, LONGEST_SHORT_FAULT_MS);
    }

    /** When the last fault is over, from the end of the warm-up. */
    public long endMs() {
        return faults.stream().mapToLong(ScheduledFault::endMs).max().orElse(0);
    }

    /** The same day with other faults. */
    public FaultSchedule with(List<ScheduledFault> kept) {
        var sorted = kept.stream().sorted(Comparator.comparingLong(ScheduledFault::atMs)).toList();
        return new FaultSchedule(seed, members, sorted);
    }

    @Override
    public String toString() {
        var lines = faults.stream().map(fault -> "  " + fault).collect(Collectors.joining("\n"));
        return "seed " + seed + ", " + members + " members\n" + lines;
    }
}
