package martenloom.core.tally;

import io.activej.eventloop.Eventloop;
import java.security.SecureRandom;
import java.util.List;
import java.util.function.Consumer;
import martenloom.common.clock.Clocks;
import martenloom.common.settings.Settings;
import martenloom.core.storage.SegmentedLog;
import martenloom.core.storage.StorageFolder;

/**
 * Puts the {@link TallyReplica} of a core daemon on its reactor, its disk and its links. Runs on
 * the reactor thread, but for {@link #flush}.
 */
public final class TallyService {
    private static final String FILE_PREFIX = "tallies";

    /** The part of the heap that adds may take before further ones are refused. */
    private static final int HEAP_DIVISOR = 8;

    private final Eventloop loop;
    private final SegmentedLog disk;
    private final TallyReplica replica;

    /** Does nothing until {@link #start}. */
    public TallyService(
            Eventloop loop, Settings settings, StorageFolder folder, TallyTransport transport) {
        this.loop = loop;
        disk = new SegmentedLog(folder, FILE_PREFIX);
        replica =
                new TallyReplica(
                        new Location(settings.zone(), settings.region()),
                        CopyRequirement.of(settings),
                        Runtime.getRuntime().maxMemory() / HEAP_DIVISOR,
                        new ReactorStorage(),
                        transport,
                        new SecureRandom()::nextLong);
    }

    /** What calls and records are passed to. */
    public TallyReplica replica() {
        return replica;
    }

    /** Reads the disk and begins the rounds. */
    public void start() {
        replica.open(disk.load());
        replica.onRound(Clocks.nowUs());
        Clocks.every(loop, TallyReplica.ROUND_US, () -> replica.onRound(Clocks.nowUs()));
    }

    /** Waits until all writes so far are done, or until the timeout. */
    public void flush(long timeoutMs) {
        disk.flush(timeoutMs);
    }

    /** Writes on the thread of the log and reports on the reactor. */
    private final class ReactorStorage implements TallyStorage {
        @Override
        public void rewrite(List<byte[]> payloads, Runnable done) {
            disk.rewriteAsync(payloads, () -> loop.execute(done));
        }

        @Override
        public void append(byte[] payload, Consumer<Boolean> done) {
            disk.appendAsync(payload, durable -> loop.execute(() -> done.accept(durable)));
        }
    }
}
