package martenloom.core.lease;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.core.chain.ChainMember;
import martenloom.core.forwarding.CommandSubmitter;
import martenloom.core.state.Command.GrantLease;
import martenloom.core.state.ResultCode;
import martenloom.core.state.StampedCommand;

/**
 * Grants the leases on roles that one edge at a time may have, while this member heads the chain. A
 * grant is a command to the replicated state, which gives it a fencing token. A renewal is granted
 * once a heartbeat that was sent after the request has proven that this member still is the head.
 *
 * <p>Invariant: another candidate is granted the role only when the holder was not renewed for
 * longer than any lease of it can run. Runs on the reactor thread.
 */
public final class RoleLeaseService {
    /** How long a lease runs at its holder, counted from when it asked. */
    public static final long LEASE_US = 2_500_000;

    /** How long after the last renewal another candidate may get the role. */
    private static final long TAKEOVER_US = 3_200_000;

    /**
     * The newest request for a role.
     *
     * @param sentAtUs the time of the request by the candidate's clock, which it gets back
     * @param reply takes the record that grants the lease
     * @param receivedUs the time of the request by our clock
     */
    private record LeaseRequest(
            String role,
            String candidate,
            long sentAtUs,
            Consumer<byte[]> reply,
            long receivedUs) {}

    private final ChainMember chain;
    private final CommandSubmitter commands;
    private final LongSupplier clockUs;
    private final Map<String, LeaseRequest> requests = new TreeMap<>();

    /** When each role was last granted or renewed by this head. */
    private final Map<String, Long> renewedUs = new HashMap<>();

    /** The roles whose next holder is being written to the replicated state. */
    private final Set<String> beingWritten = new HashSet<>();

    /**
     * @param commands submits a command to the chain of this daemon
     */
    public RoleLeaseService(ChainMember chain, CommandSubmitter commands, LongSupplier clockUs) {
        this.chain = chain;
        this.commands = commands;
        this.clockUs = clockUs;
    }

    /**
     * A candidate asks for a lease, or the holder for a renewal. It is answered at one of the next
     * ticks or not at all; the request of a holder is not displaced by that of another candidate.
     *
     * @param sentAtUs the time of the request by the candidate's clock
     * @param reply takes the record that grants the lease
     */
    public void request(String role, String candidate, long sentAtUs, Consumer<byte[]> reply) {
        var waiting = Optional.ofNullable(requests.get(role)).map(LeaseRequest::candidate);
        if (waiting.filter(holder -> isHolder(role, holder) && !holder.equals(candidate))
                .isEmpty()) {
            requests.put(
                    role, new LeaseRequest(role, candidate, sentAtUs, reply, clockUs.getAsLong()));
        }
    }

    private boolean isHolder(String role, String candidate) {
        return chain.committed().leases().isHeldBy(role, candidate);
    }

    /** Decides the requests that can be decided now. */
    public void tick(long nowUs) {
        if (!chain.isHead()) {
            requests.clear();
            renewedUs.clear();
            return;
        }
        for (var request : List.copyOf(requests.values())) {
            // The outcome of a write decides who is renewed: until then the committed holder may
            // have lost the role.
            if (!beingWritten.contains(request.role)) {
                decide(request, nowUs);
            }
        }
    }

    private void decide(LeaseRequest request, long nowUs) {
        var lease = chain.committed().leases().find(request.role);
        if (lease.isPresent() && lease.get().holder().equals(request.candidate)) {
            if (chain.majorityProvenUs() > request.receivedUs) {
                renewedUs.put(request.role, nowUs);
                requests.remove(request.role);
                sendGrant(request, lease.get().fencingToken());
            }
        } else if (lease.isEmpty() || nowUs - lastRenewalUs(request.role) > TAKEOVER_US) {
            requests.remove(request.role);
            writeGrant(request, chain.committed().leases().newestToken(request.role));
        } else if (nowUs - request.receivedUs > LEASE_US) {
            requests.remove(request.role);
        }
    }

    /** A former head may have renewed the lease until this member took over. */
    private long lastRenewalUs(String role) {
        return Math.max(renewedUs.getOrDefault(role, 0L), chain.headSinceUs());
    }

    private void writeGrant(LeaseRequest request, long newestToken) {
        if (beingWritten.add(request.role)) {
            commands.submit(
                    StampedCommand.of(new GrantLease(request.role, newestToken, request.candidate)),
                    (code, text) -> {
                        beingWritten.remove(request.role);
                        if (code == ResultCode.OK) {
                            renewedUs.put(request.role, clockUs.getAsLong());
                            sendGrant(request, Long.parseLong(text));
                        }
                    });
        }
    }

    private static void sendGrant(LeaseRequest request, long fencingToken) {
        request.reply.accept(
                new RecordWriter(RecordType.LEASE_GRANT)
                        .text(request.candidate)
                        .text(request.role)
                        .i64(fencingToken)
                        .i64(request.sentAtUs)
                        .i64(LEASE_US)
                        .bytes());
    }
}
