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
import martenloom.autoscaler.ScaleSettings;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.Codec;
import martenloom.common.fleet.FleetRecords;
import martenloom.common.link.PeerLinks;
import martenloom.common.log.RingLog;
import martenloom.common.settings.Settings;
import martenloom.edge.dispatch.ClientConnection;
import martenloom.edge.dispatch.RequestDispatcher;
import martenloom.edge.jobs.JobRunner;
import martenloom.edge.overload.Overload;
import martenloom.edge.replica.ReplicaTable;
import martenloom.edge.scaling.ScaleRunner;
import martenloom.routing.language.RoutingLanguage;

/**
 * The edge program: puts the dispatcher on a reactor, subscribes to a home daemon of the core in
 * its zone for configurations, replicas, tells the home its part of the load and takes the sums of
 * all, and sends and takes overload reports by the same way. When the core is lost, it goes on with
 * the last good state.
 */
public final class EdgeDaemon implements PeerLinks.Handler {
    private static final long RENEW_US = 400_000;
    private static final long SAMPLE_US = 100_000;
    private static final long REPORT_US = 250_000;
    private static final long SCALE_US = 200_000;

    /** The age up to which the sums over all edges are taken as those of now. */
    private static final long SUMS_FRESH_US = 1_400_000;

    /** The records that count only from the home of the moment, on the link to it. */
    private static final Set<Integer> OF_THE_HOME =
            Set.of(
                    FleetRecords.NEWS,
                    FleetRecords.CONFIGURATION,
                    FleetRecords.REPLICAS,
                    FleetRecords.DUTY_GRANT,
                    FleetRecords.JOBS,
                    FleetRecords.ANSWER,
                    FleetRecords.WHOLE_SUM,
                    FleetRecords.REPORT);

    private final Settings settings;
    private final Eventloop loop;
    private final RequestDispatcher dispatcher;
    private final ReplicaTable replicaTable;
    private final JobRunner jobs;
    private final HomeConnection home;
    private final ShellQueries shell;
    private final CoreClient core;
    private long scaleOrders;
    private boolean jobsLive;
    private final long life = System.nanoTime() ^ ThreadLocalRandom.current().nextLong();
    private final LoadView load;
    private final ScaleRunner scaler;
    private int edgesNow;
    private final OverloadReporting reporting;
    private final EdgeDuties duties;
    private Optional<SimpleServer> frontend = Optional.empty();
    private long seq;
    private long edition = -1;
    private volatile long revision;
    private boolean ready;
    private boolean leaving;
    private long firstNewsUs;
    private int mismatches;
    private int most = 1;
    private int turn;

    public EdgeDaemon(Settings p, Eventloop loop) {
        this(p, loop, ScaleSettings.DEFAULT);
    }

    public EdgeDaemon(Settings p, Eventloop loop, ScaleSettings scaling) {
        settings = p;
        this.loop = loop;
        replicaTable = new ReplicaTable(p);
        dispatcher = new RequestDispatcher(loop, p, replicaTable);
        duties = new EdgeDuties(p, dispatcher, life);
        home = new HomeConnection(p, loop, this, this::renewal);
        core = new CoreClient(loop, home);
        reporting = new OverloadReporting(p, dispatcher, this::tell);
        load = new LoadView(replicaTable, dispatcher, p.ip, life);
        scaler = new ScaleRunner(dispatcher, p.region, scaling, this::orderReplicas);
        jobs =
                new JobRunner(
                        dispatcher,
                        core,
                        () -> duties.holdsJobs(Clocks.nowUs()),
                        (us, r) -> Clocks.after(loop, us, r),
                        p.ip);
        shell = new ShellQueries(dispatcher, jobs, scaler, duties, this::homeLine);
    }

    private final CompletableFuture<Boolean> readied = new CompletableFuture<>();

    /** The signal of readiness. */
    public CompletableFuture<Boolean> whenReady() {
        return readied;
    }

    /** How many edges the last sums were of. */
    public int edgesHeard() {
        return load.whole().edges();
    }

    /** The revision that is in force here. */
    public long revision() {
        return revision;
    }

    public RequestDispatcher dispatcher() {
        return dispatcher;
    }

