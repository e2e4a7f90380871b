package martenloom.edge;

import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.activej.reactor.net.SocketSettings;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import martenloom.autoscaler.ScalingSettings;
import martenloom.common.callers.CallerBounds;
import martenloom.common.callers.Callers;
import martenloom.common.callers.MemoryAccount;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.link.PeerFeatures;
import martenloom.common.link.PeerLink;
import martenloom.common.link.PeerLinkHandler;
import martenloom.common.link.PeerLinks;
import martenloom.common.log.RingLog;
import martenloom.common.settings.IpPort;
import martenloom.common.settings.Settings;
import martenloom.edge.admin.ShellQueries;
import martenloom.edge.dispatch.ClientConnection;
import martenloom.edge.dispatch.RequestDispatcher;
import martenloom.edge.home.CoreClient;
import martenloom.edge.home.HomeConnection;
import martenloom.edge.jobs.JobListing;
import martenloom.edge.jobs.JobRunner;
import martenloom.edge.lease.RoleLeases;
import martenloom.edge.lifecycle.GracefulShutdown;
import martenloom.edge.lifecycle.Readiness;
import martenloom.edge.load.ClusterLoadView;
import martenloom.edge.load.LoadSampler;
import martenloom.edge.overload.OverloadReport;
import martenloom.edge.overload.OverloadReportPublisher;
import martenloom.edge.replica.ReplicaTable;
import martenloom.edge.scaling.RegionScaler;
import martenloom.edge.scaling.ScalingOrders;
import martenloom.edge.subscription.ConfigurationReceiver;
import martenloom.edge.subscription.EdgeSubscription;
import martenloom.edge.subscription.RenewalWriter;

/**
 * The edge program: puts its parts on a reactor, starts what is done at intervals, and passes each
 * record to the part that it concerns. When the core is lost, the edge goes on with the last good
 * state. Everything but {@link #shutDown} and the getters runs on the reactor thread.
 */
public final class EdgeDaemon implements PeerLinkHandler {
    private static final long DISPATCH_INTERVAL_US = 20_000;
    private static final long SWEEP_INTERVAL_US = 500_000;
    private static final long RENEWAL_INTERVAL_US = 400_000;
    private static final long SAMPLE_INTERVAL_US = 100_000;
    private static final long REPORT_INTERVAL_US = 250_000;
    private static final long JOB_INTERVAL_US = 200_000;
    private static final long SCALING_INTERVAL_US = 200_000;

    /** Every so many samples the counters are logged, if the log is to be chatty. */
    private static final int SAMPLES_PER_LOG = 50;

    /** The records that count only from the home of the moment, on the link to it. */
    private static final Set<Integer> FROM_HOME_ONLY =
            Set.of(
                    RecordType.EDGE_LEASE_RESPONSE,
                    RecordType.CONFIGURATION,
                    RecordType.REGION_CORES,
                    RecordType.RETURNED_ZONES,
                    RecordType.REPLICA_UPDATE,
                    RecordType.REPLICA_CHANGES,
                    RecordType.REPLICA_RANGES,
                    RecordType.LEASE_GRANT,
                    RecordType.JOB_LIST,
                    RecordType.ORDER_RESPONSE,
                    RecordType.TOTAL_LOAD,
                    RecordType.LOAD_UPDATE,
                    RecordType.OVERLOAD_REPORT);

    private final Settings settings;
    private final Eventloop loop;
    private final RequestDispatcher dispatcher;
    private final ReplicaTable replicaTable;
    private final Readiness readiness = new Readiness();
    private final RoleLeases roles;
    private final RenewalWriter renewals;
    private final HomeConnection home;
    private final CoreClient core;
    private final RegionScaler scaler;
    private final JobRunner jobs;
    private final ConfigurationReceiver configuration;
    private final EdgeSubscription subscription;
    private final LoadSampler sampler;
    private final ClusterLoadView load;
    private final OverloadReportPublisher overloadReports;
    private final ShellQueries shell;
    private Optional<SimpleServer> frontend = Optional.empty();
    private int samples;

    public EdgeDaemon(Settings settings, Eventloop loop) {
        this(settings, loop, ScalingSettings.DEFAULT);
    }

