package martenloom.core;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.Codec;
import martenloom.common.error.Fault;
import martenloom.common.fleet.FleetRecords;
import martenloom.common.jobs.Job;
import martenloom.common.link.LinkTraffic;
import martenloom.common.link.PeerLinks;
import martenloom.common.link.PendingRequests;
import martenloom.common.load.LoadSummary;
import martenloom.common.log.RingLog;
import martenloom.common.settings.Settings;
import martenloom.core.api.ControlApi;
import martenloom.core.chain.ChainCore;
import martenloom.core.duty.DutyService;
import martenloom.core.load.LoadAggregator;
import martenloom.core.placement.PlacementService;
import martenloom.core.registry.ColdSendLeases;
import martenloom.core.registry.MajorityReceipt;
import martenloom.core.registry.Registry;
import martenloom.core.state.CoreState;
import martenloom.core.storage.VersionedStore;
import martenloom.routing.language.RoutingLanguage;
import martenloom.routing.route.RouteTable;

/**
 * The core program: puts the chain, its disk, the registry and the desk on one reactor, and carries
 * records between the core daemons and to the edges that made this daemon their home. The chain's
 * commands are carried out here and nowhere else.
 */
public final class CoreDaemon implements PeerLinks.Handler {
    private static final String MEMO = "replicas";
    private static final long TICK_US = 50_000;
    private static final long FLOOD_US = 100_000;
    private static final long DIGEST_US = 500_000;
    private static final long ASK_US = 2_500_000;
    private static final long SILENCE_US = 2_000_000;

    /**
     * How long confirmations are waited for; the replica that asks takes an answer for a second.
     */
    private static final long CONFIRM_US = 800_000;

    private static final long SUM_US = 100_000;
    private static final int FAR_TURNS = 5;
    private static final int QUIET_TURNS = 5;
    private static final long WANT_US = 350_000;

    private static final long FLUSH_MS = 300;

    /** A core daemon outside the roster that was not reached for so long is forgotten. */
    private static final long FORGET_US = 20_000_000;

    /** Without word of a majority for this long, a member may be cut off from the others. */
    private static final long CONTACT_US = 1_200_000;

    /**
     * An edge renews every 0.4 s; three renewals missed mean that it does not rely on this daemon.
     */
    private static final long RELIED_US = 1_200_000;

    /**
     * Edges use even shares up to as many edges as sends; homes lend only when there are clearly
     * more, so that no two ways add up.
     */
    private static final int LENT_APART = 4;

    private final Settings settings;
    private final Eventloop loop;
    private final VersionedStore store;
    private final ChainCore chain;
    private final OrderlyLeave leave;
    private final Registry registry;
    private final DutyService duties;
    private final PlacementService placement;
    private final Map<String, PeerLinks.Dial> dials = new TreeMap<>();
    private final Map<String, PeerLinks.Link> homes = new LinkedHashMap<>();
    private final Map<Long, BiConsumer<Integer, String>> localRequests = new HashMap<>();
    private final PendingRequests<PeerLinks.Link> peerRequests =
            new PendingRequests<>(new SecureRandom().nextLong());
    private final long startUs = Clocks.nowUs();
    private final boolean restored;
    private int memoDigest;
    private int mostEdges;
    private int mostHomes = 1;
    private final LoadAggregator loadSummary = new LoadAggregator();
    private final ColdSendLeases warm;
    private final long life = new SecureRandom().nextLong();
    private long sums;
    private final Map<String, Long> wanted = new HashMap<>();
    private final Map<String, Long> routesSent = new HashMap<>();
    private long localNumber;
    private int turn;

    public CoreDaemon(Settings p, Eventloop loop, VersionedStore.Folder folder) {
        settings = p;
        this.loop = loop;
        store = new VersionedStore(folder);
        var kept = store.load();
        var disk = kept.map(ChainCore.MemberState::of);
        if (disk.isEmpty() && !store.damaged() && p.bootstrap && founder()) {
            disk =
                    Optional.of(
                            new ChainCore.MemberState(
                                    ChainCore.Ballot.ZERO,
                                    ChainCore.Ballot.ZERO,
                                    CoreState.founded(seedIps())));
            store.keep(disk.get().bytes());
        }
        RingLog.note(
                "core "
                        + p.name
                        + " starts, disk "
                        + (disk.isPresent() ? "edition " + disk.get().state.edition : "empty"));
        chain =
                new ChainCore(
                        p.ip, new SecureRandom().nextLong(), disk, nearness(), Clocks.nowUs());
        chain.onAway(store.awayUs());
        registry = new Registry(p.beatMs * 1000L);
        chain.onLeastRoster(2 * Math.max(1, p.tolerateMachines) + 1);
        placement = new PlacementService(p, chain, registry, this::table);
        chain.onSurvey(() -> placement.now().text());
        leave = new OrderlyLeave(loop, p, chain, this::handOver, this::owesAnswers);
        duties = new DutyService(chain, this::askHere, Clocks::nowUs);
        var known = store.note(MEMO).map(this::remember).orElse(0);
        warm = new ColdSendLeases(Clocks.nowUs(), kept.isEmpty() && p.bootstrap);
        restored = known > 0;
        RingLog.note("replicas remembered: " + known);
    }

