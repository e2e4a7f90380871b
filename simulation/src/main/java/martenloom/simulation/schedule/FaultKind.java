package martenloom.simulation.schedule;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The kinds of trouble that a schedule may hold. */
public enum FaultKind {
    /** A process ends at once, at times in the middle of a write, and comes back. */
    KILL,
    /** All processes end at once and come back. */
    KILL_ALL,
    /** A machine loses power: what was not synced is lost, kept or torn, name by name. */
    POWER_LOSS,
    /** All machines lose power at once. */
    POWER_LOSS_ALL,
    /** A machine comes back with an empty disk. */
    WIPE,
    /** As many machines as may be lost come back with empty disks, all others lose power. */
    WIPE_AND_POWER_LOSS,
    /**
     * A minority is cut off; as it is back, as many others as may be lost lose their state, and the
     * rest is down for some seconds.
     */
    SECOND_LOSS,
    /** A machine comes back and its newest file is not whole. */
    TORN_NEWEST_FILE,
    /** A machine neither hears nor is heard for a while. */
    CUT_TOTAL,
    /** A machine neither hears nor is heard for some twenty seconds. */
    CUT_LONG,
    /** A machine is not heard, or does not hear, while the other direction works. */
    CUT_ONE_WAY,
    /** Two groups that share one machine as a bridge do not hear one another. */
    CUT_BRIDGE,
    /** The link between two machines is down. */
    CUT_PAIR,
    /** Connections of a machine are reset and what was under way on them is lost in part. */
    RESET,
    /** Messages get lost. */
    MESSAGE_LOSS,
    /** Messages arrive a second time, late. */
    DUPLICATES,
    /** Messages take long. */
    SLOW_NETWORK,
    /** Answers to callers, and their calls, get lost or come late. */
    ANSWERS_LOST,
    /** A disk does not finish a write for a while. */
    DISK_STALL,
    /** A disk refuses writes for a while. */
    DISK_FULL,
    /** A process stands still and then goes on with all that waited for it. */
    FREEZE,
    /** A process leaves in order and comes back on its disk. */
    RESTART,
    /**
     * A machine is replaced by one of a new address: the new one starts first, then the old one
     * leaves.
     */
    REPLACE_PLANNED,
    /** A machine is gone for good and another one starts under a new address. */
    REPLACE_UNPLANNED,
    /** Two replacements, one some seconds after the other. */
    REPLACE_TWICE,
    /** The operators send many configurations one after the other, and then an old one again. */
    CHANGE_STORM;

    /** The name on the command line. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    public static Optional<FaultKind> of(String word) {
        return Arrays.stream(values()).filter(k -> k.word().equals(word)).findFirst();
    }
}
