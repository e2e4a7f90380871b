package martenloom.common.fleet;

import java.util.Objects;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/** One edge daemon, as its last renewal told. */
public final class EdgeRecord {
    public String ip = "";
    public String name = "";
    public String zone = "";
    public String region = "";
    public String front = "";
    public boolean ready;
    public boolean leaving;
    public long life;
    public long seq;
    public long revision;
    public long heardUs;

    public void write(RecordWriter o, long now) {
        o.text(ip)
                .text(name)
                .text(zone)
                .text(region)
                .text(front)
                .u8((ready ? 1 : 0) | (leaving ? 2 : 0));
        o.i64(life).i64(seq).i64(revision).i64(now - heardUs);
    }

    public static EdgeRecord read(RecordReader in, long now) {
        var e = new EdgeRecord();
        e.ip = in.text();
        e.name = in.text();
        e.zone = in.text();
        e.region = in.text();
        e.front = in.text();
        var f = in.u8();
        e.ready = (f & 1) != 0;
        e.leaving = (f & 2) != 0;
        e.life = in.i64();
        e.seq = in.i64();
        e.revision = in.i64();
        e.heardUs = now - in.i64();
        return e;
    }

    public boolean newer(EdgeRecord o) {
        return life == o.life ? seq > o.seq : heardUs > o.heardUs;
    }

    public int digest() {
        return Objects.hash(ip, life, ready, leaving);
    }
}
