package martenloom.core;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.Codec;
import martenloom.common.fleet.FleetRecords;
import martenloom.common.jobs.Job;
import martenloom.common.link.PeerLinks;
import martenloom.common.log.RingLog;
import martenloom.common.settings.Settings;
import martenloom.core.api.ControlApi;
import martenloom.core.chain.ChainCore;
import martenloom.core.duty.DutyService;
import martenloom.core.placement.PlacementService;
import martenloom.core.registry.ColdSendLeases;
import martenloom.core.registry.Registry;
import martenloom.core.state.CoreState;
import martenloom.core.storage.VersionedStore;

/**
 * The core program: puts the chain, its disk, the registry and the desk on one reactor, and carries
 * records between the core daemons and to the edges that made this daemon their home. The chain's
 * commands are carried out here and nowhere else.
 */
public final class CoreDaemon implements PeerLinks.Handler {
    private static final long TICK_US = 50_000;
    private static final long FLOOD_US = 100_000;
    private static final long DIGEST_US = 500_000;

    private static final long SUM_US = 100_000;
    private static final long WANT_US = 350_000;

    private static final long FLUSH_MS = 300;

    /** Without word of a majority for this long, a member may be cut off from the others. */
    private static final long CONTACT_US = 1_200_000;

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
    private final FleetMemory memory;
    private final CorePeers peers;
    private final PeerRequests peerRequests = new PeerRequests();
    private final OrderForwarding orders;
    private final ReplicaNews replicaNews;
    private final LoadExchange loads;
    private final JobClock jobClock;
    private final CompiledRoutes routes = new CompiledRoutes();
    private final DutyService duties;
    private final PlacementService placement;
    private final ShellQueries shellQueries;
    private final HomeLinks homes = new HomeLinks();
    private final long startUs = Clocks.nowUs();
    private final ColdSendLeases warm;
    private final Map<String, Long> wanted = new HashMap<>();
    private final Map<String, Long> routesSent = new HashMap<>();

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
                                    CoreState.founded(CorePeers.seedIps(settings))));
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
        memory = new FleetMemory(p, store, registry);
        peers = new CorePeers(loop, p, chain, memory, this);
        orders = new OrderForwarding(loop, p, chain, peers, peerRequests, this::carryOut);
        replicaNews = new ReplicaNews(loop, p, chain, registry, peers, peerRequests, homes);
        jobClock = new JobClock(chain, orders);
        loads = new LoadExchange(p, peers, homes);
        chain.onLeastRoster(2 * Math.max(1, p.tolerateMachines) + 1);
        placement = new PlacementService(p, chain, registry, routes::of);
        chain.onSurvey(() -> placement.now().text());
        leave = new OrderlyLeave(loop, p, chain, orders::handOver, orders::owesAnswers);
        shellQueries = new ShellQueries(p, chain, registry, placement, homes);
        duties = new DutyService(chain, orders::askHere, Clocks::nowUs);
        warm = new ColdSendLeases(Clocks.nowUs(), kept.isEmpty() && p.bootstrap);
    }

    private boolean founder() {
        return CorePeers.seedIps(settings).contains(settings.ip);
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
                        orders::handOver,
                        replicaNews::tellMajority,
                        () -> routes.of(chain.committed()),
                        chain::committed,
                        peers::regionOutside,
                        orders::inTouch);
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
        peers.dialAll(chain.memberState().state.roster);
        peers.dialSeeds();
        Clocks.every(loop, TICK_US, this::tick);
        Clocks.every(loop, FLOOD_US, replicaNews::flood);
        Clocks.every(loop, DIGEST_US, this::mend);
        Clocks.every(loop, SUM_US, loads::exchange);
        RingLog.say("core " + settings.name + " ready at " + settings.need("ControlPlane"));
    }

    public void stop() {
        RingLog.note("core stops");
        peers.stop();
    }

    /**
     * Whether a heartbeat taken here reaches anybody: this member is in contact with a majority, or
     * an edge relies on it. A member that is cut off from all of them refuses, so that its replicas
     * report to another daemon before they are taken for silent there; in a zone that is cut off as
     * a whole, the edges of the zone still need what is taken here.
     */
    private boolean acceptsHeartbeats() {
        var now = Clocks.nowUs();
        return chain.staleUs(now) < CONTACT_US || homes.reliedOn(now);
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

    // ---- time

    private void tick() {
        var now = Clocks.nowUs();
        chain.onKnown(peers.dialed());
        chain.onTick(now);
        carryOut();
        duties.tick(now);
        jobClock.tick(now);
        carryOut();
        registry.sweep(now);
        replicaNews.tellHomes(now);
        peers.closeSilent();
    }

    private void mend() {
        memory.sawEdges(registry.members(Clocks.nowUs()).size());
        memory.sawHomes(peers.homesInRegion());
        memory.keep();
        warm.sweep(Clocks.nowUs());
        placement.watch(Clocks.nowUs());
        replicaNews.sendDigests();
        peers.dialSeeds();
        peers.forgetGone(Clocks.nowUs());
        peers.sendHello();
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
        if (homes.edgeOf(l).isPresent()) {
            peers.sendAll(record);
        }
        homes.sendAll(record);
    }

    // ---- the chain's commands

    private void carryOut() {
        for (var l = chain.drain(); !l.isEmpty(); l = chain.drain()) {
            l.forEach(this::carryOut);
        }
    }

    private void carryOut(ChainCore.Command c) {
        if (c instanceof ChainCore.Send s) {
            peers.dial(s.to());
            peers.send(s.to(), s.record());
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
            orders.onDecided(a);
        } else if (c instanceof ChainCore.Committed m) {
            RingLog.note(
                    "committed edition "
                            + m.state().edition
                            + " revision "
                            + m.state().revision
                            + " in view "
                            + chain.view());
            peers.dialAll(m.state().roster);
            var whole = configuration(m.state(), true);
            var short1 = configuration(m.state(), false);
            homes.forEach(
                    (ip, l) ->
                            l.send(
                                    routesSent.getOrDefault(ip, -1L) == m.state().revision
                                            ? short1
                                            : whole));
            homes.edgeIps().forEach(ip -> routesSent.put(ip, m.state().revision));
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
            case FleetRecords.HELLO -> peers.onHello(l, in);
            case FleetRecords.HEARD -> peers.dialAll(in.texts());
            case FleetRecords.FLOOD -> replicaNews.onFlood(l, in);
            case FleetRecords.FLOOD_CONFIRMED -> replicaNews.onConfirmedFlood(l, in);
            case FleetRecords.DIGEST -> replicaNews.onDigests(l, in);
            case FleetRecords.ASK -> orders.onOrder(l, in);
            case FleetRecords.ANSWER -> peerRequests.onAnswer(l, in);
            case FleetRecords.RENEW -> renew(l, in);
            case FleetRecords.SAMPLE -> loads.onSample(in);
            case FleetRecords.HOME_SUM -> loads.onHomeSum(in);
            case FleetRecords.REPORT -> onReport(l, record);
            case FleetRecords.RESYNC -> {
                configurationWhole(l.tag instanceof String ip ? ip : "", l);
                l.send(registry.rows(registry.replicas(), true, Clocks.nowUs()));
            }
            case FleetRecords.EDGE_ASK -> orders.onEdgeOrder(l, in);
            case FleetRecords.DUTY_WANT -> duties.want(in.text(), in.text(), in.i64(), l::send);
            case FleetRecords.DUTY_GRANT -> passGrant(l, record, in);
            case FleetRecords.QUERY ->
                    l.send(
                            new Codec.Out(FleetRecords.TEXT)
                                    .text(shellQueries.answer(in.text()))
                                    .bytes());
            default -> RingLog.note("link " + l.peer + ": unknown record " + t);
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
        if (homes.bind(e.ip, l)) {
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
            replicaNews.flood();
        }
    }

    private byte[] news(long now, long stamp, FleetRecords.Edge e, List<String> cold) {
        var s = chain.committed();
        var o =
                new Codec.Out(FleetRecords.NEWS)
                        .i64(stamp)
                        .i64(now - startUs + (memory.restored() ? 10_000_000 : 0))
                        .i64(leave.begun() ? OrderlyLeave.FAR_TOO_OLD_US : chain.staleUs(now))
                        .i64(s.edition)
                        .i32(registry.edgeDigest())
                        .i32(memory.mostEdges())
                        .i32(registry.members(now).size());
        o.texts(peers.reachable())
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
        var t = routes.of(chain.committed());
        for (var id : cold) {
            var svc =
                    registry.replica(id)
                            .flatMap(r -> Optional.ofNullable(t.services.get(r.service)));
            var all =
                    svc.map(x -> x.coldPerS(settings.bounds.warmOverage, settings.bounds.warmSlack))
                            .orElse(0);
            var n =
                    memory.mostEdges() <= all + LENT_APART
                            ? 0
                            : warm.lend(
                                    id,
                                    e.ip,
                                    all / Math.max(memory.mostHomes(), peers.homesInRegion()),
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
        var t = routes.of(s);
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
            homes.link(ipOf(holder)).ifPresent(l -> duties.want(key, holder, stamp, l::send));
            return;
        }
        peers.headLink()
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
        var ofHead = peers.headLink().filter(h -> h == from).isPresent();
        if (ofHead && !chain.committed().overtaken(key, in.i64())) {
            homes.link(ipOf(holder)).ifPresent(l -> l.send(record));
        }
    }

    @Override
    public void onClosed(PeerLinks.Link l) {
        peerRequests.onClosed(l);
        homes.remove(l)
                .ifPresent(
                        ip -> {
                            routesSent.remove(ip);
                            loads.edgeLost(ip);
                        });
    }
}
