package martenloom.common.fleet;

import java.util.Objects;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/**
 * One edge daemon, as its last lease renewal described it.
 *
 * <p>Not thread-safe; filled in once and then only read. Times are microseconds of the steady clock
 * of the daemon that holds the record; on the wire they are ages.
 */
public final class EdgeRecord {
    private static final int READY_FLAG = 1;
    private static final int DRAINING_FLAG = 2;

    private String ip = "";
    private String name = "";
    private String zone = "";
    private String region = "";

    /** Where clients connect, as IP:PORT. */
    private String frontendAddress = "";

    private boolean ready;

    /** The edge is shutting down gracefully. */
    private boolean draining;

    /** A random number of this run of the daemon. */
    private long incarnation;

    /** Number of the renewal; grows within one incarnation. */
    private long sequence;

    private long configurationRevision;
    private long lastRenewalUs;

    public String ip() {
        return ip;
    }

    public void setIp(String ip) {
        this.ip = ip;
    }

    public String name() {
        return name;
    }

    public void setName(String name) {
        this.name = name;
    }

    public String zone() {
        return zone;
    }

    public void setZone(String zone) {
        this.zone = zone;
    }

    public String region() {
        return region;
    }

    public void setRegion(String region) {
        this.region = region;
    }

    public String frontendAddress() {
        return frontendAddress;
    }

    public void setFrontendAddress(String frontendAddress) {
        this.frontendAddress = frontendAddress;
    }

    public boolean ready() {
        return ready;
    }

    public void setReady(boolean ready) {
        this.ready = ready;
    }

    public boolean draining() {
        return draining;
    }

    public void setDraining(boolean draining) {
        this.draining = draining;
    }

    public long incarnation() {
        return incarnation;
    }

    public void setIncarnation(long incarnation) {
        this.incarnation = incarnation;
    }

    public long sequence() {
        return sequence;
    }

    public void setSequence(long sequence) {
        this.sequence = sequence;
    }

    public long configurationRevision() {
        return configurationRevision;
    }

    public void setConfigurationRevision(long configurationRevision) {
        this.configurationRevision = configurationRevision;
    }

    public long lastRenewalUs() {
        return lastRenewalUs;
    }

    public void setLastRenewalUs(long lastRenewalUs) {
        this.lastRenewalUs = lastRenewalUs;
    }

    /**
     * Writes the record.
     *
     * @param nowUs the time to which the written age refers
     */
    public void write(RecordWriter out, long nowUs) {
        out.text(ip)
                .text(name)
                .text(zone)
                .text(region)
                .text(frontendAddress)
                .u8((ready ? READY_FLAG : 0) | (draining ? DRAINING_FLAG : 0));
        out.i64(incarnation).i64(sequence).i64(configurationRevision).i64(nowUs - lastRenewalUs);
    }

    /**
     * Reads what {@link #write} wrote.
     *
     * @param nowUs the time of this daemon's clock at which the record was written
     */
    public static EdgeRecord read(RecordReader in, long nowUs) {
        var edge = new EdgeRecord();
        edge.ip = in.text();
        edge.name = in.text();
        edge.zone = in.text();
        edge.region = in.text();
        edge.frontendAddress = in.text();
        var flags = in.u8();
        edge.ready = (flags & READY_FLAG) != 0;
        edge.draining = (flags & DRAINING_FLAG) != 0;
        edge.incarnation = in.i64();
        edge.sequence = in.i64();
        edge.configurationRevision = in.i64();
        edge.lastRenewalUs = nowUs - in.i64();
        return edge;
    }

    /** This record as a later renewal that says nothing else makes it. */
    public EdgeRecord withRenewal(long newSequence, long renewalUs) {
        var newer = new EdgeRecord();
        newer.ip = ip;
        newer.name = name;
        newer.zone = zone;
        newer.region = region;
        newer.frontendAddress = frontendAddress;
        newer.ready = ready;
        newer.draining = draining;
        newer.incarnation = incarnation;
        newer.configurationRevision = configurationRevision;
        newer.sequence = newSequence;
        newer.lastRenewalUs = renewalUs;
        return newer;
    }

    /** Whether this record replaces another of the same edge. */
    public boolean isNewerThan(EdgeRecord other) {
        return incarnation == other.incarnation
                ? sequence > other.sequence
                : lastRenewalUs > other.lastRenewalUs;
    }

    /** A hash of what matters to clients and to other daemons about the edge. */
    public int digest() {
        return Objects.hash(ip, incarnation, ready, draining);
    }
}