    /**
     * Creates an edge that is not started.
     *
     * @param scaling the settings of models for which the configuration has none
     */
    public EdgeDaemon(Settings settings, Eventloop loop, ScalingSettings scaling) {
        this.settings = settings;
        this.loop = loop;
        replicaTable = new ReplicaTable(settings);
        dispatcher = new RequestDispatcher(loop, settings, replicaTable);
        var incarnation = System.nanoTime() ^ ThreadLocalRandom.current().nextLong();
        roles = new RoleLeases(settings, dispatcher, replicaTable, incarnation);
        renewals =
                new RenewalWriter(
                        settings, dispatcher, replicaTable, readiness, roles, incarnation);
        home = new HomeConnection(settings, loop, this, this::writeRenewal, this::writeSyncRequest);
        core = new CoreClient(loop, home);
        scaler =
                new RegionScaler(
                        dispatcher,
                        replicaTable,
                        settings.region(),
                        scaling,
                        new ScalingOrders(core));
        jobs =
                new JobRunner(
                        dispatcher,
                        core,
                        () -> roles.holdsJobRole(Clocks.nowUs()),
                        (delayUs, task) -> Clocks.after(loop, delayUs, task),
                        settings.ipAddress());
        configuration = new ConfigurationReceiver(home, dispatcher, scaler);
        subscription =
                new EdgeSubscription(
                        settings, home, replicaTable, dispatcher, configuration, readiness);
        sampler = new LoadSampler(replicaTable, dispatcher, settings.ipAddress(), incarnation);
        load = new ClusterLoadView(replicaTable, dispatcher, sampler, home::send);
        overloadReports =
                new OverloadReportPublisher(settings, dispatcher, replicaTable, this::publish);
        shell = new ShellQueries(dispatcher, jobs, scaler, roles, this::homeLine);
    }

    /** Completed when the edge becomes ready. */
    public CompletableFuture<Boolean> whenReady() {
        return readiness.whenReady();
    }

    /** How many edges the last total was of. */
    public int edgesHeard() {
        return load.total().edgeCount();
    }

    /** The revision of the configuration that is in force here. Thread-safe. */
    public long revision() {
        return configuration.revision();
    }

    /** The replicas that this edge knows. */
    public ReplicaTable replicaTable() {
        return replicaTable;
    }

    /** Listens, picks a home and starts all that is done at intervals. */
    public void start() throws IOException {
        PeerLinks.listen(
                loop,
                new InetSocketAddress(
                        InetAddress.getByName(settings.ipAddress()), settings.firstInternalPort()),
                this,
                fewCallers());
        readiness.listen(
                loop,
                IpPort.parse("Readiness", settings.requiredListenAddress("Readiness")),
                fewCallers());
        listenForClients();
        home.open();
        Clocks.every(loop, DISPATCH_INTERVAL_US, dispatcher::tick);
        Clocks.every(loop, SWEEP_INTERVAL_US, dispatcher::sweep);
        Clocks.every(loop, RENEWAL_INTERVAL_US, home::renew);
        Clocks.every(loop, SAMPLE_INTERVAL_US, this::sendSample);
        Clocks.every(loop, REPORT_INTERVAL_US, this::reportOverload);
        Clocks.every(loop, JOB_INTERVAL_US, jobs::tick);
        Clocks.every(loop, SCALING_INTERVAL_US, this::scale);
        RingLog.info(
                "edge "
                        + settings.nodeName()
                        + " listens at "
                        + settings.requiredListenAddress("Frontend"));
    }

    /** The callers of a listener to which only daemons and the platform connect. */
    private Callers fewCallers() {
        var bounds = CallerBounds.ofEdge(settings);
        return Callers.at(loop, bounds.linkConnections(), new MemoryAccount(bounds.linkBytes()));
    }

    private void listenForClients() throws IOException {
        var server =
                SimpleServer.builder(loop, socket -> new ClientConnection(loop, socket, dispatcher))
                        .withAcceptFilter(dispatcher.callers().acceptFilter())
                        .withSocketSettings(SocketSettings.builder().withTcpNoDelay(true).build())
                        .withListenAddress(
                                IpPort.parse(
                                        "Frontend", settings.requiredListenAddress("Frontend")))
                        .build();
        server.listen();
        frontend = Optional.of(server);
    }

    /** Called from another thread at SIGTERM; returns when the process may end. */
    public void shutDown() {
        var shutdown =
                new GracefulShutdown(
                        loop,
                        dispatcher,
                        settings.bounds(),
                        () -> frontend.ifPresent(SimpleServer::close));
        loop.execute(
                () -> {
                    readiness.drain();
                    RingLog.debug("draining");
                    home.renew();
                    shutdown.begin();
                });
        shutdown.await();
    }

    // ---- at intervals

    private byte[] writeRenewal() {
        return renewals.write(
                configuration.revision(), subscription.jobsExist() || jobs.isRunningAny());
    }

    private byte[] writeSyncRequest() {
        return subscription.syncRequest();
    }

