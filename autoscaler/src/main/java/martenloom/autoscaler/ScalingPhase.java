package martenloom.autoscaler;

/** Where a {@link ReplicaCountController} stands. */
public enum ScalingPhase {
    /** As many replicas as wanted are desired. */
    STEADY,

    /** Fewer are wanted, and the delay before scaling down runs. */
    WAITING,

    /** The core has rejected the last decision. */
    HELD
}
