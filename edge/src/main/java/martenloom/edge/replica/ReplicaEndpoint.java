package martenloom.edge.replica;

import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.settings.IpPort;
import martenloom.edge.transport.ReplicaConnection;

/**
 * What this edge knows of one incarnation of a replica: its registration, and in parts of their own
 * its load, speed, reachability, health, warm-up, prefix cache and connections. Runs on the reactor
 * thread.
 */
public final class ReplicaEndpoint implements ReplicaConnection.Owner {
    /**
     * What the endpoints of one table share.
     *
     * @param peerTotalsAge when the totals of the other edges last came
     * @param onAttempt is told of the endpoint whenever an attempt begins
     */
    record Surroundings(PeerTotalsAge peerTotalsAge, Consumer<ReplicaEndpoint> onAttempt) {}

    private ReplicaRecord registration;
    private final String region;
    private final InetSocketAddress address;
    private final double tieBreakCostUs;
    private final Surroundings surroundings;
    private final ReplicaLoad load;
    private final LatencyEstimate latency;
    private final Reachability reachability;
    private final ReplicaHealth health = new ReplicaHealth();
    private final WarmupState warmup = new WarmupState();
    private final PrefixCache prefixCache = new PrefixCache();
    private final ConnectionPool connections = new ConnectionPool();
    private final Set<InFlightAttempt> attempts = new LinkedHashSet<>();
    private boolean unloaded;

    ReplicaEndpoint(
            ReplicaRecord registration,
            String region,
            double tieBreakCostUs,
            LatencyEstimate latency,
            Surroundings surroundings,
            long now) {
        this.registration = registration;
        this.region = region;
        this.tieBreakCostUs = tieBreakCostUs;
        this.latency = latency;
        this.surroundings = surroundings;
        load = new ReplicaLoad(surroundings.peerTotalsAge);
        address = IpPort.parse("Address", registration.address());
        reachability = new Reachability(surroundings.peerTotalsAge, now);
    }

    /** The last record of the registry. */
    public ReplicaRecord registration() {
        return registration;
    }

    /** Takes a newer record; a replica that was deregistered stays so. */
    void register(ReplicaRecord newer) {
        var wasDeregistered = registration.ended();
        registration = newer;
        registration.setEnded(registration.ended() || wasDeregistered);
    }

    void deregister() {
        registration.setEnded(true);
    }

    /** The id of this incarnation. */
    public String id() {
        return registration.id();
    }

    /** The service that it serves. */
    public String service() {
        return registration.service();
    }

    /** Its zone. */
    public String zone() {
        return registration.zone();
    }

    /** The region of its zone. */
    public String region() {
        return region;
    }

    /** The address at which it takes requests. */
    public InetSocketAddress address() {
        return address;
    }

    /** How many requests it serves at a time. */
    public int capacity() {
        return registration.capacity();
    }

    /** Whether it takes no new requests and finishes what it has. */
    public boolean isDraining() {
        return registration.draining();
    }

    /** Whether it was deregistered. */
    public boolean isDeregistered() {
        return registration.ended();
    }

    /** Whether the registry no longer gets its heartbeats. */
    public boolean isUnresponsive() {
        return registration.unreachable();
    }

    /** Whether it is neither draining nor unresponsive by the registry. */
    public boolean isAvailable() {
        return !registration.draining() && !registration.unreachable();
    }

    /** Whether it has warmed up. */
    public boolean isWarm(long now) {
        return warmup.isWarm(registration.warmFromUs(), now);
    }

    /** Whether the scaler has unloaded it: it gets no new prompts and finishes what it has. */
    public boolean isUnloaded() {
        return unloaded;
    }

    /** Sets whether the scaler has unloaded it. */
    public void setUnloaded(boolean unloaded) {
        this.unloaded = unloaded;
    }

    /**
     * A small cost of this edge's own, in microseconds, so that edges prefer different replicas,
     * and the same ones as before, while all have room.
     */
    public double tieBreakCostUs() {
        return tieBreakCostUs;
    }

    public ReplicaLoad load() {
        return load;
    }

    public LatencyEstimate latency() {
        return latency;
    }

    public Reachability reachability() {
        return reachability;
    }

    public ReplicaHealth health() {
        return health;
    }

    public WarmupState warmup() {
        return warmup;
    }

    public PrefixCache prefixCache() {
        return prefixCache;
    }

    public ConnectionPool connections() {
        return connections;
    }

    /** How many attempts of this edge are in flight. */
    public int attemptCount() {
        return attempts.size();
    }

    /** A copy of the attempts of this edge in flight, in the order in which they began. */
    public List<InFlightAttempt> attempts() {
        return List.copyOf(attempts);
    }

    /** Whether the prompt of some attempt in flight was prefilled. */
    public boolean hasPrefilledAttempt() {
        for (var attempt : attempts) {
            if (attempt.prefilled()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Since when bytes of the replica are awaited, in microseconds; the given moment when none are,
     * for nothing was sent or no response is read at present.
     */
    public long awaitedSinceUs(long ifNoneUs) {
        var first = Long.MAX_VALUE;
        for (var attempt : attempts) {
            if (attempt.sentUs() > 0 && !attempt.readingPaused()) {
                first = Math.min(first, attempt.awaitedSinceUs());
            }
        }
        return first == Long.MAX_VALUE ? ifNoneUs : first;
    }

    /** An attempt begins that makes the replica prefill so many tokens. */
    public void addAttempt(InFlightAttempt attempt, int prefillTokens) {
        load.onAttempt(prefillTokens);
        attempts.add(attempt);
        surroundings.onAttempt.accept(this);
    }

    /** An attempt has ended. */
    public void removeAttempt(InFlightAttempt attempt) {
        load.onAttemptEnd();
        attempts.remove(attempt);
        if (attempts.isEmpty()) {
            reachability.onIdle();
        }
    }

    /**
     * The attempts that wait for their connection: they will count against the limit of a replica
     * that warms up too.
     */
    public int connectingAttempts() {
        var connecting = 0;
        for (var attempt : attempts) {
            connecting += attempt.connecting() ? 1 : 0;
        }
        return connecting;
    }

    /** A request was sent. */
    public void onSent(long now) {
        warmup.onSent(now);
        reachability.onSent(now);
    }

    @Override
    public void onBytesReceived(long nowUs) {
        reachability.onHeard(nowUs);
    }

    @Override
    public boolean keepsIdleConnections() {
        return !registration.ended() && !registration.draining();
    }

    @Override
    public void onIdle(ReplicaConnection connection) {
        connections.addIdle(connection);
    }

    @Override
    public void onReuseFailed(long idleUs) {
        connections.onIdleReset(idleUs);
    }

    @Override
    public void onClosed(ReplicaConnection connection) {
        connections.onClosed();
        connections.removeIdle(connection);
    }

    /** Takes what the other edges have in flight here, from everywhere. */
    public void onPeerLoad(int inFlight, int pendingPrefillTokens) {
        load.onPeerTotals(inFlight, pendingPrefillTokens);
    }

    /** Takes how many other edges of our zone suspect the replica, and how many hear it. */
    public void onPeerSuspicions(int suspicions, int hearing) {
        reachability.onPeerTotals(suspicions, hearing);
    }
}
