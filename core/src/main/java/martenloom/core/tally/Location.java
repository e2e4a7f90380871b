package martenloom.core.tally;

import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/** The failure domains in which a daemon stands. */
record Location(String zone, String region) {
    /** The location of a daemon that has not told it: taken for one of its own. */
    static Location unknown(String ip) {
        return new Location(ip, ip);
    }

    static Location read(RecordReader in) {
        return new Location(in.shortText(), in.shortText());
    }

    void write(RecordWriter out) {
        out.shortText(zone).shortText(region);
    }
}
