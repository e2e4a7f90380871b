package martenloom.core;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import martenloom.common.callers.CallerBounds;
import martenloom.common.callers.Callers;
import martenloom.common.callers.MemoryAccount;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.link.PeerLink;
import martenloom.common.link.PeerLinkHandler;
import martenloom.common.link.PeerLinks;
import martenloom.common.log.RingLog;
import martenloom.common.settings.Settings;
import martenloom.core.admin.ShellQueries;
import martenloom.core.api.ControlApi;
import martenloom.core.api.ControlServer;
import martenloom.core.api.ControlServices;
import martenloom.core.chain.ChainMember;
import martenloom.core.configuration.CompiledRoutes;
import martenloom.core.driver.ChainDriver;
import martenloom.core.driver.ChainMemberFactory;
import martenloom.core.driver.MemberStateStore;
import martenloom.core.edge.ConfigurationPublisher;
import martenloom.core.edge.EdgeLeaseRenewals;
import martenloom.core.edge.EdgeLeaseResponder;
import martenloom.core.edge.EdgeLinks;
import martenloom.core.edge.EdgeSynchronizer;
import martenloom.core.edge.HomeFreshness;
import martenloom.core.edge.RegionCores;
import martenloom.core.forwarding.CommandForwarder;
import martenloom.core.jobs.JobClockUpdater;
import martenloom.core.jobs.RegionJobListing;
import martenloom.core.lease.LeaseRelay;
import martenloom.core.lease.RoleLeaseService;
import martenloom.core.load.LoadPublisher;
import martenloom.core.membership.GracefulShutdown;
import martenloom.core.peer.CorePeerLinks;
import martenloom.core.peer.PeerRegions;
import martenloom.core.peer.PeerRequests;
import martenloom.core.placement.PlacementService;
import martenloom.core.registry.FleetSize;
import martenloom.core.registry.Registry;
import martenloom.core.registry.RegistryCheckpoint;
import martenloom.core.registry.ReplicaEndAnnouncer;
import martenloom.core.registry.ReplicaUpdatePublisher;
import martenloom.core.storage.StorageFolder;
import martenloom.core.storage.VersionedStore;
import martenloom.core.tally.TallyService;
import martenloom.core.warmup.WarmupPermitLender;
import martenloom.core.warmup.WarmupPermits;
import martenloom.core.warmup.WarmupRates;

/**
 * The core program: wires its parts together on one reactor, passes every record to the part that
 * it is for, and lets the parts see the time. Runs on the reactor thread, but for {@link
 * #shutDown}.
 */
public final class CoreDaemon implements PeerLinkHandler {
    private static final long TICK_US = 50_000;
    private static final long PUBLISH_US = 100_000;
    private static final long REPAIR_US = 500_000;
    private static final long LOAD_US = 100_000;
    private static final long FLUSH_TIMEOUT_MS = 300;
    private static final long US_PER_MS = 1_000;

    /** Without proof of a majority for this long, a member may be cut off from the others. */
    private static final long CONTACT_LOST_US = 1_200_000;

    private final Settings settings;
    private final Eventloop loop;
    private final VersionedStore store;
    private final ChainMember chain;
    private final ChainDriver chainDriver;
    private final Registry registry;
    private final FleetSize fleetSize = new FleetSize();
    private final RegistryCheckpoint checkpoint;
    private final PeerRegions regions;
    private final CorePeerLinks peers;
    private final PeerRequests peerRequests = new PeerRequests();
    private final CommandForwarder forwarder;
    private final ReplicaUpdatePublisher updates;
    private final EdgeLinks edges = new EdgeLinks();
    private final ConfigurationPublisher configurations;
    private final EdgeSynchronizer synchronizer;
    private final RegionCores regionCores;
    private final EdgeLeaseRenewals edgeLeases;
    private final RoleLeaseService roleLeases;
    private final LeaseRelay leaseRelay;
    private final WarmupPermits warmupPermits;
    private final JobClockUpdater jobClock;
    private final LoadPublisher load;
    private final PlacementService placement;
    private final TallyService tallies;
    private final ShellQueries shellQueries;
    private final GracefulShutdown shutdown;
    private final ControlApi controlApi;
    private final ControlServer controlServer;