    private int remember(byte[] memo) {
        try {
            var in = new Codec.In(memo, false);
            mostEdges = in.i32();
            mostHomes = Math.max(1, in.i32());
            return registry.remember(in, Clocks.nowUs(), settings.beatMs * 2000L);
        } catch (Fault f) {
            RingLog.wrong("the note of replicas is passed over: " + f.getMessage());
            return 0;
        }
    }

    private boolean founder() {
        return seedIps().contains(settings.ip);
    }

    private List<String> seedIps() {
        return settings.seeds.stream()
                .map(s -> s.substring(0, s.lastIndexOf(':')))
                .distinct()
                .toList();
    }

    /**
     * Members of our own zone come first down the chain, so that it crosses between regions as
     * seldom as it can.
     */
    private Comparator<String> nearness() {
        var net = settings.ip.substring(0, settings.ip.lastIndexOf('.'));
        return Comparator.<String, Boolean>comparing(m -> !m.startsWith(net + "."))
                .thenComparing(m -> m);
    }

    public void start() throws IOException {
        PeerLinks.listen(
                loop,
                new InetSocketAddress(InetAddress.getByName(settings.ip), settings.portLow),
                this);
        var controlApi =
                new ControlApi(
                        loop,
                        settings,
                        registry,
                        this::acceptsHeartbeats,
                        this::handOver,
                        this::tellMajority,
                        () -> table(chain.committed()),
                        chain::committed,
                        this::outside,
                        this::inTouch);
        var at = new LinkedHashSet<InetSocketAddress>();
        at.add(Settings.address("ControlPlane", settings.need("ControlPlane")));
        if (settings.listen.containsKey("Directory")) {
            at.add(Settings.address("Directory", settings.need("Directory")));
        }
        HttpServer.builder(
                        loop,
                        q ->
                                leave.begun()
                                        ? Promise.of(OrderlyLeave.goElsewhere())
                                        : controlApi.serve(q))
                .withListenAddresses(List.copyOf(at))
                .withKeepAliveTimeout(Duration.ofSeconds(30))
                .withMaxBodySize(16 << 20)
                .build()
                .listen();
        chain.memberState().state.roster.forEach(this::dial);
        seedIps().forEach(this::dial);
        Clocks.every(loop, TICK_US, this::tick);
        Clocks.every(loop, FLOOD_US, this::flood);
        Clocks.every(loop, DIGEST_US, this::mend);
        Clocks.every(loop, SUM_US, this::sum);
        RingLog.say("core " + settings.name + " ready at " + settings.need("ControlPlane"));
    }

    public void stop() {
        RingLog.note("core stops");
        dials.values().forEach(PeerLinks.Dial::stop);
    }

    /**
     * Whether a heartbeat taken here reaches anybody: this member is in contact with a majority, or
     * an edge relies on it. A member that is cut off from all of them refuses, so that its replicas
     * report to another daemon before they are taken for silent there; in a zone that is cut off as
     * a whole, the edges of the zone still need what is taken here.
     */
    private boolean acceptsHeartbeats() {
        var now = Clocks.nowUs();
        return chain.staleUs(now) < CONTACT_US
                || homes.values().stream().anyMatch(l -> now - l.heardUs < RELIED_US);
    }

    // ---- leaving in order

    /**
     * Called from another thread at SIGTERM; returns when the process may end, and says whether the
     * chain does without it.
     */
    public boolean leave() {
        var inOrder = leave.run();
        store.flush(FLUSH_MS);
        return inOrder;
    }

    private boolean owesAnswers() {
        return !localRequests.isEmpty() || peerRequests.size() > 0;
    }

    // ---- links to other core daemons

