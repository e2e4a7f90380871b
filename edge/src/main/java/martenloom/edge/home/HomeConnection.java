package martenloom.edge.home;

import io.activej.eventloop.Eventloop;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import martenloom.common.clock.Clocks;
import martenloom.common.clock.Staleness;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.link.OutgoingPeerLink;
import martenloom.common.link.PeerFeatures;
import martenloom.common.link.PeerLink;
import martenloom.common.link.PeerLinkHandler;
import martenloom.common.log.RingLog;
import martenloom.common.settings.IpPort;
import martenloom.common.settings.Settings;

/**
 * The choice of this edge's home, the core daemon that it is subscribed to. There is at most one
 * home at a time. A home that cannot be reached or is unresponsive is left at once; one that is
 * only stale, or farther away than another, is kept until a candidate was asked and has shown that
 * it is in contact with a majority. A daemon that was left or passed over is not tried again for a
 * while unless there is no other. Runs on the reactor thread.
 */
public final class HomeConnection {
    private static final long UNRESPONSIVE_US = 1_400_000;
    private static final long REDIAL_US = 150_000;

    /** How long a daemon may take to answer before another is tried. */
    private static final long REACH_US = 700_000;

    /** How long a new home may be stale before a better one is sought. */
    private static final long SETTLE_US = 800_000;

    /** How long a home is kept before a nearer one is asked. */
    private static final long RETURN_US = 6_000_000;

    private final Settings settings;
    private final Eventloop loop;
    private final PeerLinkHandler handler;
    private final Supplier<byte[]> renewal;
    private final Supplier<byte[]> syncRequest;
    private final HomeCandidates candidates;
    private Optional<OutgoingPeerLink> home = Optional.empty();
    private String homeIp = "";

    /** The last moment at which the home was picked or its knowledge was fresh, in microseconds. */
    private long homeFreshUs;

    private long homePickedUs;

    /** The link on which the state was last asked for. */
    private Optional<PeerLink> stateRequestedOn = Optional.empty();

    /** Whether all replicas were received since the last home that was never a candidate. */
    private boolean synced;

    /**
     * A daemon that is asked whether it would be a better home; the present one is kept until then.
     */
    private Optional<OutgoingPeerLink> candidate = Optional.empty();

    private String candidateIp = "";
    private long candidateSinceUs;

    /**
     * Creates the connection without opening it.
     *
     * @param handler receives the records of the home and of the candidate
     * @param renewal writes the record by which this edge subscribes and renews its subscription
     * @param syncRequest writes the record by which this edge tells what it has
     */
    public HomeConnection(
            Settings settings,
            Eventloop loop,
            PeerLinkHandler handler,
            Supplier<byte[]> renewal,
            Supplier<byte[]> syncRequest) {
        this.settings = settings;
        this.loop = loop;
        this.handler = handler;
        this.renewal = renewal;
        this.syncRequest = syncRequest;
        candidates = new HomeCandidates(settings);
    }

    /** Whether knowledge of this age still counts. */
    public static boolean isFresh(long staleUs) {
        return staleUs < Staleness.MAX_STALENESS_US;
    }

    /** Picks the first home. */
    public void open() {
        pickHome();
    }

    /** The address of the home, empty before the first was picked. */
    public String ip() {
        return homeIp;
    }

    /** The link to the home while it is up. */
    public Optional<PeerLink> link() {
        return home.flatMap(OutgoingPeerLink::link);
    }

    /** Whether this is the link to the home. */
    public boolean isHome(PeerLink link) {
        return link().filter(known -> known == link).isPresent();
    }

    /** Whether this is the link to the candidate. */
    public boolean isCandidate(PeerLink link) {
        return candidate.flatMap(OutgoingPeerLink::link).filter(known -> known == link).isPresent();
    }

    /** Sends a record to the home; it is lost when the link is down. */
    public void send(byte[] record) {
        home.ifPresent(dial -> dial.send(record));
    }

    /** Asks the home for what this edge lacks, or for everything where it is an older daemon. */
    public void requestState() {
        stateRequestedOn = link();
        send(
                link().filter(PeerLink::readsShortForms).isPresent()
                        ? syncRequest.get()
                        : new RecordWriter(RecordType.RESYNC_REQUEST).bytes());
    }

    /**
     * The home has answered on this link. One that reads short forms sends no state of its own
     * accord, so it is asked once on each link.
     */
    public void onAnswered(PeerLink link) {
        if (link.readsShortForms()
                && isHome(link)
                && stateRequestedOn.filter(asked -> asked == link).isEmpty()) {
            requestState();
        }
    }

