package martenloom.common.fleet;

import java.util.Objects;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/**
 * One incarnation of a replica, as a core daemon registers it and edges learn of it.
 *
 * <p>Not thread-safe: the registry changes a record only under the lock of its shard, an edge only
 * on its reactor thread. Times are microseconds of the steady clock of the daemon that holds the
 * record; on the wire they are ages and remaining times, so that daemons need no common clock.
 */
public final class ReplicaRecord {
    /** The drain deadline of a replica that has announced none. */
    public static final long NO_DEADLINE = Long.MAX_VALUE;

    private static final int DRAINING_FLAG = 1;
    private static final int ENDED_FLAG = 2;
    private static final int UNREACHABLE_FLAG = 4;
    private static final long NO_DEADLINE_ON_WIRE = -1;

    private String id = "";
    private String service = "";

    /** Where it serves, as IP:PORT. */
    private String address = "";

    private String zone = "";

    /** Requests that it serves at the same time. */
    private int capacity = 1;

    /** Number of the heartbeat that this record was made from; grows within one incarnation. */
    private long sequence;

    private boolean draining;

    /** It has ended for good: this record is its tombstone. */
    private boolean ended;

    /** Its heartbeats have timed out. */
    private boolean unreachable;

    private long warmFromUs;
    private long drainDeadlineUs = NO_DEADLINE;
    private long lastHeartbeatUs;

    public String id() {
        return id;
    }

    public void setId(String id) {
        this.id = id;
    }

    public String service() {
        return service;
    }

    public void setService(String service) {
        this.service = service;
    }

    public String address() {
        return address;
    }

    public void setAddress(String address) {
        this.address = address;
    }

    public String zone() {
        return zone;
    }

    public void setZone(String zone) {
        this.zone = zone;
    }

    public int capacity() {
        return capacity;
    }

    public void setCapacity(int capacity) {
        this.capacity = capacity;
    }

    public long sequence() {
        return sequence;
    }

    public void setSequence(long sequence) {
        this.sequence = sequence;
    }

    public boolean draining() {
        return draining;
    }

    public void setDraining(boolean draining) {
        this.draining = draining;
    }

    public boolean ended() {
        return ended;
    }

    public void setEnded(boolean ended) {
        this.ended = ended;
    }

    public boolean unreachable() {
        return unreachable;
    }

    public void setUnreachable(boolean unreachable) {
        this.unreachable = unreachable;
    }

    public long warmFromUs() {
        return warmFromUs;
    }

    public void setWarmFromUs(long warmFromUs) {
        this.warmFromUs = warmFromUs;
    }

    public long drainDeadlineUs() {
        return drainDeadlineUs;
    }

    public void setDrainDeadlineUs(long drainDeadlineUs) {
        this.drainDeadlineUs = drainDeadlineUs;
    }

    public long lastHeartbeatUs() {
        return lastHeartbeatUs;
    }

    public void setLastHeartbeatUs(long lastHeartbeatUs) {
        this.lastHeartbeatUs = lastHeartbeatUs;
    }

    /**
     * Writes the record.
     *
     * @param nowUs the time to which the written ages and remaining times refer
     */
    public void write(RecordWriter out, long nowUs) {
        out.text(id).text(service).text(address).text(zone).i32(capacity).i64(sequence);
        out.u8(
                (draining ? DRAINING_FLAG : 0)
                        | (ended ? ENDED_FLAG : 0)
                        | (unreachable ? UNREACHABLE_FLAG : 0));
        out.i64(Math.max(0, warmFromUs - nowUs))
                .i64(
                        drainDeadlineUs == NO_DEADLINE
                                ? NO_DEADLINE_ON_WIRE
                                : Math.max(0, drainDeadlineUs - nowUs))
                .i64(nowUs - lastHeartbeatUs);
    }

    /**
     * Reads what {@link #write} wrote.
     *
     * @param nowUs the time of this daemon's clock at which the record was written
     */
    public static ReplicaRecord read(RecordReader in, long nowUs) {
        var replica = new ReplicaRecord();
        replica.id = in.text();
        replica.service = in.text();
        replica.address = in.text();
        replica.zone = in.text();
        replica.capacity = in.i32();
        replica.sequence = in.i64();
        var flags = in.u8();
        replica.draining = (flags & DRAINING_FLAG) != 0;
        replica.ended = (flags & ENDED_FLAG) != 0;
        replica.unreachable = (flags & UNREACHABLE_FLAG) != 0;
        replica.warmFromUs = nowUs + in.i64();
        var untilDeadlineUs = in.i64();
        replica.drainDeadlineUs = untilDeadlineUs < 0 ? NO_DEADLINE : nowUs + untilDeadlineUs;
        replica.lastHeartbeatUs = nowUs - in.i64();
        return replica;
    }

    /** This record as a later heartbeat that says nothing else makes it. */
    public ReplicaRecord withHeartbeat(long newSequence, long heartbeatUs) {
        var newer = new ReplicaRecord();
        newer.id = id;
        newer.service = service;
        newer.address = address;
        newer.zone = zone;
        newer.capacity = capacity;
        newer.draining = draining;
        newer.ended = ended;
        newer.warmFromUs = warmFromUs;
        newer.drainDeadlineUs = drainDeadlineUs;
        newer.sequence = newSequence;
        newer.lastHeartbeatUs = heartbeatUs;
        return newer;
    }

    /** Whether this record replaces another of the same replica; the end of a replica is final. */
    public boolean isNewerThan(ReplicaRecord other) {
        return ended != other.ended ? ended : sequence > other.sequence;
    }

    /** A hash of everything in the record that matters to an edge, apart from its warm-up. */
    public int digest() {
        return Objects.hash(id, service, address, zone, draining, ended, unreachable);
    }
}
