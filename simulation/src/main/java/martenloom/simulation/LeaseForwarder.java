package martenloom.simulation;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.core.lease.RoleLeaseService;

/**
 * The way of a candidate's wish for a lease from its home to the head of the chain, and of the
 * grant back, as the core daemon does it.
 */
final class LeaseForwarder {
    private static final long OTHERS_EVERY_US = 350_000;

    /** Takes a grant that reached the home of a candidate. */
    @FunctionalInterface
    interface Grantee {
        void granted(long grant, long stampUs);
    }

    private final Process process;
    private final RoleLeaseService duties;
    private final Map<String, Grantee> grantees = new HashMap<>();
    private final Map<String, Long> passedOnUs = new HashMap<>();

    LeaseForwarder(Process process, RoleLeaseService duties) {
        this.process = process;
        this.duties = duties;
    }

    /**
     * A candidate wants a lease; its holder's wishes are always passed on, others' now and then.
     */
    void want(String key, String holder, long stampUs, Grantee grantee) {
        grantees.put(holder, grantee);
        if (!process.chain().committed().leases().isHeldBy(key, holder)) {
            if (process.nowUs() - passedOnUs.getOrDefault(key, 0L) < OTHERS_EVERY_US) {
                return;
            }
            passedOnUs.put(key, process.nowUs());
        }
        if (process.chain().isHead()) {
            duties.request(key, holder, stampUs, record -> grant(new RecordReader(record, true)));
            return;
        }
        var record = new RecordWriter(RecordType.LEASE_REQUEST).text(key).text(holder).i64(stampUs);
        process.connection(process.chain().head()).ifPresent(c -> c.send(record.bytes()));
    }

    void onWant(SimulatedNetwork.Connection by, RecordReader in) {
        duties.request(in.text(), in.text(), in.i64(), by::answer);
    }

    /** A grant counts only when it comes from the head and no newer one is known. */
    void onGrant(SimulatedNetwork.Connection by, RecordReader in) {
        var ofHead = process.connection(process.chain().head()).filter(c -> c == by).isPresent();
        if (ofHead) {
            grant(in);
        }
    }

    private void grant(RecordReader in) {
        var holder = in.text();
        var key = in.text();
        var grant = in.i64();
        var stampUs = in.i64();
        if (!process.chain().committed().leases().isSuperseded(key, grant)) {
            Optional.ofNullable(grantees.get(holder)).ifPresent(g -> g.granted(grant, stampUs));
        }
    }
}
