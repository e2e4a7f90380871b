package martenloom.simulation;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import martenloom.simulation.cluster.SimulatedCluster;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.faults.FaultInjector;
import martenloom.simulation.faults.LossBudget;
import martenloom.simulation.history.Invariant;
import martenloom.simulation.history.InvariantChecker;
import martenloom.simulation.history.InvariantViolation;
import martenloom.simulation.schedule.FaultKind;
import martenloom.simulation.schedule.FaultSchedule;
import martenloom.simulation.schedule.ScheduledFault;
import martenloom.simulation.workload.Workload;

/**
 * One simulated day: the cluster grows to all its members, the faults of the schedule are injected,
 * everything is healed, and the cluster must recover. The same schedule gives the same day.
 */
public final class SimulatedDay {
    private static final long WARM_UP_US = 60_000_000;
    private static final long MS_US = 1_000;

    /** How long the cluster is watched after everything was healed. */
    private static final long COOL_DOWN_US = 2 * LivenessMonitor.CALM_BOUND_US;

    private final FaultSchedule schedule;
    private final long maxSteps;
    private final EventQueue events = new EventQueue();
    private final SimulatedCluster cluster;
    private final Workload workload;
    private final LossBudget budget;
    private final FaultInjector faults;
    private final LivenessMonitor monitor;
    private final Set<FaultKind> injectedKinds = EnumSet.noneOf(FaultKind.class);
    private long steps;
    private long ballotAfterWarmUp;

    private SimulatedDay(FaultSchedule schedule, long maxSteps) {
        this.schedule = schedule;
        this.maxSteps = maxSteps;
        var invariants = new InvariantChecker();
        cluster = new SimulatedCluster(schedule.seed(), schedule.members(), events, invariants);
        workload = new Workload(schedule.seed(), events, cluster, invariants);
        budget = new LossBudget(cluster, events);
        faults = new FaultInjector(cluster, workload, budget, events);
        monitor = new LivenessMonitor(cluster, faults, budget, invariants, events);
    }

    /** Runs a schedule, to its end or for so many events. */
    public static DayResult run(FaultSchedule schedule, long maxSteps) {
        var day = new SimulatedDay(schedule, maxSteps);
        var violation = day.findViolation();
        var ballots = day.cluster.highestBallotNumber() - day.ballotAfterWarmUp;
        return new DayResult(schedule, day.steps, day.injectedKinds, ballots, violation);
    }

    /** Runs the day; whatever the code under test throws is a violation as well. */
    @SuppressWarnings("checkstyle:IllegalCatch") // the code under test may throw anything
    private Optional<InvariantViolation> findViolation() {
        try {
            play();
            return Optional.empty();
        } catch (InvariantViolation violation) {
            return Optional.of(violation);
        } catch (RuntimeException thrown) {
            return Optional.of(new InvariantViolation(Invariant.NO_EXCEPTION, describe(thrown)));
        }
    }

    private static String describe(RuntimeException thrown) {
        var trace = thrown.getStackTrace();
        return thrown + (trace.length > 0 ? " at " + trace[0] : "");
    }

    private void play() {
        cluster.startAll();
        workload.start();
        warmUp();
        ballotAfterWarmUp = cluster.highestBallotNumber();
        var beganUs = events.nowUs();
        schedule.faults().forEach(fault -> events.at(beganUs + fault.atUs(), () -> inject(fault)));
        monitor.start();
        runUntil(beganUs + schedule.endMs() * MS_US + 1);
        faults.healAll();
        runUntil(events.nowUs() + COOL_DOWN_US);
    }

    /** The cluster grows to all its members before the first fault. */
    private void warmUp() {
        while (!cluster.isFullyGrown()) {
            if (events.nowUs() > WARM_UP_US) {
                throw new InvariantViolation(
                        Invariant.PROGRESS,
                        "the core has not grown to all its members in a minute");
            }
            step(Long.MAX_VALUE);
        }
    }

    private void runUntil(long timeUs) {
        while (step(timeUs)) {
            // Each step checks the invariants that it touches.
        }
    }

    private boolean step(long timeUs) {
        if (steps >= maxSteps) {
            return false;
        }
        steps++;
        return events.stepUntil(timeUs);
    }

    private void inject(ScheduledFault fault) {
        if (faults.inject(fault)) {
            injectedKinds.add(fault.kind());
            budget.onDisturbed();
        }
    }
}
