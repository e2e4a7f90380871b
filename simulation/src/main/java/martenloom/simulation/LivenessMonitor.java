package martenloom.simulation;

import martenloom.simulation.cluster.SimulatedCluster;
import martenloom.simulation.cluster.SimulatedMember;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.faults.FaultInjector;
import martenloom.simulation.faults.LossBudget;
import martenloom.simulation.history.Invariant;
import martenloom.simulation.history.InvariantChecker;
import martenloom.simulation.history.InvariantViolation;

/**
 * Checks that a cluster makes progress and that its members catch up, once it was calm for long
 * enough: no fault active and every member running.
 */
final class LivenessMonitor {
    /**
     * Once the cluster is calm for so long, a configuration must have been acknowledged, and every
     * member must have caught up.
     */
    static final long CALM_BOUND_US = 6_000_000;

    private static final long PERIOD_US = 100_000;

    /** Members may be behind by what was committed in the last period of this length. */
    private static final long LAG_US = 2_000_000;

    private static final long MS_US = 1_000;

    private final SimulatedCluster cluster;
    private final FaultInjector faults;
    private final LossBudget budget;
    private final InvariantChecker invariants;
    private final EventQueue events;

    private int acknowledgementsSeen;
    private long progressAtUs;

    /** The newest edition when the present period of lag began, and when the one before began. */
    private long newestEdition;

    private long newestEditionBefore;
    private long lagPeriodStartUs;

    LivenessMonitor(
            SimulatedCluster cluster,
            FaultInjector faults,
            LossBudget budget,
            InvariantChecker invariants,
            EventQueue events) {
        this.cluster = cluster;
        this.faults = faults;
        this.budget = budget;
        this.invariants = invariants;
        this.events = events;
    }

    void start() {
        events.every(PERIOD_US, this::check);
    }

    private void check() {
        noteProgress();
        noteEditions();
        if (!faults.isIdle() || !cluster.isFullyRunning()) {
            budget.onDisturbed();
            return;
        }
        budget.recoverWhenCalm();
        if (budget.calmUs() > CALM_BOUND_US) {
            checkProgress();
            checkCaughtUp();
        }
    }

    private void noteProgress() {
        var acknowledgements = invariants.configurations().acknowledgements();
        if (acknowledgements != acknowledgementsSeen) {
            acknowledgementsSeen = acknowledgements;
            progressAtUs = events.nowUs();
        }
    }

    private void noteEditions() {
        if (events.nowUs() - lagPeriodStartUs > LAG_US) {
            newestEditionBefore = newestEdition;
            newestEdition = invariants.newestEdition();
            lagPeriodStartUs = events.nowUs();
        }
    }

    private void checkProgress() {
        var withoutProgressUs = events.nowUs() - progressAtUs;
        if (withoutProgressUs > CALM_BOUND_US) {
            throw new InvariantViolation(
                    Invariant.PROGRESS,
                    "calm for "
                            + budget.calmUs() / MS_US
                            + " ms, and nothing was acknowledged for "
                            + withoutProgressUs / MS_US
                            + " ms: "
                            + cluster.describe());
        }
    }

    private void checkCaughtUp() {
        for (var address : cluster.addresses()) {
            var edition =
                    cluster.running(address).map(SimulatedMember::committedEdition).orElse(0L);
            if (edition < newestEditionBefore) {
                throw new InvariantViolation(
                        Invariant.LEVEL,
                        address
                                + " is at edition "
                                + edition
                                + ", the core was at "
                                + newestEditionBefore
                                + " two seconds before: "
                                + cluster.describe());
            }
        }
    }
}
