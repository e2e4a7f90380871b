package martenloom.core.tally;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import martenloom.common.codec.RecordReader;
import martenloom.common.log.RingLog;

/**
 * The tallies at one core daemon: totals of adds, of which each counts once wherever it is made and
 * however often. Needs no majority. An add is synced here, pushed to all peers, and acknowledged
 * when as many hold it durably as the {@link CopyRequirement} asks; what was missed is fetched from
 * peers in rounds. Runs on the reactor thread.
 */
public final class TallyReplica {
    /** The time between two rounds of probes. */
    public static final long ROUND_US = 200_000;

    /** Callers turn to another daemon after a second of silence. */
    private static final long ACKNOWLEDGEMENT_TIMEOUT_US = 880_000;

    /** The callers that may wait for their acknowledgements. */
    private static final int MAX_WAITING = 2_000;

    /** The adds of one message. */
    private static final int BATCH_ADDS = 1_000;

    /** After so many rounds totals are told even if a peer in contact did not give its adds. */
    private static final int MAX_CATCH_UP_ROUNDS = 15;

    /** Adds of peers are taken up to so many times the bound on own adds. */
    private static final int MERGE_FACTOR = 2;

    private final Location location;
    private final CopyRequirement requirement;
    private final long maxBytes;
    private final TallyTransport transport;
    private final TallyState state = new TallyState();
    private final TallyLog log;
    private final AddWaiters waiters = new AddWaiters();
    private final PeerContacts contacts = new PeerContacts();
    private final AntiEntropy antiEntropy = new AntiEntropy();

    /** The number of the newest round, and what was held when it began. */
    private long round;

    private VersionVector heldAtRound = new VersionVector();
    private int roundsSinceOpen;
    private boolean caughtUp;
    private long nowUs;

    /**
     * @param maxBytes what adds may take of the heap before further ones are refused
     * @param newOrigin draws numbers that no other daemon draws
     */
    TallyReplica(
            Location location,
            CopyRequirement requirement,
            long maxBytes,
            TallyStorage storage,
            TallyTransport transport,
            LongSupplier newOrigin) {
        this.location = location;
        this.requirement = requirement;
        this.maxBytes = maxBytes;
        this.transport = transport;
        log = new TallyLog(state, storage, newOrigin, new Written());
    }

    /** Begins with what was found on disk. */
    void open(List<byte[]> payloads) {
        log.open(payloads);
    }

    // ---- calls

    /** Adds to a tally; the caller is told once what became of it. */
    public void add(String name, String id, long change, Consumer<AddOutcome> caller) {
        var add = new TallyAdd(name, id, change);
        var known = log.position(add.key());
        if (!log.isOpen()
                || waiters.size() >= MAX_WAITING
                || known.isEmpty() && (log.isStalled(nowUs) || state.bytes() > maxBytes)) {
            caller.accept(AddOutcome.NOT_TAKEN);
            return;
        }
        var position = known.orElseGet(() -> log.submitOwn(add));
        waiters.await(position, nowUs + ACKNOWLEDGEMENT_TIMEOUT_US, caller);
        acknowledge();
    }

    /** The total of a tally; empty while this daemon has yet to learn what its peers hold. */
    public OptionalLong total(String name) {
        return caughtUp ? OptionalLong.of(state.total(name)) : OptionalLong.empty();
    }

    /** Whether a caller waits. */
    public boolean hasCallers() {
        return waiters.size() > 0;
    }

    private void acknowledge() {
        waiters.acknowledge(this::isSafe);
    }

    private boolean isSafe(AddPosition position) {
        return state.held().covers(position)
                && requirement.isMet(
                        withOwn(contacts.holders(position)), withOwn(contacts.reachable(position)));
    }

    private Collection<Location> withOwn(Collection<Location> peers) {
        var locations = new ArrayList<>(peers);
        locations.add(location);
        return locations;
    }

    // ---- time

    /** Lets callers that have waited for too long go. */
    public void tick(long now) {
        nowUs = now;
        waiters.expire(now);
    }

    /** Begins a round: probes all peers, and notices those that are out of contact. */
    public void onRound(long now) {
        nowUs = now;
        heldAtRound = state.held().copy();
        round = contacts.beginRound(transport.peers());
        antiEntropy.beginRound();
        sendAll(new TallyMessage.Probe(round, heldAtRound.digest()));
        if (log.hasOpened()) {
            roundsSinceOpen++;
            observeCatchingUp();
        }
        acknowledge();
    }

    private void observeCatchingUp() {
        if (!caughtUp
                && (contacts.isCoveredBy(state.held()) || roundsSinceOpen > MAX_CATCH_UP_ROUNDS)) {
            caughtUp = true;
            RingLog.debug("tallies: caught up after " + roundsSinceOpen + " rounds");
        }
    }

