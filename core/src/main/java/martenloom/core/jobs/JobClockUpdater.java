package martenloom.core.jobs;

import martenloom.core.chain.ChainMember;
import martenloom.core.forwarding.CommandForwarder;
import martenloom.core.state.Command;
import martenloom.core.state.StampedCommand;

/**
 * Keeps the clock of the jobs in the committed state, so that a new head goes on from there: the
 * head writes it every few seconds while there are live jobs. Runs on the reactor thread.
 */
public final class JobClockUpdater {
    private static final long WRITE_US = 4_000_000;

    private final ChainMember chain;
    private final CommandForwarder orders;
    private long writtenUs;

    public JobClockUpdater(ChainMember chain, CommandForwarder orders) {
        this.chain = chain;
        this.orders = orders;
    }

    public void tick(long now) {
        if (chain.isHead() && chain.committed().jobs().live() > 0 && now - writtenUs > WRITE_US) {
            writtenUs = now;
            var order = StampedCommand.of(new Command.AdvanceJobClock());
            orders.submitLocally(order, (code, text) -> {});
        }
    }
}
