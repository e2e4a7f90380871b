package martenloom.common.link;

import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;

/**
 * What a daemon reads beyond the records of the first version. It says so when a link opens, and
 * whoever has not said it gets the records of the first version.
 */
public final class PeerFeatures {
    private static final int SHORT_FORMS = 1;

    private PeerFeatures() {}

    /** The record by which this version says what it reads. */
    public static byte[] record() {
        return new RecordWriter(RecordType.PEER_FEATURES).varint(SHORT_FORMS).bytes();
    }

    /** Takes the record of the peer of a link. */
    public static void onRecord(PeerLink link, RecordReader in) {
        link.setReadsShortForms((in.varint() & SHORT_FORMS) != 0);
    }
}
