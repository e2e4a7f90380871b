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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.link.PeerLink;
import martenloom.common.link.PeerLinkHandler;
import martenloom.common.link.PeerLinks;
import martenloom.common.log.RingLog;
import martenloom.common.settings.IpPort;
import martenloom.common.settings.Settings;
import martenloom.core.admin.ShellQueries;
import martenloom.core.api.ControlApi;
import martenloom.core.chain.Ballot;
import martenloom.core.chain.ChainEffect;
import martenloom.core.chain.ChainMember;
import martenloom.core.chain.PersistentMemberState;
import martenloom.core.configuration.CompiledRoutes;
import martenloom.core.edge.ConfigurationPublisher;
import martenloom.core.edge.EdgeLeaseRenewals;
import martenloom.core.edge.EdgeLeaseResponder;
import martenloom.core.edge.EdgeLinks;
import martenloom.core.forwarding.CommandForwarder;
import martenloom.core.jobs.JobClockUpdater;
import martenloom.core.jobs.RegionJobListing;
import martenloom.core.lease.LeaseRelay;
import martenloom.core.lease.RoleLeaseService;
import martenloom.core.load.LoadPublisher;
import martenloom.core.membership.GracefulShutdown;
import martenloom.core.peer.CorePeerLinks;
import martenloom.core.peer.PeerRequests;
import martenloom.core.placement.PlacementService;
import martenloom.core.registry.Registry;
import martenloom.core.registry.RegistryCheckpoint;
import martenloom.core.registry.ReplicaUpdatePublisher;
import martenloom.core.state.ClusterState;
import martenloom.core.storage.StorageFolder;
import martenloom.core.storage.VersionedStore;
import martenloom.core.warmup.WarmupPermitLender;

/**
 * The core program: puts the chain, its disk, the registry and the control API on one reactor,
 * passes every record to the part that it is for, and turns the clock of the parts. The chain's
 * effects are carried out here and nowhere else. Runs on the reactor thread, but for {@link
 * #leave}.
 */
public final class CoreDaemon implements PeerLinkHandler {
    private static final long TICK_US = 50_000;
    private static final long FLOOD_US = 100_000;
    private static final long DIGEST_US = 500_000;
    private static final long SUM_US = 100_000;

    private static final long FLUSH_MS = 300;

    /** Without word of a majority for this long, a member may be cut off from the others. */
    private static final long CONTACT_US = 1_200_000;

    private static final Duration KEEP_ALIVE = Duration.ofSeconds(30);
    private static final int MOST_BODY = 16 << 20;

    private final Settings settings;
    private final Eventloop loop;
    private final VersionedStore store;
    private final ChainMember chain;
    private final Registry registry;
    private final RegistryCheckpoint memory;
    private final CorePeerLinks peers;
    private final PeerRequests peerRequests = new PeerRequests();
    private final EdgeLinks homes = new EdgeLinks();
    private final CompiledRoutes routes = new CompiledRoutes();
    private final CommandForwarder orders;
    private final GracefulShutdown leave;
    private final PlacementService placement;
    private final RoleLeaseService duties;
    private final LeaseRelay dutyRelay;
    private final JobClockUpdater jobClock;
    private final ReplicaUpdatePublisher replicaNews;
    private final LoadPublisher loads;
    private final ConfigurationPublisher configurations;
    private final WarmupPermitLender coldSends;
    private final EdgeLeaseRenewals renewals;
    private final ShellQueries shellQueries;

    public CoreDaemon(Settings settings, Eventloop loop, StorageFolder folder) {
        var startUs = Clocks.nowUs();
        this.settings = settings;
        this.loop = loop;
        store = new VersionedStore(folder);
        var kept = store.load();
        chain = chain(kept.map(PersistentMemberState::decode));
        registry = new Registry(settings.heartbeatIntervalMs() * 1000L);
        memory = new RegistryCheckpoint(settings, store, registry);
        peers = new CorePeerLinks(loop, settings, chain, memory, this);
        orders = new CommandForwarder(loop, settings, chain, peers, peerRequests, this::carryOut);
        leave = new GracefulShutdown(loop, settings, chain, orders::submit, orders::owesAnswers);
        placement = new PlacementService(settings, chain, registry, routes::of);
        chain.setPlacementSurvey(() -> placement.now().encode());
        duties = new RoleLeaseService(chain, orders::submitLocally, Clocks::nowUs);
        dutyRelay = new LeaseRelay(chain, duties, peers, homes);
        jobClock = new JobClockUpdater(chain, orders);
        replicaNews =
                new ReplicaUpdatePublisher(
                        loop, settings, chain, registry, peers, peerRequests, homes);
        loads = new LoadPublisher(settings, peers, homes);
        configurations = new ConfigurationPublisher(chain, homes);
        var firstStart = kept.isEmpty() && settings.bootstrap();
        coldSends =
                new WarmupPermitLender(
                        settings, chain, registry, routes, memory, peers, homes, firstStart);
        var regionJobs = new RegionJobListing(chain, routes);
        var news =
                new EdgeLeaseResponder(
                        chain, registry, memory, peers, regionJobs, coldSends, leave, startUs);
        renewals =
                new EdgeLeaseRenewals(
                        registry, homes, configurations, news, regionJobs, replicaNews, dutyRelay);
        shellQueries = new ShellQueries(settings, chain, registry, placement, homes);
    }

