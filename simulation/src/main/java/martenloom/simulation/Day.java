package martenloom.simulation;

import java.util.Optional;
import java.util.Set;

/** What a simulated day came to. */
public record Day(
        Schedule schedule,
        long steps,
        Set<TroubleKind> broughtAbout,
        Optional<Violation> violation) {
    /** Runs a schedule; the same schedule comes to the same day. */
    public static Day run(Schedule schedule, long mostSteps) {
        var world = new World(schedule, mostSteps);
        Optional<Violation> violation = Optional.empty();
        try {
            world.run();
        } catch (Violation v) {
            violation = Optional.of(v);
        } catch (RuntimeException thrown) {
            violation = Optional.of(new Violation(Invariant.NO_EXCEPTION, describe(thrown)));
        }
        return new Day(schedule, world.steps(), world.broughtAbout(), violation);
    }

    private static String describe(RuntimeException thrown) {
        var trace = thrown.getStackTrace();
        return thrown + (trace.length > 0 ? " at " + trace[0] : "");
    }
}
