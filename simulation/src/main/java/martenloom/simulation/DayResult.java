package martenloom.simulation;

import java.util.Optional;
import java.util.Set;
import martenloom.simulation.history.InvariantViolation;
import martenloom.simulation.schedule.FaultKind;
import martenloom.simulation.schedule.FaultSchedule;

/**
 * The result of a simulated day.
 *
 * @param schedule the schedule that was run
 * @param steps how many events it took
 * @param injectedKinds the kinds of fault that were injected
 * @param ballots by how much the highest ballot rose after the warm-up: 0 when no view was sought
 * @param violation the invariant that was broken, if one was
 */
public record DayResult(
        FaultSchedule schedule,
        long steps,
        Set<FaultKind> injectedKinds,
        long ballots,
        Optional<InvariantViolation> violation) {}
