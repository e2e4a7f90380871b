package martenloom.simulation.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import martenloom.simulation.engine.RandomStream;

/**
 * The troubles of one simulated day, and the seed from which everything else of that day is drawn.
 */
public record FaultSchedule(long seed, int members, List<ScheduledFault> troubles) {
    private static final int FEWEST = 3;
    private static final int MOST = 14;
    private static final int FEWEST_KINDS = 2;
    private static final int MOST_KINDS = 5;
    private static final long LAST_MS = 40_000;
    private static final long LONG_CUT_MS = 20_000;

    /**
     * Draws a schedule: some troubles come alone, others close upon one another. Two days of three
     * draw from a few kinds only, which then meet more often (swarm testing).
     */
    public static FaultSchedule draw(long seed, int members, List<FaultKind> kinds) {
        var random = RandomStream.of(seed, "schedule");
        var troubles = new ArrayList<ScheduledFault>();
        var count = FEWEST + random.below(MOST - FEWEST + 1);
        var atMs = random.between(0, 3_000);
        var some = random.oneIn(3) ? kinds : few(kinds, random);
        for (var i = 0; i < count && atMs < LAST_MS; i++) {
            troubles.add(trouble(atMs, random, members, some));
            atMs += random.oneIn(3) ? random.between(4_000, 14_000) : random.between(0, 1_500);
        }
        return new FaultSchedule(seed, members, List.copyOf(troubles));
    }

    private static List<FaultKind> few(List<FaultKind> kinds, RandomStream random) {
        var count = FEWEST_KINDS + random.below(MOST_KINDS - FEWEST_KINDS + 1);
        return IntStream.range(0, count).mapToObj(i -> random.pick(kinds)).distinct().toList();
    }

    private static ScheduledFault trouble(
            long atMs, RandomStream random, int members, List<FaultKind> kinds) {
        var kind = random.pick(kinds);
        var lastsMs =
                kind == FaultKind.CUT_LONG
                        ? LONG_CUT_MS
                        : random.oneIn(3)
                                ? random.between(1_500, 8_000)
                                : random.between(50, 1_500);
        return new ScheduledFault(
                atMs, kind, random.below(members), lastsMs, random.below(1 << 16));
    }

    /** When the last trouble is over. */
    public long endMs() {
        return troubles.stream().mapToLong(t -> t.atMs() + t.lastsMs()).max().orElse(0);
    }

    public FaultSchedule with(List<ScheduledFault> kept) {
        var sorted = kept.stream().sorted(Comparator.comparingLong(ScheduledFault::atMs)).toList();
        return new FaultSchedule(seed, members, sorted);
    }

    @Override
    public String toString() {
        var lines = troubles.stream().map(t -> "  " + t).collect(Collectors.joining("\n"));
        return "seed " + seed + ", " + members + " members\n" + lines;
    }
}