    /** A daemon that does nothing until {@link #start} is called. */
    public CoreDaemon(Settings settings, Eventloop loop, StorageFolder folder) {
        var startedUs = Clocks.nowUs();
        this.settings = settings;
        this.loop = loop;
        store = new VersionedStore(folder);
        var states = new MemberStateStore(store);
        var onDisk = states.load();
        var firstStart = onDisk.isEmpty() && settings.bootstrap();
        chain = new ChainMemberFactory(settings, store).create(onDisk, states);
        registry = new Registry(settings.heartbeatIntervalMs() * US_PER_MS);
        checkpoint = new RegistryCheckpoint(settings, store, registry, fleetSize);
        regions = new PeerRegions(settings, chain);
        peers = new CorePeerLinks(loop, settings, chain, fleetSize, regions, this);
        configurations = new ConfigurationPublisher(chain, edges);
        chainDriver = new ChainDriver(loop, chain, states, peers, configurations::onCommitted);
        forwarder = new CommandForwarder(loop, chain, peers, peerRequests, chainDriver);
        shutdown = new GracefulShutdown(loop, settings, chain, forwarder, this::hasCallers);
        var routes = new CompiledRoutes(chain);
        placement = new PlacementService(settings, chain, registry, routes);
        chain.setPlacementSurvey(() -> placement.current().encode());
        roleLeases = new RoleLeaseService(chain, chainDriver, Clocks::nowUs);
        leaseRelay = new LeaseRelay(chain, roleLeases, peers, edges);
        jobClock = new JobClockUpdater(chain, chainDriver);
        updates = new ReplicaUpdatePublisher(registry, peers, edges);
        load = new LoadPublisher(peers, regions, edges);
        peers.setConnectionListener(load::onPeerConnected);
        regionCores = new RegionCores(regions);
        synchronizer = new EdgeSynchronizer(registry, edges, configurations, regionCores);
        warmupPermits = new WarmupPermits(Clocks.nowUs(), firstStart);
        edgeLeases = edgeLeases(startedUs, routes);
        tallies = new TallyService(loop, settings, folder, peers);
        shellQueries =
                new ShellQueries(
                        settings, chain, registry, placement, edges, tallies.replica()::report);
        controlApi = controlApi(routes);
        controlServer =
                new ControlServer(loop, settings, controlApi, shutdown::hasBegun, apiCallers());
    }

    private EdgeLeaseRenewals edgeLeases(long startedUs, CompiledRoutes routes) {
        var freshness =
                new HomeFreshness(chain, shutdown::hasBegun, startedUs, checkpoint.isRestored());
        var rates = new WarmupRates(settings, registry, routes);
        var lender =
                new WarmupPermitLender(settings, rates, fleetSize, regions, edges, warmupPermits);
        var regionJobs = new RegionJobListing(chain, routes);
        var responder =
                new EdgeLeaseResponder(freshness, registry, fleetSize, peers, regionJobs, lender);
        return new EdgeLeaseRenewals(
                registry, synchronizer, responder, regionJobs, updates, leaseRelay);
    }

    private ControlApi controlApi(CompiledRoutes routes) {
        var ends = new ReplicaEndAnnouncer(loop, chain, registry, peers, peerRequests, updates);
        var services =
                new ControlServices(
                        loop,
                        settings,
                        chain,
                        routes,
                        registry,
                        regions,
                        forwarder,
                        ends,
                        this::acceptsHeartbeats,
                        tallies.replica());
        return new ControlApi(services);
    }

    private Callers apiCallers() {
        var bounds = CallerBounds.ofCore(settings);
        return Callers.at(loop, bounds.connections(), new MemoryAccount(bounds.bytes()));
    }

    private Callers linkCallers() {
        var bounds = CallerBounds.ofCore(settings);
        return Callers.at(loop, bounds.linkConnections(), new MemoryAccount(bounds.linkBytes()));
    }

    // ---- start and end

    /** Opens the listening sockets and the links, and starts the timers. */
    public void start() throws IOException {
        PeerLinks.listen(
                loop,
                new InetSocketAddress(
                        InetAddress.getByName(settings.ipAddress()), settings.firstInternalPort()),
                this,
                linkCallers());
        controlServer.listen();
        peers.dialAll(chain.memberState().state().roster().members());
        peers.dialSeeds();
        tallies.start();
        Clocks.every(loop, TICK_US, this::tick);
        Clocks.every(loop, PUBLISH_US, updates::publish);
        Clocks.every(loop, REPAIR_US, this::repair);
        Clocks.every(loop, LOAD_US, load::publish);
        RingLog.info("core " + settings.nodeName() + " ready at " + controlServer.address());
    }

    /** Closes the links to other core daemons for good. */
    public void stop() {
        RingLog.debug("core stops");
        peers.stop();
    }

    /**
     * Shuts down gracefully; called from another thread at SIGTERM. Returns when the process may
     * end, and whether the chain does without this member.
     */
    public boolean shutDown() {
        var released = shutdown.awaitEnd();
        store.flush(FLUSH_TIMEOUT_MS);
        tallies.flush(FLUSH_TIMEOUT_MS);
        return released;
    }

