package martenloom.simulation.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.function.Executable;

/** Assertions on broken invariants. */
final class Violations {
    private Violations() {}

    static void assertBreaks(Invariant invariant, Executable step) {
        assertEquals(invariant, assertThrows(InvariantViolation.class, step).invariant());
    }
}
