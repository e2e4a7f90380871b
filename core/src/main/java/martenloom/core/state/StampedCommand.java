package martenloom.core.state;

/**
 * A command with what a daemon and the head of the chain have noted on it, so that every member
 * decides it by the same facts. Immutable.
 *
 * @param command what is asked for
 * @param acceptedVersion the version of its subject that was committed where and when an operator's
 *     order was accepted, or {@link #NOT_ACCEPTED}; it tells a copy that comes late
 * @param jobClockUs the clock of the jobs at the head, in microseconds; 0 before the head has it
 * @param survey what runs where as the head sees it, as text; empty unless the command needs it
 */
public record StampedCommand(
        Command command, long acceptedVersion, long jobClockUs, String survey) {
    /** The version of an order that no daemon has accepted yet; it is never the current one. */
    public static final long NOT_ACCEPTED = -1;

    /** A command on which nothing is noted yet. */
    public static StampedCommand of(Command command) {
        return new StampedCommand(command, NOT_ACCEPTED, 0, "");
    }

    /** The same, accepted on a version of its subject. */
    public StampedCommand acceptedOn(long version) {
        return new StampedCommand(command, version, jobClockUs, survey);
    }

    /** The same, stamped by the head with the clock of the jobs. */
    public StampedCommand stampedAt(long clockUs) {
        return new StampedCommand(command, acceptedVersion, clockUs, survey);
    }

    /** The same, with what runs where as the head sees it at this moment. */
    public StampedCommand surveyed(String running) {
        return new StampedCommand(command, acceptedVersion, jobClockUs, running);
    }
}