    /** Forgets who is neither in the roster nor a seed and was not reached for a while. */
    private void forgetGone(long now) {
        var needed = new TreeSet<>(chain.memberState().state.roster);
        needed.addAll(chain.committed().roster);
        needed.addAll(seedIps());
        for (var ip : List.copyOf(dials.keySet())) {
            if (needed.contains(ip) || dials.get(ip).link().isPresent()) {
                reachedUs.put(ip, now);
            } else if (now - reachedUs.computeIfAbsent(ip, k -> now) > FORGET_US) {
                dials.remove(ip).stop();
                reachedUs.remove(ip);
                regions.remove(ip);
            }
        }
    }

    private final Map<String, Long> reachedUs = new HashMap<>();

    private void dial(String ip) {
        if (ip.equals(settings.ip) || dials.containsKey(ip)) {
            return;
        }
        var to = Settings.address("peer", ip + ":" + settings.portLow);
        dials.put(ip, new PeerLinks.Dial(loop, to, 200_000, l -> l.send(hello()), this));
    }

    // ---- time

    private void tick() {
        var now = Clocks.nowUs();
        chain.onKnown(dials.keySet());
        chain.onTick(now);
        carryOut();
        duties.tick(now);
        jobClock(now);
        carryOut();
        registry.sweep(now);
        tellChanged(now);
        dials.values().forEach(d -> d.check(SILENCE_US));
    }

    /**
     * Tells everybody at once that a replica drains or has ended, and says whether a majority of
     * the roster confirmed it in time. Those that confirm tell their edges and the other daemons,
     * so an edge that does not hear of it has lost its home and is about to leave it.
     */
    private void tellMajority(String replica, Consumer<Boolean> confirmed) {
        var now = Clocks.nowUs();
        var roster = chain.committed().roster;
        var receipt = new MajorityReceipt(roster, confirmed);
        var news = registry.rowFlood(replica, now);
        var sent = new ArrayList<PendingRequests.RequestId>();
        for (var member : roster) {
            var link = Optional.ofNullable(dials.get(member)).flatMap(PeerLinks.Dial::link);
            link.ifPresent(l -> sent.add(sendConfirmed(l, news, () -> receipt.receivedBy(member))));
        }
        flood();
        receipt.receivedBy(settings.ip);
        Clocks.after(
                loop,
                CONFIRM_US,
                () -> {
                    sent.forEach(id -> peerRequests.expire(id, "not confirmed in time"));
                    receipt.timedOut();
                });
    }

    private PendingRequests.RequestId sendConfirmed(
            PeerLinks.Link link, byte[] flood, Runnable received) {
        var id =
                peerRequests.open(
                        link,
                        (status, text) -> {
                            if (status == 200) {
                                received.run();
                            }
                        });
        var out = new Codec.Out(FleetRecords.FLOOD_CONFIRMED);
        id.write(out);
        link.send(out.blob(flood).bytes());
        return id;
    }

    private void flood() {
        var now = Clocks.nowUs();
        registry.pollFlood(now).ifPresent(b -> dials.values().forEach(d -> d.send(b)));
        tellChanged(now);
    }

    private void mend() {
        mostEdges = Math.max(mostEdges, registry.members(Clocks.nowUs()).size());
        mostHomes = Math.max(mostHomes, homesHere());
        var dg = (registry.noteDigest() * 31 + mostEdges) * 31 + mostHomes;
        if (dg != memoDigest) {
            memoDigest = dg;
            store.noteLater(MEMO, registry.memo(mostEdges, mostHomes, Clocks.nowUs()));
        }
        warm.sweep(Clocks.nowUs());
        placement.watch(Clocks.nowUs());
        var b = registry.digests();
        var up = dials.values().stream().filter(d -> d.link().isPresent()).toList();
        if (!up.isEmpty()) {
            up.get(turn++ % up.size()).send(b);
        }
        seedIps().forEach(this::dial);
        forgetGone(Clocks.nowUs());
        var beat = hello();
        dials.values().forEach(d -> d.send(beat));
    }

    /** Makes us known on a link, at its start and then as a sign of life. */
    private byte[] hello() {
        return new Codec.Out(FleetRecords.HELLO)
                .text(settings.ip)
                .text(settings.region)
                .i32(mostEdges)
                .i64(Clocks.nowUs())
                .bytes();
    }

    /** How many core daemons of our region have made themselves known, ourselves with them. */
    private int homesHere() {
        return 1
                + (int)
                        regions.entrySet().stream()
                                .filter(
                                        e ->
                                                e.getValue().equals(settings.region)
                                                        && !e.getKey().equals(settings.ip))
                                .count();
    }

