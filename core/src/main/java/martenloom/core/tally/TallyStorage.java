package martenloom.core.tally;

import java.util.List;
import java.util.function.Consumer;

/** The disk under a {@link TallyLog}. Says on the reactor thread what was written. */
interface TallyStorage {
    /** Replaces all that is stored; tried again for as long as the disk refuses. */
    void rewrite(List<byte[]> payloads, Runnable done);

    /**
     * Adds a payload.
     *
     * @param done gets whether it is durable; if not, a rewriting has to follow
     */
    void append(byte[] payload, Consumer<Boolean> done);
}