    private boolean hasCallers() {
        return controlApi.hasCallers()
                || chainDriver.hasCallers()
                || !peerRequests.isEmpty()
                || tallies.replica().hasCallers();
    }

    /**
     * Whether a heartbeat taken here reaches anybody: this member is in contact with a majority, or
     * an edge relies on it. A member that is cut off from all of them refuses, so that its replicas
     * report to another daemon before they are marked as unreachable there; in a zone that is cut
     * off as a whole, the edges of the zone still need what is taken here.
     */
    private boolean acceptsHeartbeats() {
        var nowUs = Clocks.nowUs();
        return chain.stalenessUs(nowUs) < CONTACT_LOST_US || edges.isReliedOn(nowUs);
    }

    // ---- time

    private void tick() {
        var nowUs = Clocks.nowUs();
        chainDriver.tick(nowUs);
        roleLeases.tick(nowUs);
        jobClock.tick(nowUs);
        chainDriver.carryOut();
        registry.sweep(nowUs);
        updates.publishToEdges(nowUs);
        peers.closeSilent();
        tallies.replica().tick(nowUs);
    }

    /** Brings in line what was missed: the checkpoint on disk, rows of the registry, links. */
    private void repair() {
        fleetSize.observeEdges(registry.liveEdges(Clocks.nowUs()).size());
        fleetSize.observeHomes(regions.homesInOwnRegion());
        checkpoint.writeIfChanged();
        warmupPermits.removeExpired(Clocks.nowUs());
        placement.reportExposure(Clocks.nowUs());
        updates.sendDigests();
        peers.dialSeeds();
        peers.forgetUnreachable(Clocks.nowUs());
        peers.sendHello();
    }

    // ---- records

    @Override
    public void onRecord(PeerLink link, byte[] record) {
        var type = record[0];
        if (type <= ChainMember.HIGHEST_MESSAGE_TYPE) {
            chainDriver.onRecord(link.peer(), record);
            return;
        }
        var in = new RecordReader(record, true);
        if (RecordType.isAboutTallies(type)) {
            tallies.replica().onRecord(link.peer(), in);
            return;
        }
        switch (type) {
            case RecordType.HELLO -> peers.onHello(link, in);
            case RecordType.KNOWN_PEERS -> peers.dialAll(in.texts());
            case RecordType.PEER_FEATURES -> peers.onFeatures(link, in);
            case RecordType.REGISTRY_ROWS -> updates.onRows(link, in);
            case RecordType.REGISTRY_RANGE_DIGESTS -> updates.onRangeDigests(link, in);
            case RecordType.REGISTRY_LIVENESS -> updates.onLiveness(link, in);
            case RecordType.REGISTRY_UPDATE -> updates.onUpdate(link, in);
            case RecordType.CONFIRMED_REGISTRY_UPDATE -> updates.onConfirmedUpdate(link, in);
            case RecordType.REGISTRY_DIGEST -> updates.onDigests(link, in);
            case RecordType.ORDER_REQUEST -> forwarder.onCommand(link, in);
            case RecordType.ORDER_RESPONSE -> peerRequests.onAnswer(link, in);
            case RecordType.EDGE_LEASE_RENEWAL -> edgeLeases.onRenewal(link, in, Clocks.nowUs());
            case RecordType.LOAD_SAMPLE -> load.onEdgeSample(in);
            case RecordType.HOME_LOAD -> load.onHomeSum(link, in);
            case RecordType.LOAD_SUBSCRIPTION -> load.onSubscription(link);
            case RecordType.LOAD_UPDATE -> load.onHomeUpdate(link, in);
            case RecordType.OVERLOAD_REPORT -> leaseRelay.onReport(link, record, in);
            case RecordType.RESYNC_REQUEST -> synchronizer.onResyncRequest(link, Clocks.nowUs());
            case RecordType.STATE_SYNC_REQUEST ->
                    synchronizer.onSyncRequest(link, in, Clocks.nowUs());
            case RecordType.EDGE_REQUEST -> forwarder.onEdgeCommand(link, in);
            case RecordType.LEASE_REQUEST -> leaseRelay.onRequest(link, in);
            case RecordType.LEASE_GRANT -> leaseRelay.onGrant(link, record, in);
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
        peers.onClosed(link);
        regionCores.forget(link);
        edges.remove(link).ifPresent(this::onEdgeLost);
    }

    private void onEdgeLost(String edgeIp) {
        configurations.forget(edgeIp);
        load.removeEdge(edgeIp);
    }
}
