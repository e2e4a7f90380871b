package martenloom.simulation.cluster;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.core.lease.RoleLeaseService;
import martenloom.simulation.network.SimulatedConnection;

/**
 * Carries candidates' requests for a lease from their home to the head of the chain, and the grants
 * back. It repeats {@code martenloom.core.forwarding.LeaseRelay}, which cannot be used here: it is
 * built on the links to peers and edges, which are sockets. Who is granted what is decided by the
 * daemon's own {@link RoleLeaseService}.
 */
final class LeaseForwarder {
    /** Requests of candidates that do not hold the lease are forwarded no more often than this. */
    private static final long CHALLENGE_INTERVAL_US = 350_000;

    private final SimulatedMember member;
    private final RoleLeaseService leases;
    private final Map<String, LeaseGrantCallback> callbacksByCandidate = new HashMap<>();

    /** For each role: when the request of a candidate other than the holder was last forwarded. */
    private final Map<String, Long> challengedAtUs = new HashMap<>();

    LeaseForwarder(SimulatedMember member, RoleLeaseService leases) {
        this.member = member;
        this.leases = leases;
    }

    /** Takes a request; the holder's are always forwarded, others' now and then. */
    void request(LeaseRequest request, LeaseGrantCallback callback) {
        var role = request.role();
        callbacksByCandidate.put(request.candidate(), callback);
        if (!member.chain().committed().leases().isHeldBy(role, request.candidate())) {
            if (member.nowUs() - challengedAtUs.getOrDefault(role, 0L) < CHALLENGE_INTERVAL_US) {
                return;
            }
            challengedAtUs.put(role, member.nowUs());
        }
        forward(request);
    }

    private void forward(LeaseRequest request) {
        if (member.chain().isHead()) {
            leases.request(
                    request.role(),
                    request.candidate(),
                    request.requestedAtUs(),
                    record -> deliver(new RecordReader(record, true)));
            return;
        }
        var record =
                new RecordWriter(RecordType.LEASE_REQUEST)
                        .text(request.role())
                        .text(request.candidate())
                        .i64(request.requestedAtUs());
        member.connection(member.chain().head())
                .ifPresent(connection -> connection.send(record.bytes()));
    }

    /** A request that another member forwards to this one. */
    void onRequest(SimulatedConnection connection, RecordReader in) {
        leases.request(in.text(), in.text(), in.i64(), connection::answer);
    }

    /** A grant counts only when it comes from the present head and no newer one is known. */
    void onGrant(SimulatedConnection connection, RecordReader in) {
        var fromHead =
                member.connection(member.chain().head())
                        .filter(toHead -> toHead == connection)
                        .isPresent();
        if (fromHead) {
            deliver(in);
        }
    }

    private void deliver(RecordReader in) {
        var candidate = in.text();
        var role = in.text();
        var fencingToken = in.i64();
        var requestedAtUs = in.i64();
        if (!member.chain().committed().leases().isSuperseded(role, fencingToken)) {
            Optional.ofNullable(callbacksByCandidate.get(candidate))
                    .ifPresent(callback -> callback.onGranted(fencingToken, requestedAtUs));
        }
    }
}