    // ---- sums of load

    private void sum() {
        var now = Clocks.nowUs();
        sums++;
        var quiet = sums % QUIET_TURNS == 0;
        var own = loadSummary.own(now);
        sumTo(
                d -> settings.region.equals(regions.getOrDefault(d, "")),
                LoadAggregator.Way.REGION,
                own);
        if (sums % FAR_TURNS == 0) {
            sumTo(
                    d -> !settings.region.equals(regions.getOrDefault(d, "")),
                    LoadAggregator.Way.FAR,
                    own);
        }
        if (!quiet && loadSummary.version() == toldVersion && !loadSummary.hasPlaces()) {
            return;
        }
        toldVersion = loadSummary.version();
        var o = loadSummary.whole(own, now).write(new Codec.Out());
        loadSummary.writePlaces(o, LoadAggregator.Way.EDGES);
        own.doubtful().write(o);
        var b = o.bytes();
        toHomes(
                (ip, l) ->
                        l.send(
                                new Codec.Out(FleetRecords.WHOLE_SUM)
                                        .i64(loadSummary.seqOf(ip))
                                        .raw(b)
                                        .bytes()));
    }

    /**
     * To a copy: a link that is found not to read is closed by the sending, and leaves the homes.
     */
    private void toHomes(BiConsumer<String, PeerLinks.Link> s) {
        List.copyOf(homes.entrySet()).forEach(e -> s.accept(e.getKey(), e.getValue()));
    }

    private long toldVersion = -1;

    private void sumTo(Predicate<String> whom, LoadAggregator.Way way, LoadSummary own) {
        var to = dials.keySet().stream().filter(whom).toList();
        if (to.isEmpty()) {
            return;
        }
        var o =
                own.write(
                        new Codec.Out(FleetRecords.HOME_SUM).text(settings.ip).i64(life).i64(sums));
        loadSummary.writePlaces(o, way);
        var b = o.bytes();
        to.forEach(d -> dials.get(d).send(b));
    }

    private void onSample(Codec.In in) {
        var now = Clocks.nowUs();
        var ip = in.text();
        var lf = in.i64();
        var sq = in.i64();
        if (loadSummary.take(ip, lf, sq, LoadSummary.read(in), now)) {
            places(in, true);
        }
    }

    private void onHomeSum(Codec.In in) {
        var ip = in.text();
        if (loadSummary.takeHome(ip, in.i64(), in.i64(), LoadSummary.read(in), Clocks.nowUs())) {
            places(in, false);
        }
    }

    private void places(Codec.In in, boolean fromEdge) {
        in.list(
                x -> {
                    loadSummary.place(x.text(), x.text(), fromEdge);
                    return 0;
                });
    }

    /**
     * A report comes from an edge of ours, then goes to all our edges and to the peers; theirs pass
     * it to their edges only.
     */
    private void onReport(PeerLinks.Link l, byte[] record) {
        var in = new Codec.In(record, true);
        var duty = in.text() + "/" + in.text();
        var reporter = in.text();
        if (chain.committed().overtaken(duty, in.i64())) {
            RingLog.note(
                    "a report of " + reporter + " under an older grant of " + duty + " is dropped");
            return;
        }
        if (l.tag instanceof String ip && homes.get(ip) == l) {
            dials.values().forEach(d -> d.send(record));
        }
        toHomes((ip, h) -> h.send(record));
    }

    // ---- the chain's commands

    private void carryOut() {
        for (var l = chain.drain(); !l.isEmpty(); l = chain.drain()) {
            l.forEach(this::carryOut);
        }
    }

    private void carryOut(ChainCore.Command c) {
        if (c instanceof ChainCore.Send s) {
            dial(s.to());
            Optional.ofNullable(dials.get(s.to())).ifPresent(d -> d.send(s.record()));
        } else if (c instanceof ChainCore.Store s) {
            loop.startExternalTask();
            store.keepLater(
                    () -> s.memberState().bytes(),
                    () -> {
                        loop.execute(
                                () -> {
                                    chain.onStored(Clocks.nowUs(), s.token());
                                    carryOut();
                                });
                        loop.completeExternalTask();
                    });
        } else if (c instanceof ChainCore.Answer a) {
            Optional.ofNullable(localRequests.remove(a.request()))
                    .ifPresent(r -> r.accept(a.status(), a.text()));
        } else if (c instanceof ChainCore.Committed m) {
            RingLog.note(
                    "committed edition "
                            + m.state().edition
                            + " revision "
                            + m.state().revision
                            + " in view "
                            + chain.view());
            m.state().roster.forEach(this::dial);
            var whole = configuration(m.state(), true);
            var short1 = configuration(m.state(), false);
            toHomes(
                    (ip, l) ->
                            l.send(
                                    routesSent.getOrDefault(ip, -1L) == m.state().revision
                                            ? short1
                                            : whole));
            homes.keySet().forEach(ip -> routesSent.put(ip, m.state().revision));
        }
    }

