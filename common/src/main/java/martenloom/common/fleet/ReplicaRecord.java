package martenloom.common.fleet;

import java.util.Objects;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/** One life of a replica. */
public final class ReplicaRecord {
    public String id = "";
    public String service = "";
    public String address = "";
    public String zone = "";
    public int capacity = 1;
    public long seq;
    public boolean draining;
    public boolean gone;
    public boolean silent;
    public long warmAtUs;
    public long leavesAtUs = Long.MAX_VALUE;
    public long heardUs;

    public void write(RecordWriter o, long now) {
        o.text(id).text(service).text(address).text(zone).i32(capacity).i64(seq);
        o.u8((draining ? 1 : 0) | (gone ? 2 : 0) | (silent ? 4 : 0));
        o.i64(Math.max(0, warmAtUs - now))
                .i64(leavesAtUs == Long.MAX_VALUE ? -1 : Math.max(0, leavesAtUs - now))
                .i64(now - heardUs);
    }

    public static ReplicaRecord read(RecordReader in, long now) {
        var r = new ReplicaRecord();
        r.id = in.text();
        r.service = in.text();
        r.address = in.text();
        r.zone = in.text();
        r.capacity = in.i32();
        r.seq = in.i64();
        var f = in.u8();
        r.draining = (f & 1) != 0;
        r.gone = (f & 2) != 0;
        r.silent = (f & 4) != 0;
        r.warmAtUs = now + in.i64();
        var l = in.i64();
        r.leavesAtUs = l < 0 ? Long.MAX_VALUE : now + l;
        r.heardUs = now - in.i64();
        return r;
    }

    public boolean newer(ReplicaRecord o) {
        return gone != o.gone ? gone : seq > o.seq;
    }

    /** What matters to an edge about this life, warmth apart. */
    public int digest() {
        return Objects.hash(id, service, address, zone, draining, gone, silent);
    }
}
