package martenloom.simulation.schedule;

import java.util.Arrays;
import java.util.Optional;

/**
 * The kinds of fault that a schedule may hold, each with its word on the command line. Their order
 * is part of how a schedule follows from its seed.
 */
public enum FaultKind {
    /** A process ends at once, at times in the middle of a write, and is started again. */
    CRASH("kill"),
    /** All processes end at once and are started again. */
    CRASH_ALL("kill-all"),
    /** A machine loses power: what was not synced is lost, kept or torn, name by name. */
    POWER_LOSS("power-loss"),
    /** All machines lose power at once. */
    POWER_LOSS_ALL("power-loss-all"),
    /** A machine comes back with an empty disk. */
    DISK_WIPE("wipe"),
    /** As many machines as may lose their state do so, while all others lose power. */
    DISK_WIPE_AND_POWER_LOSS("wipe-and-power-loss"),
    /**
     * A minority is partitioned off; as it is back, as many others as may lose their state do so,
     * and the rest is down for some seconds.
     */
    LOSS_AFTER_PARTITION("second-loss"),
    /** A machine comes back and its newest version file is incomplete. */
    TORN_NEWEST_FILE("torn-newest-file"),
    /** A machine is isolated in both directions for a while. */
    ISOLATION("cut-total"),
    /** A machine is isolated in both directions for some twenty seconds. */
    LONG_ISOLATION("cut-long"),
    /** A machine is not heard, or does not hear, while the other direction works. */
    ONE_WAY_PARTITION("cut-one-way"),
    /** Two halves of the cluster are partitioned, but both reach one machine between them. */
    BRIDGED_PARTITION("cut-bridge"),
    /** The link between two machines is down. */
    LINK_DOWN("cut-pair"),
    /** Connections of a machine are reset and what was in flight on them is lost in part. */
    CONNECTION_RESET("reset"),
    /** Records get lost. */
    MESSAGE_LOSS("message-loss"),
    /** Records arrive a second time, late. */
    DUPLICATES("duplicates"),
    /** Records take long. */
    SLOW_NETWORK("slow-network"),
    /** Calls of clients, and the answers to them, get lost or come late. */
    CLIENT_MESSAGE_LOSS("answers-lost"),
    /** A disk does not finish a write for a while. */
    DISK_STALL("disk-stall"),
    /** A disk refuses writes for a while. */
    DISK_FULL("disk-full"),
    /** A process stands still and then goes on with all that waited for it. */
    FREEZE("freeze"),
    /** A process shuts down gracefully and is started again on its disk. */
    RESTART("restart"),
    /**
     * A machine is replaced by one of a new address: the new one starts first, then the old one
     * shuts down gracefully.
     */
    PLANNED_REPLACEMENT("replace-planned"),
    /** A machine is gone for good and another one starts under a new address. */
    UNPLANNED_REPLACEMENT("replace-unplanned"),
    /** Two planned replacements, one some seconds after the other. */
    TWO_REPLACEMENTS("replace-twice"),
    /** An operator replaces the configuration many times without a pause. */
    CONFIGURATION_STORM("change-storm"),
    /**
     * The processor of a machine, or of all, is a quota: once it is spent, the process stands still
     * for the rest of each tenth of a second.
     */
    PROCESSOR_QUOTA("processor-quota");

    private final String word;

    FaultKind(String word) {
        this.word = word;
    }

    /** The name on the command line and in what is printed. */
    public String word() {
        return word;
    }

    /** The kind of a word on the command line. */
    public static Optional<FaultKind> of(String word) {
        return Arrays.stream(values()).filter(kind -> kind.word.equals(word)).findFirst();
    }
}
