package martenloom.simulation.schedule;

/**
 * One entry of a schedule.
 *
 * @param atMs when it begins, from the end of the warm-up
 * @param kind what happens
 * @param slot the machine that it hits, by its position in the cluster
 * @param lastsMs how long it lasts, where that has a meaning
 * @param choice a number from which the details are drawn
 */
public record ScheduledFault(long atMs, FaultKind kind, int slot, long lastsMs, int choice) {
    private static final long MS_US = 1_000;

    /** When it begins, from the end of the warm-up. */
    public long atUs() {
        return atMs * MS_US;
    }

    /** How long it lasts. */
    public long lastsUs() {
        return lastsMs * MS_US;
    }

    /** When it is over, from the end of the warm-up. */
    public long endMs() {
        return atMs + lastsMs;
    }

    @Override
    public String toString() {
        return String.format(
                "%6d ms  %-20s machine %d, %d ms, choice %d",
                atMs, kind.word(), slot, lastsMs, choice);
    }
}
