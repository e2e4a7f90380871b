package martenloom.edge;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.link.OutgoingPeerLink;
import martenloom.common.link.PeerLink;
import martenloom.common.link.PeerLinkHandler;
import martenloom.common.log.RingLog;
import martenloom.common.settings.IpPort;
import martenloom.common.settings.Settings;

/**
 * The choice of this edge's home, the core daemon that it is subscribed to. There is at most one
 * home at a time. A home that cannot be reached or falls silent is left at once; one that is only
 * stale, or outside the own zone, is kept until a candidate was asked and has shown that it is in
 * contact with a majority. A daemon that was left or passed over is not tried again for a while
 * unless there is no other. All methods run on the thread of the reactor.
 */
final class HomeConnection {
    /** The age from which a daemon's knowledge of the core counts as stale. */
    private static final long STALE_US = 1_500_000;

    private static final long SILENCE_US = 1_400_000;
    private static final long REDIAL_US = 150_000;

    /** How long a daemon may take to answer before another is tried. */
    private static final long REACH_US = 700_000;

    /** How long a daemon that was no good as a home is passed over. */
    private static final long AVOID_US = 3_000_000;

    /** How long a new home may be stale before a better one is sought. */
    private static final long SETTLE_US = 800_000;

    /** How long a home outside the own zone is kept before one in the zone is asked. */
    private static final long RETURN_US = 6_000_000;

    private final Settings settings;
    private final Eventloop loop;
    private final PeerLinkHandler handler;
    private final Supplier<byte[]> renewal;
    private final Set<String> cores = new LinkedHashSet<>();
    private final Map<String, Long> avoidedUntilUs = new HashMap<>();
    private Optional<OutgoingPeerLink> home = Optional.empty();
    private String homeIp = "";

    /** The last moment at which the home was picked or its knowledge was fresh. */
    private long homeFreshUs;

    private long homePickedUs;
    private boolean synced;

    /**
     * A daemon that is asked whether it would be a better home; the present one is kept until it
     * says so.
     */
    private Optional<OutgoingPeerLink> candidate = Optional.empty();

    private String candidateIp = "";
    private long candidateSinceUs;

    /**
     * Creates the connection without opening it.
     *
     * @param handler receives the records of the home and of the candidate
     * @param renewal writes the record by which this edge subscribes and renews its subscription
     */
    HomeConnection(
            Settings settings, Eventloop loop, PeerLinkHandler handler, Supplier<byte[]> renewal) {
        this.settings = settings;
        this.loop = loop;
        this.handler = handler;
        this.renewal = renewal;
        addSeeds();
    }

    /** Whether knowledge of this age still counts. */
    static boolean isFresh(long staleUs) {
        return staleUs < STALE_US;
    }

    /** Picks the first home. */
    void open() {
        pickHome();
    }

    /** The address of the home, empty before the first was picked. */
    String ip() {
        return homeIp;
    }

    /** The link to the home while it is up. */
    Optional<PeerLink> link() {
        return home.flatMap(OutgoingPeerLink::link);
    }

    /** Whether this is the link to the home. */
    boolean isHome(PeerLink link) {
        return link().filter(known -> known == link).isPresent();
    }

    /** Whether this is the link to the candidate. */
    boolean isCandidate(PeerLink link) {
        return candidate.flatMap(OutgoingPeerLink::link).filter(known -> known == link).isPresent();
    }

    /** Sends a record to the home; it is lost when the link is down. */
    void send(byte[] record) {
        home.ifPresent(dial -> dial.send(record));
    }

    /** Asks the home for its whole state. */
    void requestWholeState() {
        send(new RecordWriter(RecordType.RESYNC_REQUEST).bytes());
    }

    /** Whether all replicas were received since the last home that was never a candidate. */
    boolean synced() {
        return synced;
    }

    /** All replicas that the home knows were received. */
    void onSynced() {
        synced = true;
    }