    /** Whether all replicas were received since the last home that was never a candidate. */
    public boolean isSynced() {
        return synced;
    }

    /** All replicas that the home knows were received. */
    public void onSynced() {
        synced = true;
    }

    /** Renews the subscription, or leaves a home that is unresponsive or cannot be reached. */
    public void renew() {
        var now = Clocks.nowUs();
        if (candidate.isPresent() && now - candidateSinceUs > REACH_US) {
            passOverCandidate("not reached");
        }
        var link = link();
        if (link.isPresent()) {
            renewOn(link.get(), now);
        } else if (now - homeFreshUs > REACH_US) {
            leaveHome("not reached");
        }
    }

    private void renewOn(PeerLink link, long now) {
        if (now - link.lastReceivedUs() > UNRESPONSIVE_US) {
            leaveHome("unresponsive");
            return;
        }
        link.send(renewal.get());
        if (now - homePickedUs > RETURN_US) {
            seekHome(core -> candidates.isNearer(core, homeIp), now);
        }
    }

    /**
     * The candidate reported how old its knowledge is: it becomes the home when that is fresh, and
     * is passed over otherwise.
     *
     * @return whether it is the home now
     */
    public boolean judgeCandidate(long staleUs) {
        if (!isFresh(staleUs)) {
            passOverCandidate("stale by " + staleUs / 1000 + " ms");
            return false;
        }
        takeCandidate();
        return true;
    }

    /** The home reported which core daemons there are; fresh knowledge replaces what was known. */
    public void onCores(Collection<String> known, long staleUs) {
        candidates.onCores(known, isFresh(staleUs));
    }

    /** The home, or the candidate, reported which core daemons stand in this edge's region. */
    public void onRegionCores(Collection<String> known) {
        candidates.onRegionCores(known);
    }

    /** The home reported how old its knowledge is; a better one is sought when it stays stale. */
    public void onAge(long staleUs, long now) {
        if (isFresh(staleUs)) {
            homeFreshUs = now;
        } else if (now - homePickedUs > SETTLE_US) {
            seekHome(core -> true, now);
        }
    }

    private OutgoingPeerLink dial(String ip) {
        return new OutgoingPeerLink(
                loop,
                IpPort.parse("home", ip + ":" + settings.firstInternalPort()),
                REDIAL_US,
                link -> {
                    link.send(PeerFeatures.record());
                    link.send(renewal.get());
                },
                handler);
    }

    private void pickHome() {
        var now = Clocks.nowUs();
        var homes = candidates.byPreference(now);
        if (homes.isEmpty()) {
            return;
        }
        homeIp = homes.get(0);
        homeFreshUs = now;
        homePickedUs = now;
        synced = false;
        home = Optional.of(dial(homeIp));
    }

    private void leaveHome(String reason) {
        RingLog.debug("home " + homeIp + " is left: " + reason);
        candidates.avoid(homeIp, Clocks.nowUs());
        dropCandidate();
        home.ifPresent(OutgoingPeerLink::stop);
        pickHome();
    }

    /** Asks the next daemon that may be a better home, one at a time. */
    private void seekHome(Predicate<String> eligible, long now) {
        if (candidate.isPresent()) {
            return;
        }
        candidates.byPreference(now).stream()
                .filter(
                        core ->
                                !core.equals(homeIp)
                                        && !candidates.isAvoided(core, now)
                                        && eligible.test(core))
                .findFirst()
                .ifPresent(core -> askCandidate(core, now));
    }

    private void askCandidate(String core, long now) {
        candidateIp = core;
        candidateSinceUs = now;
        candidate = Optional.of(dial(core));
    }

    private void dropCandidate() {
        candidate.ifPresent(OutgoingPeerLink::stop);
        candidate = Optional.empty();
    }

    private void passOverCandidate(String reason) {
        RingLog.debug("home " + homeIp + " is kept: " + candidateIp + " is " + reason);
        candidates.avoid(candidateIp, Clocks.nowUs());
        dropCandidate();
    }

    /**
     * The candidate is in contact with a majority: it is the home from now on, and its complete
     * state is asked for.
     */
    private void takeCandidate() {
        RingLog.debug("home " + homeIp + " is left for " + candidateIp);
        candidates.avoid(homeIp, Clocks.nowUs());
        var old = home;
        home = candidate;
        homeIp = candidateIp;
        homePickedUs = Clocks.nowUs();
        homeFreshUs = homePickedUs;
        candidate = Optional.empty();
        old.ifPresent(OutgoingPeerLink::stop);
        requestState();
    }
}
