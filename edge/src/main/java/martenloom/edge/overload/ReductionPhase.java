package martenloom.edge.overload;

/** Whether traffic to a region is reduced, or returns in steps. */
public enum ReductionPhase {
    NONE,
    ACTIVE,
    RETURNING
}