    public void start() throws IOException {
        PeerLinks.listen(
                loop,
                new InetSocketAddress(InetAddress.getByName(settings.ip), settings.portLow),
                this);
        HttpServer.builder(
                        loop,
                        q ->
                                HttpResponse.ofCode(ready && !leaving ? 200 : 503)
                                        .withPlainText(ready && !leaving ? "ready" : "not ready")
                                        .toPromise())
                .withListenAddress(Settings.address("Readiness", settings.need("Readiness")))
                .build()
                .listen();
        var front =
                SimpleServer.builder(loop, s -> new ClientConnection(loop, s, dispatcher))
                        .withSocketSettings(SocketSettings.builder().withTcpNoDelay(true).build())
                        .withListenAddress(Settings.address("Frontend", settings.need("Frontend")))
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
        RingLog.say("edge " + settings.name + " listens at " + settings.need("Frontend"));
    }

    // ---- leaving

    /** Called from another thread at SIGTERM; returns when this edge may end. */
    public void leave() {
        var departure =
                new Departure(
                        loop,
                        dispatcher,
                        settings.bounds,
                        () -> frontend.ifPresent(SimpleServer::close));
        loop.execute(
                () -> {
                    leaving = true;
                    RingLog.note("leaving");
                    home.renew();
                    departure.begin();
                });
        departure.await();
    }

    // ---- the subscription at the home

    private byte[] renewal() {
        var now = Clocks.nowUs();
        var e = new FleetRecords.Edge();
        e.ip = settings.ip;
        e.name = settings.name;
        e.zone = settings.zone;
        e.region = settings.region;
        e.front = settings.need("Frontend");
        e.ready = ready;
        e.leaving = leaving;
        e.life = life;
        e.seq = ++seq;
        e.revision = revision;
        e.heardUs = now;
        var o = new Codec.Out(FleetRecords.RENEW);
        e.write(o, now);
        return o.i64(now)
                .text(duties.holder())
                .texts(wantedDuties())
                .texts(replicaTable.coldIn(settings.region, dispatcher.table(), now))
                .bytes();
    }

