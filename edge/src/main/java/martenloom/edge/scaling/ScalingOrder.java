package martenloom.edge.scaling;

import java.util.Collection;

/**
 * How many replicas of a model shall serve in a region.
 *
 * @param key the region and model
 * @param fencingToken the fencing token of the scaling role
 * @param desired how many replicas shall serve, or {@link #ALL}
 * @param unloaded the ids of the replicas that get no new prompts and drain
 */
public record ScalingOrder(
        String key, long fencingToken, int desired, Collection<String> unloaded) {
    /** Stands for all replicas that are registered, now and later. */
    public static final int ALL = -1;

    boolean wantsAll() {
        return desired == ALL;
    }
}
