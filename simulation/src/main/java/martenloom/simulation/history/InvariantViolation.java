package martenloom.simulation.history;

/** A broken invariant: which one, and what was seen. Ends the simulated day. */
public final class InvariantViolation extends RuntimeException {
    private static final long serialVersionUID = 1;
    private final Invariant invariant;

    public InvariantViolation(Invariant invariant, String seen) {
        super(invariant + ": " + seen, null, false, false);
        this.invariant = invariant;
    }

    public Invariant invariant() {
        return invariant;
    }
}