    private void sendSample() {
        samples++;
        if (RingLog.ECHO && samples % SAMPLES_PER_LOG == 0) {
            RingLog.debug(
                    "overload "
                            + shell.answer("overload").replace('\n', ';')
                            + " "
                            + shell.answer("counters"));
        }
        home.link().ifPresent(link -> sampler.sampleRecord(Clocks.nowUs()).ifPresent(link::send));
    }

    private void reportOverload() {
        var now = Clocks.nowUs();
        overloadReports.tick(roles.heldReportingRoles(now), now);
    }

    /** The home passes a report on to the edges elsewhere, by their homes. */
    private void publish(OverloadReport report) {
        var out = new RecordWriter(RecordType.OVERLOAD_REPORT);
        report.write(out);
        RingLog.debug("report " + report);
        home.send(out.bytes());
    }

    private void scale() {
        var now = Clocks.nowUs();
        scaler.tick(
                roles.scalingToken(now),
                load.total(),
                load.isReliable(subscription.edges(), now),
                now);
    }

    // ---- records

    @Override
    public void onRecord(PeerLink link, byte[] record) {
        var in = new RecordReader(record, true);
        if (in.type() == RecordType.PEER_FEATURES) {
            PeerFeatures.onRecord(link, in);
            return;
        }
        if (home.isCandidate(link)) {
            onRecordOfCandidate(link, in);
            return;
        }
        if (FROM_HOME_ONLY.contains(in.type()) && !home.isHome(link)) {
            RingLog.debug(
                    "link "
                            + link.peer()
                            + ": record "
                            + in.type()
                            + " is not from the home, dropped");
            return;
        }
        switch (in.type()) {
            case RecordType.HELLO -> onHello(link, in);
            case RecordType.KNOWN_PEERS -> {}
            case RecordType.EDGE_LEASE_RESPONSE -> subscription.onResponse(link, in);
            case RecordType.CONFIGURATION -> configuration.onConfiguration(in);
            case RecordType.REGION_CORES -> home.onRegionCores(in.texts());
            case RecordType.RETURNED_ZONES -> configuration.onReturnedZones(in);
            case RecordType.REPLICA_UPDATE -> subscription.onReplicas(in);
            case RecordType.REPLICA_CHANGES -> subscription.onChanges(in);
            case RecordType.REPLICA_RANGES -> subscription.onRanges(in);
            case RecordType.LEASE_GRANT -> onGrant(in);
            case RecordType.JOB_LIST -> jobs.onListings(in.list(JobListing::read));
            case RecordType.ORDER_RESPONSE -> core.onReply(link, in);
            case RecordType.TOTAL_LOAD -> load.onTotal(in, Clocks.nowUs());
            case RecordType.LOAD_UPDATE -> load.onUpdate(in, Clocks.nowUs());
            case RecordType.OVERLOAD_REPORT -> onReport(OverloadReport.read(in));
            case RecordType.SHELL_QUERY -> onQuery(link, in);
            default -> RingLog.debug("link " + link.peer() + ": unknown record " + in.type());
        }
    }

    private void onRecordOfCandidate(PeerLink link, RecordReader in) {
        switch (in.type()) {
            case RecordType.EDGE_LEASE_RESPONSE -> subscription.onResponse(link, in);
            case RecordType.REGION_CORES -> home.onRegionCores(in.texts());
            default -> {}
        }
    }

    private static void onHello(PeerLink link, RecordReader in) {
        link.setPeer(in.text());
        link.send(new RecordWriter(RecordType.KNOWN_PEERS).bytes());
    }

    private void onGrant(RecordReader in) {
        if (!in.text().equals(roles.holder())) {
            return;
        }
        var role = in.text();
        var fencingToken = in.i64();
        if (roles.onGrant(role, fencingToken, in.i64(), in.i64(), Clocks.nowUs())
                && roles.isJobRole(role)) {
            jobs.onLease(fencingToken);
        }
    }

    private void onReport(OverloadReport report) {
        if (!report.region().equals(settings.region())) {
            dispatcher.overloadReports().onReport(report, Clocks.nowUs());
        }
    }

    private void onQuery(PeerLink link, RecordReader in) {
        link.send(
                new RecordWriter(RecordType.SHELL_RESPONSE).text(shell.answer(in.text())).bytes());
    }

    @Override
    public void onClosed(PeerLink link) {
        core.onClosed(link);
        RingLog.debug("link " + link.peer() + " closed");
    }

    private String homeLine() {
        return home.ip()
                + (readiness.isReady() ? " ready" : " not ready")
                + " edition "
                + configuration.edition()
                + " revision "
                + configuration.revision()
                + '\n';
    }
}