    /** The chain on what the disk holds; a founder with an empty disk begins a new state. */
    private ChainMember chain(Optional<PersistentMemberState> onDisk) {
        var disk = onDisk;
        if (disk.isEmpty() && !store.isDamaged() && settings.bootstrap() && founder()) {
            disk = Optional.of(founded());
            store.write(disk.get().encode());
        }
        RingLog.debug(
                "core "
                        + settings.nodeName()
                        + " starts, disk "
                        + disk.map(member -> "edition " + member.state().edition())
                                .orElse("empty"));
        var life = new SecureRandom().nextLong();
        var core = new ChainMember(settings.ipAddress(), life, disk, nearness(), Clocks.nowUs());
        core.setDowntimeUs(store.downtimeUs());
        core.setMinimumRosterSize(2 * Math.max(1, settings.toleratedMachineFailures()) + 1);
        return core;
    }

    private boolean founder() {
        return CorePeerLinks.seedIps(settings).contains(settings.ipAddress());
    }

    private PersistentMemberState founded() {
        return new PersistentMemberState(
                Ballot.ZERO, Ballot.ZERO, ClusterState.founded(CorePeerLinks.seedIps(settings)));
    }

    /**
     * Members of our own zone come first down the chain, so that it crosses between regions as
     * seldom as it can.
     */
    private Comparator<String> nearness() {
        var network = settings.ipAddress().substring(0, settings.ipAddress().lastIndexOf('.') + 1);
        return Comparator.<String, Boolean>comparing(member -> !member.startsWith(network))
                .thenComparing(member -> member);
    }

    public void start() throws IOException {
        PeerLinks.listen(
                loop,
                new InetSocketAddress(
                        InetAddress.getByName(settings.ipAddress()), settings.firstInternalPort()),
                this);
        listenForCallers();
        peers.dialAll(chain.memberState().state().roster().members());
        peers.dialSeeds();
        Clocks.every(loop, TICK_US, this::tick);
        Clocks.every(loop, FLOOD_US, replicaNews::flood);
        Clocks.every(loop, DIGEST_US, this::mend);
        Clocks.every(loop, SUM_US, loads::publish);
        RingLog.info(
                "core "
                        + settings.nodeName()
                        + " ready at "
                        + settings.requiredListenAddress("ControlPlane"));
    }

    private void listenForCallers() throws IOException {
        var controlApi =
                new ControlApi(
                        loop,
                        settings,
                        registry,
                        this::acceptsHeartbeats,
                        orders::submit,
                        replicaNews::tellMajority,
                        () -> routes.of(chain.committed()),
                        chain::committed,
                        peers::regionOutside,
                        orders::inTouch);
        var addresses = new LinkedHashSet<InetSocketAddress>();
        addresses.add(IpPort.parse("ControlPlane", settings.requiredListenAddress("ControlPlane")));
        if (settings.listenAddresses().containsKey("Directory")) {
            addresses.add(IpPort.parse("Directory", settings.requiredListenAddress("Directory")));
        }
        HttpServer.builder(
                        loop,
                        request ->
                                leave.begun()
                                        ? Promise.of(GracefulShutdown.goElsewhere())
                                        : controlApi.serve(request))
                .withListenAddresses(List.copyOf(addresses))
                .withKeepAliveTimeout(KEEP_ALIVE)
                .withMaxBodySize(MOST_BODY)
                .build()
                .listen();
    }

    public void stop() {
        RingLog.debug("core stops");
        peers.stop();
    }

    /**
     * Called from another thread at SIGTERM; returns when the process may end, and says whether the
     * chain does without it.
     */
    public boolean leave() {
        var inOrder = leave.run();
        store.flush(FLUSH_MS);
        return inOrder;
    }

    /**
     * Whether a heartbeat taken here reaches anybody: this member is in contact with a majority, or
     * an edge relies on it. A member that is cut off from all of them refuses, so that its replicas
     * report to another daemon before they are taken for silent there; in a zone that is cut off as
     * a whole, the edges of the zone still need what is taken here.
     */
    private boolean acceptsHeartbeats() {
        var now = Clocks.nowUs();
        return chain.stalenessUs(now) < CONTACT_US || homes.reliedOn(now);
    }

