package martenloom.core.load;

import java.util.List;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.load.LoadPublication;
import martenloom.common.load.LoadSummary;
import martenloom.core.load.PrefixLocations.Audience;
import martenloom.core.load.PrefixLocations.Location;

/**
 * The stream of loads for one audience: encodes its updates and snapshots. Every receiver gets the
 * same bytes behind a head of its own. Runs on the reactor thread.
 */
final class LoadStream {
    /** An update names the loads of at most so many replicas, however many there are. */
    static final int MAX_CHANGES = 64;

    private final Audience audience;
    private final PrefixLocations prefixLocations;
    private final LoadPublication publication = new LoadPublication();

    LoadStream(Audience audience, PrefixLocations prefixLocations) {
        this.audience = audience;
        this.prefixLocations = prefixLocations;
    }

    /** The next update and the locations that go with it, as they follow the head. */
    byte[] nextUpdate(LoadSummary current, List<Location> locations) {
        var out = publication.writeUpdate(current, MAX_CHANGES, new RecordWriter());
        return PrefixLocations.write(locations, out).bytes();
    }

    /** A snapshot with all locations that are kept, as it follows the head. */
    byte[] snapshot() {
        var out = publication.writeSnapshot(new RecordWriter());
        return PrefixLocations.write(prefixLocations.kept(), out).bytes();
    }

    /** The locations that wait for this audience; they count as sent. */
    List<Location> drainLocations() {
        return prefixLocations.drain(audience);
    }

    /**
     * A record for one receiver.
     *
     * @param receivedSequence the newest sample of the receiver that the loads include, or 0
     */
    static byte[] record(long receivedSequence, byte[] body) {
        return new RecordWriter(RecordType.LOAD_UPDATE).varint(receivedSequence).raw(body).bytes();
    }
}
