package martenloom.autoscaler;

/**
 * The replicas of one model in one region, as far as the caller knows.
 *
 * @param registered how many are registered
 * @param running how many of them are running and not scaled down
 * @param capacity requests that one replica serves at the same time
 */
public record ReplicaCounts(int registered, int running, int capacity) {}
