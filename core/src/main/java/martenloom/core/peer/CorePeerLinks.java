package martenloom.core.peer;

import io.activej.eventloop.Eventloop;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.link.OutgoingPeerLink;
import martenloom.common.link.PeerFeatures;
import martenloom.common.link.PeerLink;
import martenloom.common.link.PeerLinkHandler;
import martenloom.common.settings.IpPort;
import martenloom.common.settings.Settings;
import martenloom.core.chain.ChainMember;
import martenloom.core.registry.FleetSize;
import martenloom.core.tally.TallyTransport;

/**
 * The outgoing links to the other core daemons, one for each. Links to members of the roster and to
 * seed nodes are kept for good, others until the peer was not reached for a while. A record for a
 * peer that is not reached is dropped. Core daemons introduce themselves on a link by a HELLO
 * record and answer it with the peers that they know. Runs on the reactor thread.
 */
public final class CorePeerLinks implements TallyTransport {
    private static final long REDIAL_US = 200_000;

    /** A link on which nothing was heard for so long is closed and opened again. */
    private static final long SILENCE_TIMEOUT_US = 2_000_000;

    /** A core daemon outside the roster that was not reached for so long is forgotten. */
    private static final long FORGET_US = 20_000_000;

    private final Eventloop loop;
    private final Settings settings;
    private final ChainMember chain;
    private final FleetSize fleetSize;
    private final PeerRegions regions;
    private final PeerLinkHandler handler;
    private final Map<String, OutgoingPeerLink> links = new TreeMap<>();

    /** When each peer was last found reached or needed. */
    private final Map<String, Long> reachedUs = new HashMap<>();

    /** The incoming link of each peer that reads the short forms of records. */
    private final Map<String, PeerLink> shortFormLinks = new HashMap<>();

    private Consumer<String> connectionListener = ip -> {};

    /** How many times one peer was chosen in turn. */
    private int turns;

    /**
     * @param handler gets what arrives on the links
     */
    public CorePeerLinks(
            Eventloop loop,
            Settings settings,
            ChainMember chain,
            FleetSize fleetSize,
            PeerRegions regions,
            PeerLinkHandler handler) {
        this.loop = loop;
        this.settings = settings;
        this.chain = chain;
        this.fleetSize = fleetSize;
        this.regions = regions;
        this.handler = handler;
    }

    /** The address of this daemon. */
    public String localIp() {
        return settings.ipAddress();
    }

    // ---- links

    /** Opens the link to a peer, unless there is one already. */
    public void dial(String ip) {
        if (ip.equals(localIp()) || links.containsKey(ip)) {
            return;
        }
        var address = IpPort.parse("peer", ip + ":" + settings.firstInternalPort());
        links.put(
                ip,
                new OutgoingPeerLink(
                        loop, address, REDIAL_US, link -> onConnected(ip, link), handler));
    }

    private void onConnected(String ip, PeerLink link) {
        link.send(hello());
        link.send(PeerFeatures.record());
        connectionListener.accept(ip);
    }

    /** Sets what is told of each peer whose outgoing link has come up. */
    public void setConnectionListener(Consumer<String> listener) {
        connectionListener = listener;
    }

    /** A core daemon or an edge tells what it reads beyond the first version, and is told so. */
    public void onFeatures(PeerLink link, RecordReader in) {
        if (link.readsShortForms()) {
            return;
        }
        PeerFeatures.onRecord(link, in);
        link.send(PeerFeatures.record());
        if (link.readsShortForms()) {
            shortFormLinks.put(link.peer(), link);
        }
    }

    /** A link has closed: the daemon that comes next at this address may be an older one. */
    public void onClosed(PeerLink link) {
        shortFormLinks.remove(link.peer(), link);
    }

    /** Whether a peer reads the records in which unchanged rows are left out. */
    public boolean readsShortForms(String ip) {
        return shortFormLinks.containsKey(ip);
    }

    /** Opens the links to several peers. */
    public void dialAll(Collection<String> ips) {
        ips.forEach(this::dial);
    }

    /** Opens the links to the seed nodes. */
    public void dialSeeds() {
        dialAll(SeedNodes.ips(settings));
    }

    /** Closes the links on which nothing was heard for a while; they are opened again. */
    public void closeSilent() {
        links.values().forEach(link -> link.closeIfSilent(SILENCE_TIMEOUT_US));
    }

    /** Forgets who is neither in the roster nor a seed and was not reached for a while. */
    public void forgetUnreachable(long nowUs) {
        var needed = new TreeSet<>(chain.memberState().state().roster().members());
        needed.addAll(chain.committed().roster().members());
        needed.addAll(SeedNodes.ips(settings));
        for (var ip : List.copyOf(links.keySet())) {
            if (needed.contains(ip) || link(ip).isPresent()) {
                reachedUs.put(ip, nowUs);
            } else if (nowUs - reachedUs.computeIfAbsent(ip, unused -> nowUs) > FORGET_US) {
                links.remove(ip).stop();
                reachedUs.remove(ip);
                regions.remove(ip);
            }
        }
    }

    /** Closes all links for good. */
    public void stop() {
        links.values().forEach(OutgoingPeerLink::stop);
    }

    /** A live view of the peers that are dialed, whether they are reached or not. */
    public Set<String> dialed() {
        return Collections.unmodifiableSet(links.keySet());
    }

    /** The link to a peer, if it is reached. */
    public Optional<PeerLink> link(String ip) {
        return Optional.ofNullable(links.get(ip)).flatMap(OutgoingPeerLink::link);
    }

    /** The link to the current head of the chain, if it is reached. */
    public Optional<PeerLink> headLink() {
        return link(chain.head());
    }

    /** The roster and whoever else is reached: where an edge or a new core daemon may turn to. */
    public Collection<String> reachable() {
        var ips = new TreeSet<>(chain.committed().roster().members());
        links.forEach((ip, outgoing) -> outgoing.link().ifPresent(link -> ips.add(ip)));
        ips.add(localIp());
        return ips;
    }

    // ---- sending

    @Override
    public Set<String> peers() {
        return dialed();
    }

    @Override
    public void send(String ip, byte[] record) {
        link(ip).ifPresent(link -> link.send(record));
    }

    /** Sends a record to all peers that are reached. */
    public void sendAll(byte[] record) {
        links.values().forEach(link -> link.send(record));
    }

    /** Sends the record for it to one of the peers that are reached, each in its turn. */
    public void sendToNext(Function<String, byte[]> recordFor) {
        var reached = links.keySet().stream().filter(ip -> link(ip).isPresent()).toList();
        if (!reached.isEmpty()) {
            var next = reached.get(turns++ % reached.size());
            send(next, recordFor.apply(next));
        }
    }

    // ---- introduction

    /** Introduces this daemon again to all peers, as a sign of life. */
    public void sendHello() {
        sendAll(hello());
    }

    private byte[] hello() {
        return new RecordWriter(RecordType.HELLO)
                .text(localIp())
                .text(settings.region())
                .i32(fleetSize.maxEdges())
                .i64(Clocks.nowUs())
                .bytes();
    }

    /** A peer introduces itself: it gets the peers that we reach, and is dialed in return. */
    public void onHello(PeerLink link, RecordReader in) {
        link.setPeer(in.text());
        regions.put(link.peer(), in.text());
        fleetSize.observeEdges(in.i32());
        link.transitDelay().excessDelayUs(in.i64(), Clocks.nowUs());
        link.send(new RecordWriter(RecordType.KNOWN_PEERS).texts(reachable()).bytes());
        dial(link.peer());
    }
}
