package martenloom.edge;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.net.SimpleServer;
import io.activej.reactor.net.SocketSettings;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import martenloom.autoscaler.ScalingSettings;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.fleet.RecordType;
import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.link.PeerLink;
import martenloom.common.link.PeerLinkHandler;
import martenloom.common.link.PeerLinks;
import martenloom.common.log.RingLog;
import martenloom.common.settings.IpPort;
import martenloom.common.settings.Settings;
import martenloom.edge.dispatch.ClientConnection;
import martenloom.edge.dispatch.RequestDispatcher;
import martenloom.edge.jobs.JobRunner;
import martenloom.edge.overload.OverloadReport;
import martenloom.edge.overload.OverloadReportPublisher;
import martenloom.edge.replica.ReplicaPlacement;
import martenloom.edge.replica.ReplicaTable;
import martenloom.edge.replica.WarmupPermits;
import martenloom.edge.scaling.ScaleRunner;
import martenloom.routing.language.RoutingLanguage;

/**
 * The edge program: puts the dispatcher on a reactor, subscribes to a home daemon of the core in
 * its zone for configurations, replicas, tells the home its part of the load and takes the sums of
 * all, and sends and takes overload reports by the same way. When the core is lost, it goes on with
 * the last good state. The choice of the home, requests to the core, duties and answers to the
 * shell have classes of their own; here each record is passed to the one it concerns. Everything
 * but {@link #leave} and the getters runs on the thread of the reactor.
 */
public final class EdgeDaemon implements PeerLinkHandler {
    private static final long RENEW_US = 400_000;
    private static final long SAMPLE_US = 100_000;
    private static final long REPORT_US = 250_000;
    private static final long SCALE_US = 200_000;

    /** The age up to which the sums over all edges are taken as those of now. */
    private static final long SUMS_FRESH_US = 1_400_000;

    /** The records that count only from the home of the moment, on the link to it. */
    private static final Set<Integer> OF_THE_HOME =
            Set.of(
                    RecordType.EDGE_LEASE_RESPONSE,
                    RecordType.CONFIGURATION,
                    RecordType.REPLICA_UPDATE,
                    RecordType.LEASE_GRANT,
                    RecordType.JOB_LIST,
                    RecordType.ORDER_RESPONSE,
                    RecordType.TOTAL_LOAD,
                    RecordType.OVERLOAD_REPORT);

    private final Settings settings;
    private final Eventloop loop;
    private final RequestDispatcher dispatcher;
    private final ReplicaTable replicaTable;
    private final JobRunner jobs;
    private final CompletableFuture<Boolean> readied = new CompletableFuture<>();
    private final HomeConnection home;
    private final ShellQueries shell;
    private final CoreClient core;
    private long scaleOrders;
    private boolean jobsLive;
    private final long life = System.nanoTime() ^ ThreadLocalRandom.current().nextLong();
    private final LoadView load;
    private final ScaleRunner scaler;
    private int edgesNow;
    private final OverloadReportPublisher overloadReports;
    private final RoleLeaseClient duties;
    private Optional<SimpleServer> frontend = Optional.empty();
    private long renewals;
    private long edition = -1;
    private volatile long revision;
    private boolean ready;
    private boolean leaving;
    private long firstNewsUs;
    private int mismatches;
    private int mostEdges = 1;
    private int turn;

    public EdgeDaemon(Settings settings, Eventloop loop) {
        this(settings, loop, ScalingSettings.DEFAULT);
    }

    public EdgeDaemon(Settings settings, Eventloop loop, ScalingSettings scaling) {
        this.settings = settings;
        this.loop = loop;
        replicaTable = new ReplicaTable(settings);
        dispatcher = new RequestDispatcher(loop, settings, replicaTable);
        duties = new RoleLeaseClient(settings, dispatcher, life);
        home = new HomeConnection(settings, loop, this, this::renewal);
        core = new CoreClient(loop, home);
        overloadReports =
                new OverloadReportPublisher(settings, dispatcher, replicaTable, this::publish);
        load = new LoadView(replicaTable, dispatcher, settings.ipAddress(), life);
        scaler =
                new ScaleRunner(
                        dispatcher, replicaTable, settings.region(), scaling, this::orderReplicas);
        jobs =
                new JobRunner(
                        dispatcher,
                        core,
                        () -> duties.holdsJobs(Clocks.nowUs()),
                        (delayUs, task) -> Clocks.after(loop, delayUs, task),
                        settings.ipAddress());
        shell = new ShellQueries(dispatcher, jobs, scaler, duties, this::homeLine);
    }

