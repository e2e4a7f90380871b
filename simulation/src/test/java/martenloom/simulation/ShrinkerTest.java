package martenloom.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** A failing schedule becomes as short as the fault allows. */
final class ShrinkerTest {
    private static Trouble trouble(int i) {
        return new Trouble(i * 100, TroubleKind.KILL, i % 3, 50, i);
    }

    /** A day that fails when the troubles of both numbers are in its schedule. */
    private static Day run(Schedule schedule, int one, int other) {
        var fails =
                schedule.troubles().contains(trouble(one))
                        && schedule.troubles().contains(trouble(other));
        var violation = new Violation(Invariant.ONE_WINNER, "both");
        return new Day(schedule, 1, Set.of(), fails ? Optional.of(violation) : Optional.empty());
    }

    @Test
    void onlyWhatTheFaultNeedsIsLeft() {
        var troubles = IntStream.range(0, 14).mapToObj(ShrinkerTest::trouble).toList();
        var failing = run(new Schedule(5, 3, troubles), 2, 11);
        var shrunk = new Shrinker(s -> run(s, 2, 11)).shrink(failing);
        assertEquals(List.of(trouble(2), trouble(11)), shrunk.schedule().troubles());
        assertEquals(5, shrunk.schedule().seed());
    }
}