    private void scale() {
        var now = Clocks.nowUs();
        var fresh = now - load.wholeUs() < SUMS_FRESH_US;
        scaler.tick(
                duties.scaleGrant(now).orElse(0L),
                load.whole(),
                fresh && load.whole().edges() * 3 >= edgesNow * 2,
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

    private void onJobs(Codec.In in) {
        jobs.onLines(
                in.list(
                        x ->
                                new JobRunner.Line(
                                        x.text(), x.flag(), x.i64(), x.i32(), x.i64(), x.i64(),
                                        x.text(), x.text())));
    }

    private Collection<String> wantedDuties() {
        return ready && !leaving ? duties.wanted(jobsLive || jobs.busy()) : List.of();
    }

    private void onNews(PeerLinks.Link l, Codec.In in) {
        var now = Clocks.nowUs();
        var stamp = in.i64();
        var up = in.i64();
        var stale = in.i64();
        if (home.isCandidate(l) && !home.judgeCandidate(stale)) {
            return;
        }
        var ed = in.i64();
        var digest = in.i32();
        most = Math.max(most, in.i32());
        edgesNow = in.i32();
        most = Math.max(most, edgesNow);
        home.onCores(in.texts(), stale);
        dispatcher.onEdges(most);
        jobsLive = in.flag();
        replicaTable.lent(
                home.ip(),
                stamp + in.i64(),
                in.list(x -> new ReplicaTable.Leased(x.text(), x.i32())));
        mismatches = digest == replicaTable.digest() && ed <= edition ? 0 : mismatches + 1;
        if (mismatches > 2) {
            mismatches = 0;
            home.requestWholeState();
        }
        home.onAge(stale, now);
        if (HomeConnection.isFresh(stale) && firstNewsUs == 0 && edition > 0) {
            firstNewsUs = now;
        }
        becomeReady(now, up);
    }

    private void becomeReady(long now, long up) {
        if (ready || edition <= 0 || revision == 0 || firstNewsUs == 0) {
            return;
        }
        var t = dispatcher.table();
        var known = t.services.keySet().stream().allMatch(s -> !replicaTable.of(s).isEmpty());
        if (known && home.synced() && up > settings.beatMs * 1500L
                || now - firstNewsUs > 3_000_000) {
            ready = true;
            readied.complete(true);
            RingLog.say(
                    "edge "
                            + settings.name
                            + " ready, revision "
                            + revision
                            + ", "
                            + replicaTable.all().size()
                            + " replicas");
            home.renew();
        }
    }

    private void onConfiguration(Codec.In in) {
        var ed = in.i64();
        var rev = in.i64();
        var routingText = in.text();
        var ev = in.texts();
        var placed = new TreeMap<String, ScaleRunner.Placed>();
        in.list(
                x ->
                        placed.put(
                                x.text(),
                                new ScaleRunner.Placed(
                                        x.i32(), x.flag(), new TreeSet<>(x.texts()))));
        if (ed <= edition || rev < revision) {
            return;
        }
        if (rev > revision) {
            if (routingText.isEmpty()) {
                home.requestWholeState();
                return;
            }
            dispatcher.onTable(RoutingLanguage.compile(routingText));
            revision = rev;
        }
        edition = ed;
        RingLog.note(
                "configuration edition " + ed + " revision " + rev + " from home " + home.ip());
        dispatcher.onPlaced(placed);
        scaler.onPlaced(placed);
        dispatcher.onEvacuated(Set.copyOf(ev), Clocks.nowUs());
    }

    private void onReplicas(Codec.In in) {
        var now = Clocks.nowUs();
        var whole = in.flag();
        var rs = in.list(x -> FleetRecords.Replica.read(x, now));
        rs.forEach(dispatcher::onReplica);
        if (whole) {
            home.onSynced();
            var ids = new HashSet<String>();
            rs.forEach(r -> ids.add(r.id));
            for (var s : List.copyOf(replicaTable.all())) {
                if (!ids.contains(s.row.id)
                        && now - s.heardUs > 10_000_000
                        && s.attempts.isEmpty()) {
                    replicaTable.drop(s);
                }
            }
        }
    }

    // ---- peers

    private void sample() {
        turn++;
        if (RingLog.CHATTY && turn % 50 == 0) {
            RingLog.note(
                    "overload "
                            + shell.answer("overload").replace('\n', ';')
                            + " "
                            + shell.answer("counters"));
        }
        home.link().ifPresent(l -> load.part(Clocks.nowUs()).ifPresent(l::send));
    }

    // ---- overload reports

    private void onGrant(Codec.In in) {
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
        reporting.tick(duties.heldReports(now), now);
    }

    /** The home passes a report on to the edges elsewhere, by their homes. */
    private void tell(Overload.Report r) {
        var o = new Codec.Out(FleetRecords.REPORT);
        r.write(o);
        RingLog.note("report " + r);
        home.send(o.bytes());
    }

    private void onReport(Overload.Report r) {
        if (!r.region().equals(settings.region)) {
            dispatcher.reports.take(r, Clocks.nowUs());
        }
    }

    // ---- records

    @Override
    public void onRecord(PeerLinks.Link l, byte[] record) {
        var in = new Codec.In(record, true);
        if (home.isCandidate(l)) {
            if (in.type == FleetRecords.NEWS) {
                onNews(l, in);
            }
            return;
        }
        if (OF_THE_HOME.contains(in.type) && !home.isHome(l)) {
            RingLog.note(
                    "link " + l.peer + ": record " + in.type + " is not from the home, dropped");
            return;
        }
        switch (in.type) {
            case FleetRecords.HELLO -> {
                l.peer = in.text();
                l.send(new Codec.Out(FleetRecords.HEARD).bytes());
            }
            case FleetRecords.HEARD -> {}
            case FleetRecords.NEWS -> onNews(l, in);
            case FleetRecords.CONFIGURATION -> onConfiguration(in);
            case FleetRecords.REPLICAS -> onReplicas(in);
            case FleetRecords.DUTY_GRANT -> onGrant(in);
            case FleetRecords.JOBS -> onJobs(in);
            case FleetRecords.ANSWER -> core.onAnswer(l, in);
            case FleetRecords.WHOLE_SUM -> load.onWhole(in, Clocks.nowUs());
            case FleetRecords.REPORT -> onReport(Overload.Report.read(in));
            case FleetRecords.QUERY ->
                    l.send(new Codec.Out(FleetRecords.TEXT).text(shell.answer(in.text())).bytes());
            default -> RingLog.note("link " + l.peer + ": unknown record " + in.type);
        }
    }

    @Override
    public void onClosed(PeerLinks.Link l) {
        core.onClosed(l);
        RingLog.note("link " + l.peer + " closed");
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