    /** The signal of readiness. */
    public CompletableFuture<Boolean> whenReady() {
        return readied;
    }

    /** How many edges the last sums were of. */
    public int edgesHeard() {
        return load.whole().edgeCount();
    }

    /** The revision that is in force here. */
    public long revision() {
        return revision;
    }

    /** The owner of all requests at this edge. */
    public RequestDispatcher dispatcher() {
        return dispatcher;
    }

    /** Listens, picks a home and starts all that is done at intervals. */
    public void start() throws IOException {
        PeerLinks.listen(
                loop,
                new InetSocketAddress(
                        InetAddress.getByName(settings.ipAddress()), settings.firstInternalPort()),
                this);
        HttpServer.builder(
                        loop,
                        request ->
                                HttpResponse.ofCode(ready && !leaving ? 200 : 503)
                                        .withPlainText(ready && !leaving ? "ready" : "not ready")
                                        .toPromise())
                .withListenAddress(
                        IpPort.parse("Readiness", settings.requiredListenAddress("Readiness")))
                .build()
                .listen();
        var front =
                SimpleServer.builder(loop, socket -> new ClientConnection(loop, socket, dispatcher))
                        .withSocketSettings(SocketSettings.builder().withTcpNoDelay(true).build())
                        .withListenAddress(
                                IpPort.parse(
                                        "Frontend", settings.requiredListenAddress("Frontend")))
                        .build();
        front.listen();
        frontend = Optional.of(front);
        home.open();
        Clocks.every(loop, 20_000, dispatcher::tick);
        Clocks.every(loop, 500_000, dispatcher::sweep);
        Clocks.every(loop, RENEW_US, home::renew);
        Clocks.every(loop, SAMPLE_US, this::sample);
        Clocks.every(loop, REPORT_US, this::report);
        Clocks.every(loop, 200_000, jobs::tick);
        Clocks.every(loop, SCALE_US, this::scale);
        RingLog.info(
                "edge "
                        + settings.nodeName()
                        + " listens at "
                        + settings.requiredListenAddress("Frontend"));
    }

    // ---- leaving

    /** Called from another thread at SIGTERM; returns when this edge may end. */
    public void leave() {
        var departure =
                new Departure(
                        loop,
                        dispatcher,
                        settings.bounds(),
                        () -> frontend.ifPresent(SimpleServer::close));
        loop.execute(
                () -> {
                    leaving = true;
                    RingLog.debug("leaving");
                    home.renew();
                    departure.begin();
                });
        departure.await();
    }

    // ---- the subscription at the home

    private byte[] renewal() {
        var now = Clocks.nowUs();
        var edge = new EdgeRecord();
        edge.setIp(settings.ipAddress());
        edge.setName(settings.nodeName());
        edge.setZone(settings.zone());
        edge.setRegion(settings.region());
        edge.setFrontendAddress(settings.requiredListenAddress("Frontend"));
        edge.setReady(ready);
        edge.setDraining(leaving);
        edge.setIncarnation(life);
        edge.setSequence(++renewals);
        edge.setConfigurationRevision(revision);
        edge.setLastRenewalUs(now);
        var out = new RecordWriter(RecordType.EDGE_LEASE_RENEWAL);
        edge.write(out, now);
        return out.i64(now)
                .text(duties.holder())
                .texts(wantedDuties())
                .texts(replicaTable.warmingUp(settings.region(), dispatcher.table(), now))
                .bytes();
    }

    private void scale() {
        var now = Clocks.nowUs();
        var fresh = now - load.wholeUs() < SUMS_FRESH_US;
        scaler.tick(
                duties.scaleGrant(now).orElse(0L),
                load.whole(),
                fresh && load.whole().edgeCount() * 3 >= edgesNow * 2,
                now);
    }

