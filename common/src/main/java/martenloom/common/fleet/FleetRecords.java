package martenloom.common.fleet;

import java.util.Objects;
import martenloom.common.codec.Codec;

/**
 * Rows of the fleet's registry as they travel between daemons. Times travel as ages and remainders,
 * never as times of day; the reader turns them into its own steady clock. A row is newer by its
 * life and sequence.
 */
public final class FleetRecords {
    public static final int FLOOD = 40;
    public static final int DIGEST = 41;
    public static final int ASK = 42;
    public static final int ANSWER = 43;
    public static final int DUTY_WANT = 44;
    public static final int DUTY_GRANT = 45;
    public static final int HELLO = 46;
    public static final int HEARD = 47;

    /** A flood whose receipt is confirmed by an answer. */
    public static final int FLOOD_CONFIRMED = 48;

    public static final int RENEW = 60;
    public static final int NEWS = 61;
    public static final int CONFIGURATION = 62;
    public static final int REPLICAS = 63;
    public static final int RESYNC = 64;
    public static final int JOBS = 65;
    public static final int EDGE_ASK = 66;
    public static final int SAMPLE = 80;
    public static final int HOME_SUM = 82;
    public static final int WHOLE_SUM = 83;
    public static final int REPORT = 81;
    public static final int QUERY = 90;
    public static final int TEXT = 91;
    public static final int RANGES = 16;

    private FleetRecords() {}

    public static int range(String key) {
        return Math.floorMod(key.hashCode() * 0x9E3779B9 >>> 16, RANGES);
    }

    /** One life of a replica. */
    public static final class Replica {
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

        public void write(Codec.Out o, long now) {
            o.text(id).text(service).text(address).text(zone).i32(capacity).i64(seq);
            o.u8((draining ? 1 : 0) | (gone ? 2 : 0) | (silent ? 4 : 0));
            o.i64(Math.max(0, warmAtUs - now))
                    .i64(leavesAtUs == Long.MAX_VALUE ? -1 : Math.max(0, leavesAtUs - now))
                    .i64(now - heardUs);
        }

        public static Replica read(Codec.In in, long now) {
            var r = new Replica();
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

        public boolean newer(Replica o) {
            return gone != o.gone ? gone : seq > o.seq;
        }

        /** What matters to an edge about this life, warmth apart. */
        public int digest() {
            return Objects.hash(id, service, address, zone, draining, gone, silent);
        }
    }

    /** One edge daemon, as its last renewal told. */
    public static final class Edge {
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

        public void write(Codec.Out o, long now) {
            o.text(ip)
                    .text(name)
                    .text(zone)
                    .text(region)
                    .text(front)
                    .u8((ready ? 1 : 0) | (leaving ? 2 : 0));
            o.i64(life).i64(seq).i64(revision).i64(now - heardUs);
        }

        public static Edge read(Codec.In in, long now) {
            var e = new Edge();
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

        public boolean newer(Edge o) {
            return life == o.life ? seq > o.seq : heardUs > o.heardUs;
        }

        public int digest() {
            return Objects.hash(ip, life, ready, leaving);
        }
    }
}
