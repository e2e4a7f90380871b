package martenloom.common.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import martenloom.common.codec.RecordReader;

/**
 * The subscriber's side of a {@link LoadPublication}: the loads as they were told last. An update
 * that does not follow the last one, or is of another publication, is not taken; the owner then
 * asks for a snapshot. Reads no clock; not thread-safe.
 */
public final class LoadSubscription {
    private final LoadSummary loads = new LoadSummary();
    private final List<String> ids = new ArrayList<>();
    private long publication;
    private long number;
    private boolean inSync;
    private boolean complete;

    /** What an update has done. */
    public enum Outcome {
        /** The loads are those of the publisher's newest update. */
        TAKEN,
        /** The update does not follow what is known: a snapshot is needed. */
        MISSED_SOME
    }

    /** The loads as they were told last. */
    public LoadSummary loads() {
        return loads;
    }

    /** The number of the update that was taken last; rises within one publication. */
    public long number() {
        return number;
    }

    /** The publication that is subscribed to. */
    public long publication() {
        return publication;
    }

    /** Whether every load is known as it was when the last update was made. */
    public boolean isComplete() {
        return complete;
    }

    /** Whether the next update can be taken. */
    public boolean isInSync() {
        return inSync;
    }

    /**
     * Takes an update or a snapshot.
     *
     * @param changed receives the replicas whose loads were told
     */
    public Outcome take(RecordReader in, Set<String> changed) {
        var update = LoadUpdate.read(in);
        if (update.snapshot() ? !update.namesAllIds() : !follows(update)) {
            inSync = false;
            return Outcome.MISSED_SOME;
        }
        if (update.snapshot()) {
            forget(changed);
        }
        publication = update.publication();
        number = update.number();
        inSync = true;
        complete = update.complete();
        ids.addAll(update.newIds());
        loads.setEdgeCount(update.edgeCount());
        update.inFlightByModel().ifPresent(loads::setInFlightByModel);
        for (var change : update.changes()) {
            var replica = ids.get(change.index());
            loads.setReplica(replica, change.load());
            changed.add(replica);
        }
        return Outcome.TAKEN;
    }

    private boolean follows(LoadUpdate update) {
        return inSync
                && update.publication() == publication
                && update.number() == number + 1
                && update.firstNewIndex() == ids.size()
                && update.namesIdsBelow(ids.size() + update.newIds().size());
    }

    /** Drops what was known before a snapshot; loads that it does not name are 0 now. */
    private void forget(Set<String> changed) {
        changed.addAll(loads.replicaLoads().keySet());
        loads.clearReplicas();
        ids.clear();
    }
}