    // ---- messages

    /** Takes a record from a peer. */
    public void onRecord(String ip, RecordReader in) {
        var message = TallyMessage.read(in);
        if (!log.hasOpened()) {
            return;
        }
        if (message instanceof TallyMessage.Probe probe) {
            onProbe(ip, probe);
        } else if (message instanceof TallyMessage.ProbeResponse response) {
            onResponse(ip, response);
        } else if (message instanceof TallyMessage.Adds adds) {
            onAdds(ip, adds.batch());
        } else if (message instanceof TallyMessage.Held held) {
            contacts.onHeld(ip, held.origin(), held.count());
            acknowledge();
        } else if (message instanceof TallyMessage.Fetch fetch) {
            onFetch(ip, fetch);
        }
    }

    private void onProbe(String ip, TallyMessage.Probe probe) {
        var held = state.held();
        var differs = held.digest() != probe.heldDigest();
        send(
                ip,
                new TallyMessage.ProbeResponse(
                        probe.number(), location, differs ? Optional.of(held) : Optional.empty()));
    }

    private void onResponse(String ip, TallyMessage.ProbeResponse response) {
        if (response.held().isEmpty() && response.number() != round) {
            return;
        }
        var held = response.held().orElseGet(heldAtRound::copy);
        if (log.isOpen() && held.held(log.origin()) > log.received(log.origin())) {
            RingLog.error("tallies: " + ip + " holds more of our adds than our disk");
            waiters.giveUp();
            log.renewOrigin();
        }
        contacts.onResponse(ip, response.number(), response.location(), held);
        held.forEach((origin, count) -> fetchIfMissing(ip, origin, count));
        observeCatchingUp();
        acknowledge();
    }

    private void fetchIfMissing(String ip, long origin, long count) {
        antiEntropy.onReport(origin, count);
        if (mayMerge() && antiEntropy.beginFetch(ip, origin, log.received(origin), count)) {
            send(ip, new TallyMessage.Fetch(origin, log.received(origin)));
        }
    }

    private boolean mayMerge() {
        return log.isOpen() && state.bytes() <= maxBytes * MERGE_FACTOR;
    }

    private void onFetch(String ip, TallyMessage.Fetch fetch) {
        var batch = state.batchAfter(fetch.origin(), fetch.after(), BATCH_ADDS);
        if (!batch.adds().isEmpty()) {
            send(ip, new TallyMessage.Adds(batch));
        }
    }

    private void onAdds(String ip, AddBatch batch) {
        var origin = batch.origin();
        contacts.onHeld(ip, origin, batch.last());
        if (!mayMerge()) {
            return;
        }
        antiEntropy.onReport(origin, batch.last());
        if (batch.last() <= state.held().held(origin)) {
            onDurable(ip, batch);
        } else if (batch.first() <= log.received(origin) + 1) {
            log.submitReceived(batch, ip);
        } else if (antiEntropy.beginFetchOfGap(ip, origin)) {
            send(ip, new TallyMessage.Fetch(origin, log.received(origin)));
        }
    }

    /** Adds that a peer has sent are durable. */
    private void onDurable(String ip, AddBatch batch) {
        var origin = batch.origin();
        send(ip, new TallyMessage.Held(origin, state.held().held(origin)));
        if (antiEntropy.continueFetch(ip, origin, log.received(origin))) {
            send(ip, new TallyMessage.Fetch(origin, log.received(origin)));
        }
    }

    /** What the log says of its writes. */
    private final class Written implements TallyLog.Listener {
        @Override
        public void onDurable(List<TallyLog.QueuedBatch> written) {
            for (var queued : written) {
                queued.source()
                        .ifPresentOrElse(
                                ip -> TallyReplica.this.onDurable(ip, queued.batch()),
                                () -> sendAll(new TallyMessage.Adds(queued.batch())));
            }
            observeCatchingUp();
            acknowledge();
        }

        @Override
        public void onRefused() {
            waiters.giveUp();
        }
    }

    private void send(String ip, TallyMessage message) {
        transport.send(ip, message.encode());
    }

    private void sendAll(TallyMessage message) {
        var record = message.encode();
        transport.peers().forEach(ip -> transport.send(ip, record));
    }

    // ---- shell

    /** What an operator may want to see, in whole lines. */
    public String report() {
        return String.format(
                        "%s adds %s bytes %d waiting %d caught-up %s\n",
                        log.isOpen() ? "open" : "closed",
                        state.held(),
                        state.bytes(),
                        waiters.size(),
                        caughtUp)
                + contacts.report().stream().map(line -> line + "\n").reduce("", String::concat);
    }
}
