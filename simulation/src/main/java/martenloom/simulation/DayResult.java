package martenloom.simulation;

import java.util.Optional;
import java.util.Set;
import martenloom.simulation.cluster.SimulatedCluster;
import martenloom.simulation.history.Invariant;
import martenloom.simulation.history.InvariantViolation;
import martenloom.simulation.schedule.FaultKind;
import martenloom.simulation.schedule.FaultSchedule;

/** What a simulated day came to. */
public record DayResult(
        FaultSchedule schedule,
        long steps,
        Set<FaultKind> broughtAbout,
        Optional<InvariantViolation> violation) {
    /** Runs a schedule; the same schedule comes to the same day. */
    public static DayResult run(FaultSchedule schedule, long mostSteps) {
        var world = new SimulatedCluster(schedule, mostSteps);
        Optional<InvariantViolation> violation = Optional.empty();
        try {
            world.run();
        } catch (InvariantViolation v) {
            violation = Optional.of(v);
        } catch (RuntimeException thrown) {
            violation =
                    Optional.of(new InvariantViolation(Invariant.NO_EXCEPTION, describe(thrown)));
        }
        return new DayResult(schedule, world.steps(), world.broughtAbout(), violation);
    }

    private static String describe(RuntimeException thrown) {
        var trace = thrown.getStackTrace();
        return thrown + (trace.length > 0 ? " at " + trace[0] : "");
    }
}
