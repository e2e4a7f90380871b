package martenloom.edge.jobs;

/** How far a run had come that brought no result; the ordinal is its number on the wire. */
enum RunFailure {
    NOT_RUN,
    MAY_HAVE_RUN,
    RAN_AND_FAILED
}
