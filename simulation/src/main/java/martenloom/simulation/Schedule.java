package martenloom.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The troubles of one simulated day, and the seed from which everything else of that day is drawn.
 */
public record Schedule(long seed, int members, List<Trouble> troubles) {
    private static final int FEWEST = 3;
    private static final int MOST = 14;
    private static final long LAST_MS = 40_000;
    private static final long LONG_CUT_MS = 20_000;

    /** Draws a schedule: some troubles come alone, others close upon one another. */
    public static Schedule draw(long seed, int members, List<TroubleKind> kinds) {
        var random = Randomness.of(seed, "schedule");
        var troubles = new ArrayList<Trouble>();
        var count = FEWEST + random.below(MOST - FEWEST + 1);
        var atMs = random.between(0, 3_000);
        for (var i = 0; i < count && atMs < LAST_MS; i++) {
            troubles.add(trouble(atMs, random, members, kinds));
            atMs += random.oneIn(3) ? random.between(4_000, 14_000) : random.between(0, 1_500);
        }
        return new Schedule(seed, members, List.copyOf(troubles));
    }

    private static Trouble trouble(
            long atMs, Randomness random, int members, List<TroubleKind> kinds) {
        var kind = random.pick(kinds);
        var lastsMs =
                kind == TroubleKind.CUT_LONG
                        ? LONG_CUT_MS
                        : random.oneIn(3)
                                ? random.between(1_500, 8_000)
                                : random.between(50, 1_500);
        return new Trouble(atMs, kind, random.below(members), lastsMs, random.below(1 << 16));
    }

    /** When the last trouble is over. */
    long endMs() {
        return troubles.stream().mapToLong(t -> t.atMs() + t.lastsMs()).max().orElse(0);
    }

    Schedule with(List<Trouble> kept) {
        var sorted = kept.stream().sorted(Comparator.comparingLong(Trouble::atMs)).toList();
        return new Schedule(seed, members, sorted);
    }

    @Override
    public String toString() {
        var lines = troubles.stream().map(t -> "  " + t).collect(Collectors.joining("\n"));
        return "seed " + seed + ", " + members + " members\n" + lines;
    }
}
