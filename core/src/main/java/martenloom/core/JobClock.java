package martenloom.core;

import martenloom.core.chain.ChainMember;
import martenloom.core.state.ClusterState;

/**
 * Keeps the clock of the jobs in the committed state, so that a new head goes on from there: the
 * head writes it every few seconds while there are live jobs. Runs on the reactor thread.
 */
final class JobClock {
    private static final long WRITE_US = 4_000_000;

    private final ChainMember chain;
    private final OrderForwarding orders;
    private long writtenUs;

    JobClock(ChainMember chain, OrderForwarding orders) {
        this.chain = chain;
        this.orders = orders;
    }

    void tick(long now) {
        if (chain.isHead() && chain.committed().jobTable.live() > 0 && now - writtenUs > WRITE_US) {
            writtenUs = now;
            var order = new ClusterState.Change(ClusterState.Act.JOB_CLOCK, 0, "", "");
            orders.askHere(order, (status, text) -> {});
        }
    }
}
