package martenloom.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import martenloom.simulation.history.Invariant;
import martenloom.simulation.history.InvariantViolation;
import martenloom.simulation.schedule.FaultKind;
import martenloom.simulation.schedule.FaultSchedule;
import martenloom.simulation.schedule.ScheduledFault;
import org.junit.jupiter.api.Test;

/** A failing schedule becomes as short as the fault allows. */
final class ScheduleShrinkerTest {
    private static ScheduledFault fault(int number) {
        return new ScheduledFault(number * 100L, FaultKind.CRASH, number % 3, 50, number);
    }

    /** A day that fails when the faults of both numbers are in its schedule. */
    private static DayResult run(FaultSchedule schedule, int one, int other) {
        var fails =
                schedule.faults().contains(fault(one)) && schedule.faults().contains(fault(other));
        var violation = new InvariantViolation(Invariant.ONE_WINNER, "both");
        return new DayResult(
                schedule, 1, Set.of(), 0, fails ? Optional.of(violation) : Optional.empty());
    }

    @Test
    void onlyWhatTheFaultNeedsIsLeft() {
        var faults = IntStream.range(0, 14).mapToObj(ScheduleShrinkerTest::fault).toList();
        var failing = run(new FaultSchedule(5, 3, faults), 2, 11);
        var shrunk = new ScheduleShrinker(schedule -> run(schedule, 2, 11)).shrink(failing);
        assertEquals(List.of(fault(2), fault(11)), shrunk.schedule().faults());
        assertEquals(5, shrunk.schedule().seed());
    }
}
