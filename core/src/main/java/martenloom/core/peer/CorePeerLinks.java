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
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.link.OutgoingPeerLink;
import martenloom.common.link.PeerLink;
import martenloom.common.link.PeerLinkHandler;
import martenloom.common.settings.IpPort;
import martenloom.common.settings.Settings;
import martenloom.core.chain.ChainMember;
import martenloom.core.registry.RegistryCheckpoint;

/**
 * The outgoing links to the other core daemons, and the region that each has told. There is one
 * link for each peer; members of the roster and seeds are kept for good, others until they have not
 * been reached for a while. A record for a peer that is not reached is dropped. Runs on the reactor
 * thread.
 */
public final class CorePeerLinks {
    private static final long REDIAL_US = 200_000;
    private static final long SILENCE_US = 2_000_000;

    /** A core daemon outside the roster that was not reached for so long is forgotten. */
    private static final long FORGET_US = 20_000_000;

    private final Eventloop loop;
    private final Settings settings;
    private final ChainMember chain;
    private final RegistryCheckpoint memory;
    private final PeerLinkHandler handler;
    private final Map<String, OutgoingPeerLink> dials = new TreeMap<>();
    private final Map<String, Long> reachedUs = new HashMap<>();
    private final Map<String, String> regions = new TreeMap<>();
    private int turn;

    /**
     * @param handler gets what arrives on the links
     */
    public CorePeerLinks(
            Eventloop loop,
            Settings settings,
            ChainMember chain,
            RegistryCheckpoint memory,
            PeerLinkHandler handler) {
        this.loop = loop;
        this.settings = settings;
        this.chain = chain;
        this.memory = memory;
        this.handler = handler;
    }

    public static List<String> seedIps(Settings settings) {
        return settings.seedNodes().stream()
                .map(seed -> seed.substring(0, seed.lastIndexOf(':')))
                .distinct()
                .toList();
    }

    // ---- links

    /** Opens the link to a peer, unless there is one already. */
    public void dial(String ip) {
        if (ip.equals(settings.ipAddress()) || dials.containsKey(ip)) {
            return;
        }
        var address = IpPort.parse("peer", ip + ":" + settings.firstInternalPort());
        dials.put(
                ip,
                new OutgoingPeerLink(
                        loop, address, REDIAL_US, link -> link.send(hello()), handler));
    }

    public void dialAll(Collection<String> ips) {
        ips.forEach(this::dial);
    }

    public void dialSeeds() {
        dialAll(seedIps(settings));
    }

    /** Gives up the links on which nothing was heard for a while; they are opened again. */
    public void closeSilent() {
        dials.values().forEach(dial -> dial.closeIfSilent(SILENCE_US));
    }

    /** Forgets who is neither in the roster nor a seed and was not reached for a while. */
    public void forgetGone(long now) {
        var needed = new TreeSet<>(chain.memberState().state().roster().members());
        needed.addAll(chain.committed().roster().members());
        needed.addAll(seedIps(settings));
        for (var ip : List.copyOf(dials.keySet())) {
            if (needed.contains(ip) || link(ip).isPresent()) {
                reachedUs.put(ip, now);
            } else if (now - reachedUs.computeIfAbsent(ip, k -> now) > FORGET_US) {
                dials.remove(ip).stop();
                reachedUs.remove(ip);
                regions.remove(ip);
            }
        }
    }

    public void stop() {
        dials.values().forEach(OutgoingPeerLink::stop);
    }

    /** The peers that are dialed, whether they are reached or not; follows the changes. */
    public Set<String> dialed() {
        return Collections.unmodifiableSet(dials.keySet());
    }

    public Optional<PeerLink> link(String ip) {
        return Optional.ofNullable(dials.get(ip)).flatMap(OutgoingPeerLink::link);
    }

    /** The link to the head of the moment. */
    public Optional<PeerLink> headLink() {
        return link(chain.head());
    }

    /** The roster and who is reached beside it: where an edge or a new core daemon may turn to. */
    public Collection<String> reachable() {
        var ips = new TreeSet<>(chain.committed().roster().members());
        dials.forEach((ip, dial) -> dial.link().ifPresent(link -> ips.add(ip)));
        ips.add(settings.ipAddress());
        return ips;
    }

    // ---- sending

    public void send(String ip, byte[] record) {
        link(ip).ifPresent(link -> link.send(record));
    }

    public void sendAll(byte[] record) {
        dials.values().forEach(dial -> dial.send(record));
    }

    /** Sends to one of the peers that are reached, each in its turn. */
    public void sendToNext(byte[] record) {
        var reached = dials.values().stream().filter(dial -> dial.link().isPresent()).toList();
        if (!reached.isEmpty()) {
            reached.get(turn++ % reached.size()).send(record);
        }
    }

    public void sendHello() {
        sendAll(hello());
    }

    /** Makes us known on a link, at its start and then as a sign of life. */
    private byte[] hello() {
        return new RecordWriter(RecordType.HELLO)
                .text(settings.ipAddress())
                .text(settings.region())
                .i32(memory.mostEdges())
                .i64(Clocks.nowUs())
                .bytes();
    }

    /** A peer makes itself known: it is told whom we reach, and is dialed in return. */
    public void onHello(PeerLink link, RecordReader in) {
        link.setPeer(in.text());
        regions.put(link.peer(), in.text());
        memory.sawEdges(in.i32());
        link.transitDelay().excessDelayUs(in.i64(), Clocks.nowUs());
        link.send(new RecordWriter(RecordType.KNOWN_PEERS).texts(reachable()).bytes());
        dial(link.peer());
    }

    // ---- regions

    /** Whether a peer has made itself known as one of our region. */
    public boolean isInOwnRegion(String ip) {
        return settings.region().equals(regions.getOrDefault(ip, ""));
    }

    /** How many core daemons of our region have made themselves known, ourselves with them. */
    public int homesInRegion() {
        var others =
                regions.keySet().stream()
                        .filter(ip -> isInOwnRegion(ip) && !ip.equals(settings.ipAddress()))
                        .count();
        return 1 + (int) others;
    }

    /**
     * A region in which a member of the roster lies although it is not allowed; "unknown" when the
     * region of a member is not known, empty when all lie in allowed regions.
     */
    public String regionOutside(Set<String> allowed) {
        for (var member : chain.committed().roster().members()) {
            var region =
                    member.equals(settings.ipAddress())
                            ? settings.region()
                            : regions.getOrDefault(member, "");
            if (!allowed.contains(region)) {
                return region.isEmpty() ? "unknown" : region;
            }
        }
        return "";
    }
}
