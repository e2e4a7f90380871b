package martenloom.core.jobs;

import martenloom.core.chain.ChainMember;
import martenloom.core.forwarding.CommandSubmitter;
import martenloom.core.state.Command;
import martenloom.core.state.StampedCommand;

/**
 * Keeps the clock of the jobs in the replicated state, so that a new head goes on from there: the
 * head writes it every few seconds while there are live jobs. Runs on the reactor thread.
 */
public final class JobClockUpdater {
    private static final long INTERVAL_US = 4_000_000;

    private final ChainMember chain;
    private final CommandSubmitter commands;
    private long writtenUs;

    /**
     * @param commands submits a command to the chain of this daemon
     */
    public JobClockUpdater(ChainMember chain, CommandSubmitter commands) {
        this.chain = chain;
        this.commands = commands;
    }

    /** Writes the clock if this member is the head and the time has come. */
    public void tick(long nowUs) {
        if (chain.isHead()
                && chain.committed().jobs().live() > 0
                && nowUs - writtenUs > INTERVAL_US) {
            writtenUs = nowUs;
            commands.submit(StampedCommand.of(new Command.AdvanceJobClock()), (code, text) -> {});
        }
    }
}
