package martenloom.core.tally;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import martenloom.common.log.RingLog;

/**
 * Writes adds to disk before they count in the {@link TallyState}. What comes while a write is
 * under way is written together with the next one.
 *
 * <p>Own adds are numbered under an origin. A number never stands for two adds: it is given out
 * once, and after a refused write, of which parts may be on disk, a new origin is drawn. Runs on
 * the reactor thread.
 */
final class TallyLog {
    /** A write that takes longer than this means a disk in trouble. */
    private static final long STALL_US = 300_000;

    private static final int BATCH_ADDS = 250;

    private final TallyState state;
    private final TallyStorage storage;
    private final LongSupplier newOrigin;
    private final Listener listener;

    private long origin;

    /** Whether adds are taken: not before the first write, and not while the disk refuses. */
    private boolean open;

    private boolean openedOnce;
    private boolean writing;
    private long writes;

    /** How often the log was written anew: an append that began before is not in it. */
    private long rewrites;

    /** The number of the write that was seen under way, and when it was first seen. */
    private long observedWrite;

    private long observedSinceUs;
    private List<QueuedBatch> queue = new ArrayList<>();

    /** What is held or queued. */
    private VersionVector received = new VersionVector();

    /** The own adds that are not durable yet. */
    private final Map<TallyAddKey, AddPosition> pendingOwn = new HashMap<>();

    /** Is told what became of batches. */
    interface Listener {
        /** These are durable and count. */
        void onDurable(List<QueuedBatch> written);

        /** The disk has refused; none of what was queued counts here. */
        void onRefused();
    }

    /**
     * Adds on their way to the disk.
     *
     * @param source the peer that sent them; empty for own adds
     */
    record QueuedBatch(AddBatch batch, Optional<String> source) {}

    /**
     * @param newOrigin draws a number that no other log has
     */
    TallyLog(TallyState state, TallyStorage storage, LongSupplier newOrigin, Listener listener) {
        this.state = state;
        this.storage = storage;
        this.newOrigin = newOrigin;
        this.listener = listener;
    }

    /** Takes what was found on disk, and is open as soon as that is written anew. */
    void open(List<byte[]> payloads) {
        var records = TallyLogRecords.read(payloads);
        records.batches().forEach(state::append);
        origin = records.origin().orElseGet(newOrigin::getAsLong);
        rewrite();
    }

    /** The number under which own adds stand. */
    long origin() {
        return origin;
    }

    /**
     * Numbers further adds under a new origin, for numbers of this one were given out that the disk
     * does not know any more. What is on its way to the disk is given up.
     */
    void renewOrigin() {
        origin = newOrigin.getAsLong();
        rewrite();
    }

    private void rewrite() {
        open = false;
        writing = false;
        rewrites++;
        queue = new ArrayList<>();
        pendingOwn.clear();
        received = state.held().copy();
        var payloads = new ArrayList<byte[]>();
        payloads.add(TallyLogRecords.ofOrigin(origin));
        for (var batch : state.batches(BATCH_ADDS)) {
            payloads.add(TallyLogRecords.ofBatches(List.of(batch)));
        }
        storage.rewrite(
                payloads,
                () -> {
                    open = true;
                    openedOnce = true;
                });
    }

    boolean isOpen() {
        return open;
    }

    /** Whether what the state holds is durable; false only before the first write. */
    boolean hasOpened() {
        return openedOnce;
    }

    /** Whether the same write is seen under way for too long. */
    boolean isStalled(long nowUs) {
        if (writing && observedWrite != writes) {
            observedWrite = writes;
            observedSinceUs = nowUs;
        }
        return writing && nowUs - observedSinceUs > STALL_US;
    }

    /** How many adds of an origin are held or on their way to the disk. */
    long received(long ofOrigin) {
        return received.held(ofOrigin);
    }

    /** Where an add stands, be it durable or on its way to the disk. */
    Optional<AddPosition> position(TallyAddKey key) {
        return state.position(key).or(() -> Optional.ofNullable(pendingOwn.get(key)));
    }

    /** Takes an add of which nothing is known here. */
    AddPosition submitOwn(TallyAdd add) {
        var sequence = received.held(origin) + 1;
        var position = new AddPosition(origin, sequence);
        pendingOwn.put(add.key(), position);
        submit(new QueuedBatch(new AddBatch(origin, sequence, List.of(add)), Optional.empty()));
        writeQueued();
        return position;
    }

    /** Takes adds from a peer that leave no gap behind what was received. */
    void submitReceived(AddBatch batch, String source) {
        submit(new QueuedBatch(batch.after(received.held(batch.origin())), Optional.of(source)));
        writeQueued();
    }

    private void submit(QueuedBatch queued) {
        received.raise(queued.batch().origin(), queued.batch().last());
        queue.add(queued);
    }

    private void writeQueued() {
        if (writing || !open || queue.isEmpty()) {
            return;
        }
        var batches = queue;
        queue = new ArrayList<>();
        writing = true;
        writes++;
        var payload = TallyLogRecords.ofBatches(batches.stream().map(QueuedBatch::batch).toList());
        var rewritesBefore = rewrites;
        storage.append(
                payload,
                durable -> {
                    if (rewrites == rewritesBefore) {
                        onWritten(batches, durable);
                    }
                });
    }

    private void onWritten(List<QueuedBatch> batches, boolean durable) {
        writing = false;
        if (!durable) {
            RingLog.error("tallies: the disk has refused, the adds under way are uncertain");
            renewOrigin();
            listener.onRefused();
            return;
        }
        for (var written : batches) {
            state.append(written.batch());
            written.batch().adds().forEach(add -> pendingOwn.remove(add.key()));
        }
        listener.onDurable(batches);
        writeQueued();
    }
}
