package martenloom.edge.replica;

import java.util.Set;

/**
 * How many replicas of a model a region shall have, as the core holds it.
 *
 * @param desired how many replicas are to serve
 * @param pinned whether the operator has unloaded the model, so that all of them rest
 * @param resting the replicas that get no new prompts
 */
public record ReplicaPlacement(int desired, boolean pinned, Set<String> resting) {}
