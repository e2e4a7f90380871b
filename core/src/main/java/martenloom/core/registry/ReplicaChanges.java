package martenloom.core.registry;

/**
 * The replicas that have changed, encoded for edges.
 *
 * @param rows as edges of the first version read them
 * @param shortRows for edges that read short rows
 */
public record ReplicaChanges(byte[] rows, byte[] shortRows) {}