    /**
     * What an edge needs of the core's state; the routing text itself only when the edge has not
     * been sent this revision.
     */
    private static byte[] configuration(CoreState s, boolean routingText) {
        return new Codec.Out(FleetRecords.CONFIGURATION)
                .i64(s.edition)
                .i64(s.revision)
                .text(routingText ? s.routingText : "")
                .texts(s.evacuated)
                .list(
                        s.scales.entrySet(),
                        (w, e) ->
                                w.text(e.getKey())
                                        .i32(e.getValue().desired())
                                        .flag(e.getValue().pinned())
                                        .texts(e.getValue().resting()))
                .bytes();
    }

    /**
     * Nothing is handed out as current that may be old: the edge is told our age with every
     * renewal, and goes elsewhere.
     */
    private void configurationWhole(String ip, PeerLinks.Link l) {
        if (!chain.fresh(Clocks.nowUs())) {
            return;
        }
        var s = chain.committed();
        l.send(configuration(s, true));
        routesSent.put(ip, s.revision);
    }

    // ---- requests to the chain

    private void askHere(CoreState.Change c, BiConsumer<Integer, String> reply) {
        var id = ++localNumber;
        localRequests.put(id, reply);
        chain.onAsk(Clocks.nowUs(), id, c);
        loop.post(this::carryOut);
    }

    /** Whether this daemon knew of a majority that held together a moment ago. */
    private boolean inTouch() {
        return chain.fresh(Clocks.nowUs());
    }

    private void handOver(CoreState.Change c, BiConsumer<Integer, String> reply) {
        if (chain.heading()) {
            askHere(c, reply);
            return;
        }
        var link = Optional.ofNullable(dials.get(chain.head())).flatMap(PeerLinks.Dial::link);
        if (link.isEmpty() || !inTouch()) {
            reply.accept(503, "no head is known at " + settings.ip);
            return;
        }
        var head = link.get();
        var id = peerRequests.open(head, reply);
        var o = new Codec.Out(FleetRecords.ASK);
        id.write(o);
        c.write(o);
        head.send(o.bytes());
        Clocks.after(
                loop, ASK_US, () -> peerRequests.expire(id, "no reply from the head " + head.peer));
    }

    /** Answers a request on the link on which it came, under the id that its sender gave it. */
    private static void answer(
            PeerLinks.Link l, PendingRequests.RequestId id, int status, String text) {
        var o = new Codec.Out(FleetRecords.ANSWER);
        id.write(o);
        l.send(o.i32(status).text(text).bytes());
    }

    // ---- records

    @Override
    public void onRecord(PeerLinks.Link l, byte[] record) {
        var t = record[0];
        if (t <= ChainCore.LAST_TYPE) {
            chain.onRecord(Clocks.nowUs(), l.peer, record);
            carryOut();
            return;
        }
        var in = new Codec.In(record, true);
        switch (t) {
            case FleetRecords.HELLO -> {
                l.peer = in.text();
                regions.put(l.peer, in.text());
                mostEdges = Math.max(mostEdges, in.i32());
                l.delay.measure(in.i64(), Clocks.nowUs());
                l.send(new Codec.Out(FleetRecords.HEARD).texts(cores()).bytes());
                dial(l.peer);
            }
            case FleetRecords.HEARD -> in.texts().forEach(this::dial);
            case FleetRecords.FLOOD -> onFlood(l, in);
            case FleetRecords.FLOOD_CONFIRMED -> {
                var id = PendingRequests.RequestId.read(in);
                onFlood(l, new Codec.In(in.blob(), true));
                answer(l, id, 200, "");
            }
            case FleetRecords.DIGEST ->
                    registry.mend(in, Clocks.nowUs())
                            .ifPresent(
                                    b ->
                                            Optional.ofNullable(dials.get(l.peer))
                                                    .ifPresent(d -> d.send(b)));
            case FleetRecords.ASK -> {
                var id = PendingRequests.RequestId.read(in);
                askHere(CoreState.Change.read(in), (s, x) -> answer(l, id, s, x));
            }
            case FleetRecords.ANSWER -> {
                if (!peerRequests.answered(
                        PendingRequests.RequestId.read(in), l, in.i32(), in.text())) {
                    RingLog.note("link " + l.peer + ": an answer to no request of ours is dropped");
                }
            }
            case FleetRecords.RENEW -> renew(l, in);
            case FleetRecords.SAMPLE -> onSample(in);
            case FleetRecords.HOME_SUM -> onHomeSum(in);
            case FleetRecords.REPORT -> onReport(l, record);
            case FleetRecords.RESYNC -> {
                configurationWhole(l.tag instanceof String ip ? ip : "", l);
                l.send(registry.rows(registry.replicas(), true, Clocks.nowUs()));
            }
            case FleetRecords.EDGE_ASK -> edgeAsk(l, in);
            case FleetRecords.DUTY_WANT -> duties.want(in.text(), in.text(), in.i64(), l::send);
            case FleetRecords.DUTY_GRANT -> passGrant(l, record, in);
            case FleetRecords.QUERY ->
                    l.send(new Codec.Out(FleetRecords.TEXT).text(query(in.text())).bytes());
            default -> RingLog.note("link " + l.peer + ": unknown record " + t);
        }
    }