    /** Tells the core how many replicas a model shall have and which of them rest. */
    private void orderReplicas(
            String model,
            long grant,
            int desired,
            Collection<String> resting,
            BiConsumer<Integer, String> reply) {
        var count = desired == ScaleRunner.ALL ? "all" : String.valueOf(desired);
        var body = Stream.concat(Stream.of(count), resting.stream());
        core.ask(
                "SCALE",
                model,
                grant,
                ++scaleOrders,
                body.collect(Collectors.joining("\n")),
                reply);
    }

    private void onJobs(RecordReader in) {
        jobs.onLines(
                in.list(
                        line ->
                                new JobRunner.Line(
                                        line.text(),
                                        line.flag(),
                                        line.i64(),
                                        line.i32(),
                                        line.i64(),
                                        line.i64(),
                                        line.text(),
                                        line.text())));
    }

    private Collection<String> wantedDuties() {
        return ready && !leaving ? duties.wanted(jobsLive || jobs.busy()) : List.of();
    }

    private void onNews(PeerLink link, RecordReader in) {
        var now = Clocks.nowUs();
        var sentUs = in.i64();
        var upUs = in.i64();
        var staleUs = in.i64();
        if (home.isCandidate(link) && !home.judgeCandidate(staleUs)) {
            return;
        }
        var newsEdition = in.i64();
        var digest = in.i32();
        mostEdges = Math.max(mostEdges, in.i32());
        edgesNow = in.i32();
        mostEdges = Math.max(mostEdges, edgesNow);
        home.onCores(in.texts(), staleUs);
        dispatcher.onEdges(mostEdges);
        jobsLive = in.flag();
        replicaTable
                .warmupPermits()
                .onLease(
                        home.ip(),
                        sentUs + in.i64(),
                        in.list(lease -> new WarmupPermits.Permit(lease.text(), lease.i32())));
        mismatches = digest == replicaTable.digest() && newsEdition <= edition ? 0 : mismatches + 1;
        if (mismatches > 2) {
            mismatches = 0;
            home.requestWholeState();
        }
        home.onAge(staleUs, now);
        if (HomeConnection.isFresh(staleUs) && firstNewsUs == 0 && edition > 0) {
            firstNewsUs = now;
        }
        becomeReady(now, upUs);
    }

    private void becomeReady(long now, long upUs) {
        if (ready || edition <= 0 || revision == 0 || firstNewsUs == 0) {
            return;
        }
        var table = dispatcher.table();
        var known =
                table.services().keySet().stream()
                        .allMatch(service -> !replicaTable.ofService(service).isEmpty());
        if (known && home.synced() && upUs > settings.heartbeatIntervalMs() * 1500L
                || now - firstNewsUs > 3_000_000) {
            ready = true;
            readied.complete(true);
            RingLog.info(
                    "edge "
                            + settings.nodeName()
                            + " ready, revision "
                            + revision
                            + ", "
                            + replicaTable.all().size()
                            + " replicas");
            home.renew();
        }
    }

    private void onConfiguration(RecordReader in) {
        var newEdition = in.i64();
        var newRevision = in.i64();
        var routingText = in.text();
        var evacuated = in.texts();
        var placed = new TreeMap<String, ReplicaPlacement>();
        in.list(
                item ->
                        placed.put(
                                item.text(),
                                new ReplicaPlacement(
                                        item.i32(), item.flag(), new TreeSet<>(item.texts()))));
        if (newEdition <= edition || newRevision < revision) {
            return;
        }
        if (newRevision > revision) {
            if (routingText.isEmpty()) {
                home.requestWholeState();
                return;
            }
            dispatcher.onTable(RoutingLanguage.compile(routingText));
            revision = newRevision;
        }
        edition = newEdition;
        RingLog.debug(
                "configuration edition "
                        + newEdition
                        + " revision "
                        + newRevision
                        + " from home "
                        + home.ip());
        dispatcher.onPlaced(placed);
        scaler.onPlaced(placed);
        dispatcher.onEvacuated(Set.copyOf(evacuated), Clocks.nowUs());
    }

