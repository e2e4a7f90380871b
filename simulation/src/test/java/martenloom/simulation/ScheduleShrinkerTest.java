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
    private static ScheduledFault trouble(int i) {
        return new ScheduledFault(i * 100, FaultKind.KILL, i % 3, 50, i);
    }

    /** A day that fails when the troubles of both numbers are in its schedule. */
    private static DayResult run(FaultSchedule schedule, int one, int other) {
        var fails =
                schedule.troubles().contains(trouble(one))
                        && schedule.troubles().contains(trouble(other));
        var violation = new InvariantViolation(Invariant.ONE_WINNER, "both");
        return new DayResult(
                schedule, 1, Set.of(), fails ? Optional.of(violation) : Optional.empty());
    }

    @Test
    void onlyWhatTheFaultNeedsIsLeft() {
        var troubles = IntStream.range(0, 14).mapToObj(ScheduleShrinkerTest::trouble).toList();
        var failing = run(new FaultSchedule(5, 3, troubles), 2, 11);
        var shrunk = new ScheduleShrinker(s -> run(s, 2, 11)).shrink(failing);
        assertEquals(List.of(trouble(2), trouble(11)), shrunk.schedule().troubles());
        assertEquals(5, shrunk.schedule().seed());
    }
}