    /**
     * Rows from another daemon, as old as their sender says and for as long as they were under way.
     * Ends are told on at once.
     */
    private void onFlood(PeerLinks.Link l, Codec.In in) {
        var now = Clocks.nowUs();
        registry.takeFlood(in, now - l.delay.measure(in.i64(), now));
        if (registry.endsChanged()) {
            tellChanged(now);
        }
    }

    private void tellChanged(long now) {
        var changed = registry.pollChanged();
        if (!changed.isEmpty()) {
            var rows = registry.rows(changed, false, now);
            toHomes((ip, l) -> l.send(rows));
        }
    }

    private void renew(PeerLinks.Link l, Codec.In in) {
        var now = Clocks.nowUs();
        var e = FleetRecords.Edge.read(in, now);
        var stamp = in.i64();
        e.heardUs = now - l.delay.measure(stamp, now);
        var holder = in.text();
        var wants = in.texts();
        var cold = in.texts();
        registry.take(e, true);
        if (homes.put(e.ip, l) != l) {
            l.tag = e.ip;
            routesSent.remove(e.ip);
            l.send(registry.rows(registry.replicas(), true, now));
        }
        if (!routesSent.containsKey(e.ip)) {
            configurationWhole(e.ip, l);
        }
        l.send(news(now, stamp, e, cold));
        jobs(e.region, holder, now).ifPresent(l::send);
        wants.forEach(k -> passWant(k, holder, stamp, now));
        if (e.leaving) {
            flood();
        }
    }

    private byte[] news(long now, long stamp, FleetRecords.Edge e, List<String> cold) {
        var s = chain.committed();
        var o =
                new Codec.Out(FleetRecords.NEWS)
                        .i64(stamp)
                        .i64(now - startUs + (restored ? 10_000_000 : 0))
                        .i64(leave.begun() ? OrderlyLeave.FAR_TOO_OLD_US : chain.staleUs(now))
                        .i64(s.edition)
                        .i32(registry.edgeDigest())
                        .i32(mostEdges)
                        .i32(registry.members(now).size());
        o.texts(cores())
                .flag(
                        s.jobTable.jobs.values().stream()
                                .anyMatch(j -> j.state.live() && j.region.equals(e.region)));
        return o.i64(ColdSendLeases.LEASE_US)
                .list(lend(e, cold, now).entrySet(), (w, x) -> w.text(x.getKey()).i32(x.getValue()))
                .bytes();
    }

    private Map<String, Integer> lend(FleetRecords.Edge e, List<String> cold, long now) {
        var m = new LinkedHashMap<String, Integer>();
        if (!e.region.equals(settings.region) || e.leaving) {
            return m;
        }
        var t = table(chain.committed());
        for (var id : cold) {
            var svc =
                    registry.replica(id)
                            .flatMap(r -> Optional.ofNullable(t.services.get(r.service)));
            var all =
                    svc.map(x -> x.coldPerS(settings.bounds.warmOverage, settings.bounds.warmSlack))
                            .orElse(0);
            var n =
                    mostEdges <= all + LENT_APART
                            ? 0
                            : warm.lend(
                                    id,
                                    e.ip,
                                    all / Math.max(mostHomes, homesHere()),
                                    homes.size(),
                                    now);
            if (n > 0) {
                m.put(id, n);
            }
        }
        return m;
    }

