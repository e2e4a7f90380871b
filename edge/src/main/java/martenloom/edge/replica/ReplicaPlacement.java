package martenloom.edge.replica;

import java.util.Set;

/**
 * How many replicas of a model a region shall have, as the core holds it.
 *
 * @param desired how many replicas shall serve
 * @param unloadedByOperator whether the operator has unloaded the model, so that none serves
 * @param unloaded the ids of the replicas that get no new prompts
 */
public record ReplicaPlacement(int desired, boolean unloadedByOperator, Set<String> unloaded) {
    /** Whether a replica of the model gets no new prompts. */
    public boolean isUnloaded(String replica) {
        return unloadedByOperator || unloaded.contains(replica);
    }
}