    // ---- time

    private void tick() {
        var now = Clocks.nowUs();
        chain.setKnownMembers(peers.dialed());
        chain.onTick(now);
        carryOut();
        duties.tick(now);
        jobClock.tick(now);
        carryOut();
        registry.sweep(now);
        replicaNews.tellHomes(now);
        peers.closeSilent();
    }

    /** Brings in line what was missed: notes on disk, rows of the registry, links. */
    private void mend() {
        memory.sawEdges(registry.members(Clocks.nowUs()).size());
        memory.sawHomes(peers.homesInRegion());
        memory.keep();
        coldSends.sweep(Clocks.nowUs());
        placement.watch(Clocks.nowUs());
        replicaNews.sendDigests();
        peers.dialSeeds();
        peers.forgetGone(Clocks.nowUs());
        peers.sendHello();
    }

    // ---- the chain's effects

    private void carryOut() {
        for (var effects = chain.drainEffects();
                !effects.isEmpty();
                effects = chain.drainEffects()) {
            effects.forEach(this::carryOut);
        }
    }

    private void carryOut(ChainEffect effect) {
        if (effect instanceof ChainEffect.SendMessage send) {
            peers.dial(send.to());
            peers.send(send.to(), send.record());
        } else if (effect instanceof ChainEffect.PersistState write) {
            keep(write);
        } else if (effect instanceof ChainEffect.CompleteRequest answer) {
            orders.onDecided(answer);
        } else if (effect instanceof ChainEffect.StateCommitted committed) {
            onCommitted(committed.state());
        }
    }

    private void keep(ChainEffect.PersistState write) {
        loop.startExternalTask();
        store.writeAsync(
                () -> write.memberState().encode(),
                () -> {
                    loop.execute(() -> onStored(write.token()));
                    loop.completeExternalTask();
                });
    }

    private void onStored(long token) {
        chain.onPersisted(Clocks.nowUs(), token);
        carryOut();
    }

    private void onCommitted(ClusterState state) {
        RingLog.debug(
                "committed edition "
                        + state.edition()
                        + " revision "
                        + state.configuration().revision()
                        + " in view "
                        + chain.view());
        peers.dialAll(state.roster().members());
        configurations.onCommitted(state);
    }

    // ---- records

    @Override
    public void onRecord(PeerLink link, byte[] record) {
        var type = record[0];
        if (type <= ChainMember.HIGHEST_MESSAGE_TYPE) {
            chain.onMessage(Clocks.nowUs(), link.peer(), record);
            carryOut();
            return;
        }
        var in = new RecordReader(record, true);
        switch (type) {
            case RecordType.HELLO -> peers.onHello(link, in);
            case RecordType.KNOWN_PEERS -> peers.dialAll(in.texts());
            case RecordType.REGISTRY_UPDATE -> replicaNews.onFlood(link, in);
            case RecordType.CONFIRMED_REGISTRY_UPDATE -> replicaNews.onConfirmedFlood(link, in);
            case RecordType.REGISTRY_DIGEST -> replicaNews.onDigests(link, in);
            case RecordType.ORDER_REQUEST -> orders.onOrder(link, in);
            case RecordType.ORDER_RESPONSE -> peerRequests.onAnswer(link, in);
            case RecordType.EDGE_LEASE_RENEWAL -> renewals.onRenew(link, in, Clocks.nowUs());
            case RecordType.LOAD_SAMPLE -> loads.onEdgeSample(in);
            case RecordType.HOME_LOAD -> loads.onHomeSum(in);
            case RecordType.OVERLOAD_REPORT -> dutyRelay.onReport(link, record, in);
            case RecordType.RESYNC_REQUEST -> renewals.onResync(link, Clocks.nowUs());
            case RecordType.EDGE_REQUEST -> orders.onEdgeOrder(link, in);
            case RecordType.LEASE_REQUEST -> dutyRelay.onRequest(link, in);
            case RecordType.LEASE_GRANT -> dutyRelay.onGrant(link, record, in);
            case RecordType.SHELL_QUERY -> answerQuery(link, in.text());
            default -> RingLog.debug("link " + link.peer() + ": unknown record " + type);
        }
    }

    private void answerQuery(PeerLink link, String query) {
        link.send(
                new RecordWriter(RecordType.SHELL_RESPONSE)
                        .text(shellQueries.answer(query))
                        .bytes());
    }

    @Override
    public void onClosed(PeerLink link) {
        peerRequests.onClosed(link);
        homes.remove(link).ifPresent(this::edgeLost);
    }

    private void edgeLost(String edgeIp) {
        configurations.forget(edgeIp);
        loads.removeEdge(edgeIp);
    }
}