    /** The live jobs of a region, for the holder of that duty. */
    private Optional<byte[]> jobs(String region, String holder, long now) {
        var s = chain.committed();
        var d = Optional.ofNullable(s.duties.get("jobs/" + region));
        if (d.isEmpty() || !d.get().holder.equals(holder)) {
            return Optional.empty();
        }
        var at = Math.max(s.jobTable.clockUs, chain.jobClockUs(now));
        var t = table(s);
        var l =
                s.jobTable.jobs.values().stream()
                        .filter(j -> j.state.live() && j.region.equals(region))
                        .toList();
        return Optional.of(
                new Codec.Out(FleetRecords.JOBS)
                        .list(
                                l,
                                (o, j) ->
                                        o.text(j.id)
                                                .flag(j.state == Job.State.RUNNING)
                                                .i64(j.fence)
                                                .i32(j.runs)
                                                .i64(j.dueUs - at)
                                                .i64(j.dueUs - j.submittedUs)
                                                .text(j.prefix())
                                                .text(
                                                        t.find(j.host, j.path)
                                                                .map(r -> r.name)
                                                                .orElse("")))
                        .bytes());
    }

    private RouteTable tableNow = RouteTable.EMPTY;

    private RouteTable table(CoreState s) {
        if (tableNow.revision != s.revision) {
            tableNow = RoutingLanguage.compile(s.routingText);
        }
        return tableNow;
    }

    /**
     * Whether every member of the roster lies in a region that is allowed, as far as the regions
     * are known.
     */
    private String outside(Set<String> allowed) {
        for (var m : chain.committed().roster) {
            var r = m.equals(settings.ip) ? settings.region : regions.getOrDefault(m, "");
            if (!allowed.contains(r)) {
                return r.isEmpty() ? "unknown" : r;
            }
        }
        return "";
    }

    private final Map<String, String> regions = new TreeMap<>();
    private long clockSentUs;

    private void jobClock(long now) {
        if (chain.heading()
                && chain.committed().jobTable.live() > 0
                && now - clockSentUs > 4_000_000) {
            clockSentUs = now;
            askHere(new CoreState.Change(CoreState.Act.JOB_CLOCK, 0, "", ""), (x, t) -> {});
        }
    }

    private void edgeAsk(PeerLinks.Link l, Codec.In in) {
        var id = PendingRequests.RequestId.read(in);
        var act = CoreState.Act.valueOf(in.text());
        var subject = in.text();
        var fence = in.i64();
        var version = in.i64();
        var c = new CoreState.Change(act, fence, subject, in.text()).versioned(version);
        if (!act.ofRunner()) {
            answer(l, id, 400, "not for an edge");
            return;
        }
        handOver(c, (s, t) -> answer(l, id, s, t));
    }

    /** The roster and who is reached beside it: where an edge or a new core daemon may turn to. */
    private Collection<String> cores() {
        var c = new TreeSet<>(chain.committed().roster);
        dials.forEach((ip, d) -> d.link().ifPresent(l -> c.add(ip)));
        c.add(settings.ip);
        return c;
    }

    /**
     * The holder's own word goes on always, others' only one in a while: the head needs a
     * candidate, not all of them.
     */
    private void passWant(String key, String holder, long stamp, long now) {
        var d = Optional.ofNullable(chain.committed().duties.get(key));
        if (d.isEmpty() || !d.get().holder.equals(holder)) {
            if (now - wanted.getOrDefault(key, 0L) < WANT_US) {
                return;
            }
            wanted.put(key, now);
        }
        want(key, holder, stamp);
    }

    private void want(String key, String holder, long stamp) {
        if (chain.heading()) {
            Optional.ofNullable(homes.get(ipOf(holder)))
                    .ifPresent(l -> duties.want(key, holder, stamp, l::send));
            return;
        }
        Optional.ofNullable(dials.get(chain.head()))
                .ifPresent(
                        d ->
                                d.send(
                                        new Codec.Out(FleetRecords.DUTY_WANT)
                                                .text(key)
                                                .text(holder)
                                                .i64(stamp)
                                                .bytes()));
    }

    private static String ipOf(String holder) {
        var i = holder.indexOf('#');
        return i < 0 ? holder : holder.substring(0, i);
    }