    /** Renews the subscription, or leaves a home that is silent or cannot be reached. */
    void renew() {
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
        if (now - link.lastReceivedUs() > SILENCE_US) {
            leaveHome("silent");
            return;
        }
        link.send(renewal.get());
        if (!inOwnZone(homeIp) && now - homePickedUs > RETURN_US) {
            seekHome(this::inOwnZone, now);
        }
    }

    /**
     * The candidate said how old its knowledge is: it becomes the home when that is fresh, and is
     * passed over otherwise.
     *
     * @return whether it is the home now
     */
    boolean judgeCandidate(long staleUs) {
        if (!isFresh(staleUs)) {
            passOverCandidate("stale by " + staleUs / 1000 + " ms");
            return false;
        }
        takeCandidate();
        return true;
    }

    /** The home said which core daemons there are; fresh knowledge replaces what was known. */
    void onCores(Collection<String> known, long staleUs) {
        if (isFresh(staleUs)) {
            cores.clear();
        }
        cores.addAll(known);
    }

    /** The home said how old its knowledge is; a better one is sought when it stays stale. */
    void onAge(long staleUs, long now) {
        if (isFresh(staleUs)) {
            homeFreshUs = now;
        } else if (now - homePickedUs > SETTLE_US) {
            seekHome(core -> true, now);
        }
    }

    private void addSeeds() {
        settings.seedNodes().forEach(seed -> cores.add(seed.substring(0, seed.lastIndexOf(':'))));
    }

    /** The core daemons in the order in which this edge would take them as its home. */
    private List<String> homesByPreference(long now) {
        addSeeds();
        var homes = new ArrayList<>(cores);
        homes.sort(
                Comparator.<String>comparingInt(core -> avoided(core, now) ? 1 : 0)
                        .thenComparing(core -> !inOwnZone(core))
                        .thenComparingInt(core -> (core + settings.ipAddress()).hashCode()));
        return homes;
    }

    private boolean avoided(String ip, long now) {
        return avoidedUntilUs.getOrDefault(ip, 0L) > now;
    }

    private void avoid(String ip) {
        avoidedUntilUs.put(ip, Clocks.nowUs() + AVOID_US);
    }

    private boolean inOwnZone(String ip) {
        return ip.startsWith(
                settings.ipAddress().substring(0, settings.ipAddress().lastIndexOf('.') + 1));
    }

    private OutgoingPeerLink dial(String ip) {
        return new OutgoingPeerLink(
                loop,
                IpPort.parse("home", ip + ":" + settings.firstInternalPort()),
                REDIAL_US,
                link -> link.send(renewal.get()),
                handler);
    }

    private void pickHome() {
        var now = Clocks.nowUs();
        var homes = homesByPreference(now);
        if (homes.isEmpty()) {
            return;
        }
        homeIp = homes.get(0);
        homeFreshUs = now;
        homePickedUs = now;
        synced = false;
        home = Optional.of(dial(homeIp));
    }

    private void leaveHome(String why) {
        RingLog.debug("home " + homeIp + " is left: " + why);
        avoid(homeIp);
        dropCandidate();
        home.ifPresent(OutgoingPeerLink::stop);
        pickHome();
    }

    /** Asks the next daemon that may be a better home, one at a time. */
    private void seekHome(Predicate<String> eligible, long now) {
        if (candidate.isPresent()) {
            return;
        }
        homesByPreference(now).stream()
                .filter(core -> !core.equals(homeIp) && !avoided(core, now) && eligible.test(core))
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

    private void passOverCandidate(String why) {
        RingLog.debug("home " + homeIp + " is kept: " + candidateIp + " is " + why);
        avoid(candidateIp);
        dropCandidate();
    }

    /**
     * The candidate is in contact with a majority: it is the home from now on, and its whole state
     * is asked for.
     */
    private void takeCandidate() {
        RingLog.debug("home " + homeIp + " is left for " + candidateIp);
        avoid(homeIp);
        var old = home;
        home = candidate;
        homeIp = candidateIp;
        homePickedUs = Clocks.nowUs();
        homeFreshUs = homePickedUs;
        candidate = Optional.empty();
        old.ifPresent(OutgoingPeerLink::stop);
        requestWholeState();
    }
}