    private void onReplicas(RecordReader in) {
        var now = Clocks.nowUs();
        var whole = in.flag();
        var replicas = in.list(item -> ReplicaRecord.read(item, now));
        replicas.forEach(dispatcher::onReplica);
        if (whole) {
            home.onSynced();
            var known = new HashSet<String>();
            replicas.forEach(replica -> known.add(replica.id()));
            for (var slot : List.copyOf(replicaTable.all())) {
                if (!known.contains(slot.id())
                        && now - slot.reachability().heardUs() > 10_000_000
                        && slot.attemptCount() == 0) {
                    replicaTable.remove(slot);
                }
            }
        }
    }

    // ---- peers

    private void sample() {
        turn++;
        if (RingLog.ECHO && turn % 50 == 0) {
            RingLog.debug(
                    "overload "
                            + shell.answer("overload").replace('\n', ';')
                            + " "
                            + shell.answer("counters"));
        }
        home.link().ifPresent(link -> load.part(Clocks.nowUs()).ifPresent(link::send));
    }

    // ---- overload reports

    private void onGrant(RecordReader in) {
        if (!in.text().equals(duties.holder())) {
            return;
        }
        var duty = in.text();
        var grant = in.i64();
        if (duties.granted(duty, grant, in.i64(), in.i64(), Clocks.nowUs())
                && duty.equals(duties.jobDuty())) {
            jobs.onGrant(grant);
        }
    }

    private void report() {
        var now = Clocks.nowUs();
        overloadReports.tick(duties.heldReports(now), now);
    }

    /** The home passes a report on to the edges elsewhere, by their homes. */
    private void publish(OverloadReport report) {
        var out = new RecordWriter(RecordType.OVERLOAD_REPORT);
        report.write(out);
        RingLog.debug("report " + report);
        home.send(out.bytes());
    }

    private void onReport(OverloadReport report) {
        if (!report.region().equals(settings.region())) {
            dispatcher.reports.onReport(report, Clocks.nowUs());
        }
    }

    // ---- records

    @Override
    public void onRecord(PeerLink link, byte[] record) {
        var in = new RecordReader(record, true);
        if (home.isCandidate(link)) {
            if (in.type() == RecordType.EDGE_LEASE_RESPONSE) {
                onNews(link, in);
            }
            return;
        }
        if (OF_THE_HOME.contains(in.type()) && !home.isHome(link)) {
            RingLog.debug(
                    "link "
                            + link.peer()
                            + ": record "
                            + in.type()
                            + " is not from the home, dropped");
            return;
        }
        switch (in.type()) {
            case RecordType.HELLO -> {
                link.setPeer(in.text());
                link.send(new RecordWriter(RecordType.KNOWN_PEERS).bytes());
            }
            case RecordType.KNOWN_PEERS -> {}
            case RecordType.EDGE_LEASE_RESPONSE -> onNews(link, in);
            case RecordType.CONFIGURATION -> onConfiguration(in);
            case RecordType.REPLICA_UPDATE -> onReplicas(in);
            case RecordType.LEASE_GRANT -> onGrant(in);
            case RecordType.JOB_LIST -> onJobs(in);
            case RecordType.ORDER_RESPONSE -> core.onAnswer(link, in);
            case RecordType.TOTAL_LOAD -> load.onWhole(in, Clocks.nowUs());
            case RecordType.OVERLOAD_REPORT -> onReport(OverloadReport.read(in));
            case RecordType.SHELL_QUERY ->
                    link.send(
                            new RecordWriter(RecordType.SHELL_RESPONSE)
                                    .text(shell.answer(in.text()))
                                    .bytes());
            default -> RingLog.debug("link " + link.peer() + ": unknown record " + in.type());
        }
    }

    @Override
    public void onClosed(PeerLink link) {
        core.onClosed(link);
        RingLog.debug("link " + link.peer() + " closed");
    }

    // ---- the shell

    private String homeLine() {
        return home.ip()
                + (ready ? " ready" : " not ready")
                + " edition "
                + edition
                + " revision "
                + revision
                + '\n';
    }
}