    /**
     * A grant counts from the head of the moment, on our link to it, and not when a newer one is
     * known here.
     */
    private void passGrant(PeerLinks.Link from, byte[] record, Codec.In in) {
        var holder = in.text();
        var key = in.text();
        var ofHead =
                Optional.ofNullable(dials.get(chain.head()))
                        .flatMap(PeerLinks.Dial::link)
                        .filter(h -> h == from)
                        .isPresent();
        if (ofHead && !chain.committed().overtaken(key, in.i64())) {
            Optional.ofNullable(homes.get(ipOf(holder))).ifPresent(l -> l.send(record));
        }
    }

    @Override
    public void onClosed(PeerLinks.Link l) {
        peerRequests.closed(l, "the link to " + l.peer + " closed before an answer");
        if (l.tag instanceof String ip && homes.get(ip) == l) {
            homes.remove(ip);
            routesSent.remove(ip);
            loadSummary.lapse(ip);
        }
    }

    // ---- the shell

    private String query(String q) {
        var now = Clocks.nowUs();
        var b = new StringBuilder();
        var words = q.split(" ");
        if (words.length == 3
                && words[0].equals("would")
                && (words[2].equals("unload") || words[2].equals("load"))) {
            return placement.would(words[1], words[2]);
        }
        switch (q) {
            case "exposure" -> placement.exposure().forEach(f -> b.append(f.text()).append('\n'));
            case "scaling" ->
                    chain.committed()
                            .scales
                            .forEach(
                                    (k, x) ->
                                            b.append(
                                                    String.format(
                                                            "%s desired %d%s grant %d resting %s\n",
                                                            k,
                                                            x.desired(),
                                                            x.pinned()
                                                                    ? " unloaded by the operator"
                                                                    : "",
                                                            x.grant(),
                                                            x.resting())));
            case "members" ->
                    registry.members(now)
                            .forEach(
                                    e ->
                                            b.append(
                                                    String.format(
                                                            "%s %s %s %s%s revision %d lease-age %d"
                                                                    + " ms\n",
                                                            e.ip,
                                                            e.name,
                                                            e.zone,
                                                            e.ready ? "ready" : "not-ready",
                                                            e.leaving ? " leaving" : "",
                                                            e.revision,
                                                            (now - e.heardUs) / 1000)));
            case "chain" ->
                    b.append(
                            String.format(
                                    "mode %s view %d.%s head %s chain %s stale %d ms\nroster %s\n",
                                    chain.mode(),
                                    chain.view().n(),
                                    chain.view().who(),
                                    chain.head(),
                                    chain.chain(),
                                    chain.staleUs(now) / 1000,
                                    chain.committed().roster));
            case "configuration" ->
                    b.append("revision ")
                            .append(chain.committed().revision)
                            .append(" edition ")
                            .append(chain.committed().edition)
                            .append('\n')
                            .append(chain.committed().routingText);
            case "replicas" ->
                    registry.replicas()
                            .forEach(
                                    r ->
                                            b.append(
                                                    String.format(
                                                            "%s %s %s %s %s seq %d beat-age %d ms"
                                                                    + " warm-left %d ms\n",
                                                            r.id,
                                                            r.service,
                                                            r.address,
                                                            r.zone,
                                                            r.gone
                                                                    ? "gone"
                                                                    : r.silent
                                                                            ? "silent"
                                                                            : r.draining
                                                                                    ? "draining"
                                                                                    : "ready",
                                                            r.seq,
                                                            (now - r.heardUs) / 1000,
                                                            Math.max(0, r.warmAtUs - now) / 1000)));
            case "evacuations" ->
                    chain.committed().evacuated.forEach(h -> b.append(h).append('\n'));
            case "homes" ->
                    homes.forEach(
                            (ip, l) ->
                                    b.append(ip).append(" home ").append(settings.ip).append('\n'));
            case "leases" ->
                    chain.committed()
                            .duties
                            .forEach(
                                    (k, d) ->
                                            b.append(
                                                    String.format(
                                                            "%s grant %d holder %s\n",
                                                            k, d.grant, d.holder)));
            case "jobs" -> b.append(chain.committed().jobTable.text(chain.jobClockUs(now)));
            case "traffic" -> b.append(LinkTraffic.text());
            case "log" -> b.append(RingLog.tail(200));
            default ->
                    b.append(
                            "? members chain configuration replicas evacuations homes leases jobs"
                                    + " scaling exposure traffic log; would REGION/MODEL"
                                    + " unload|load\n");
        }
        return b.toString();
    }
}
