package martenloom.simulation.schedule;

/**
 * One entry of a schedule.
 *
 * @param atMs when it begins, from the end of the warm-up
 * @param slot the machine that it hits, by its place among those that count
 * @param lastsMs how long it lasts, where that has a meaning
 * @param choice a number from which the details are drawn
 */
public record ScheduledFault(long atMs, FaultKind kind, int slot, long lastsMs, int choice) {
    @Override
    public String toString() {
        return String.format(
                "%6d ms  %-20s machine %d, %d ms, choice %d",
                atMs, kind.word(), slot, lastsMs, choice);
    }
}
