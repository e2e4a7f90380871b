package martenloom.edge;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.net.SimpleServer;
import io.activej.reactor.net.SocketSettings;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import martenloom.autoscaler.ScaleSettings;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.Codec;
import martenloom.common.fleet.FleetRecords;
import martenloom.common.link.LinkTraffic;
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
    private static final long STALE_US = 1_500_000;
    private static final long SILENCE_US = 1_400_000;

    private final Settings settings;
    private final Eventloop loop;
    private final RequestDispatcher dispatcher;
    private final ReplicaTable replicaTable;
    private final JobRunner jobs;
    private final Map<Long, BiConsumer<Integer, String>> asked = new HashMap<>();
    private long asks;
    private boolean jobsLive;
    private final long life = System.nanoTime() ^ ThreadLocalRandom.current().nextLong();
    private final Set<String> cores = new LinkedHashSet<>();
    private final Map<String, Long> avoid = new HashMap<>();
    private final LoadView load;
    private final ScaleRunner scaler;
    private int edgesNow;
    private final OverloadReporting reporting;
    private final Map<String, Duty> duties = new TreeMap<>();
    private Optional<PeerLinks.Dial> home = Optional.empty();
    private String homeIp = "";
    private long homeSinceUs;
    private long homePickedUs;
    private long seq;
    private long edition = -1;
    private volatile long revision;
    private boolean ready;
    private boolean leaving;
    private boolean synced;
    private long firstNewsUs;
    private int mismatches;
    private int most = 1;
    private int turn;

    /** A duty this edge holds, until a moment on its own clock. */
    private static final class Duty {
        long grant;
        long untilUs;
    }

    public EdgeDaemon(Settings p, Eventloop loop) {
        this(p, loop, ScaleSettings.DEFAULT);
    }

    public EdgeDaemon(Settings p, Eventloop loop, ScaleSettings scaling) {
        settings = p;
        this.loop = loop;
        replicaTable = new ReplicaTable(p);
        dispatcher = new RequestDispatcher(loop, p, replicaTable);
        reporting = new OverloadReporting(p, dispatcher, this::tell);
        load = new LoadView(replicaTable, dispatcher, p.ip, life);
        scaler =
                new ScaleRunner(
                        dispatcher,
                        p.region,
                        scaling,
                        (key, g, n, rest, reply) ->
                                askCore(
                                        "SCALE",
                                        key,
                                        g,
                                        Stream.concat(
                                                        Stream.of(
                                                                n == ScaleRunner.ALL
                                                                        ? "all"
                                                                        : String.valueOf(n)),
                                                        rest.stream())
                                                .collect(Collectors.joining("\n")),
                                        reply));
        jobs =
                new JobRunner(
                        dispatcher,
                        this::askCore,
                        () -> holds(jobDuty()),
                        (us, r) -> Clocks.after(loop, us, r),
                        p.ip);
        p.seeds.forEach(s -> cores.add(s.substring(0, s.lastIndexOf(':'))));
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
        SimpleServer.builder(loop, s -> new ClientConnection(loop, s, dispatcher))
                .withSocketSettings(SocketSettings.builder().withTcpNoDelay(true).build())
                .withListenAddress(Settings.address("Frontend", settings.need("Frontend")))
                .build()
                .listen();
        pickHome();
        Clocks.every(loop, 20_000, dispatcher::tick);
        Clocks.every(loop, 500_000, dispatcher::sweep);
        Clocks.every(loop, RENEW_US, this::renew);
        Clocks.every(loop, SAMPLE_US, this::sample);
        Clocks.every(loop, REPORT_US, this::report);
        Clocks.every(loop, 200_000, jobs::tick);
        Clocks.every(loop, SCALE_US, this::scale);
        RingLog.say("edge " + settings.name + " listens at " + settings.need("Frontend"));
    }

    // ---- leaving

    /**
     * Called from another thread at SIGTERM; returns when everything in hand is finished or the
     * grace is nearly over.
     */
    public void leave() {
        var done = new CountDownLatch(1);
        var t0 = Clocks.nowUs();
        loop.execute(
                () -> {
                    leaving = true;
                    RingLog.note("leaving");
                    renew();
                    Clocks.after(loop, 1_800_000, dispatcher::leave);
                    var g = (long) (settings.bounds.graceS * 1_000_000);
                    waitOut(t0 + g - 900_000, t0 + Math.min(5_200_000, g * 65 / 100), done);
                });
        try {
            done.await((long) (settings.bounds.graceS * 1000) - 500, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void waitOut(long endUs, long lingerUs, CountDownLatch done) {
        var now = Clocks.nowUs();
        if (now >= endUs || now >= lingerUs && dispatcher.inHand() == 0) {
            dispatcher.closeIdle();
            done.countDown();
            return;
        }
        Clocks.after(loop, 50_000, () -> waitOut(endUs, lingerUs, done));
    }

    // ---- the home

    private void pickHome() {
        var now = Clocks.nowUs();
        settings.seeds.forEach(s -> cores.add(s.substring(0, s.lastIndexOf(':'))));
        var l = new ArrayList<>(cores);
        var net = settings.ip.substring(0, settings.ip.lastIndexOf('.') + 1);
        l.sort(
                Comparator.<String>comparingLong(c -> avoid.getOrDefault(c, 0L) > now ? 1 : 0)
                        .thenComparing(c -> !c.startsWith(net))
                        .thenComparingInt(c -> (c + settings.ip).hashCode()));
        if (l.isEmpty()) {
            return;
        }
        homeIp = l.get(0);
        homeSinceUs = now;
        homePickedUs = now;
        synced = false;
        home =
                Optional.of(
                        new PeerLinks.Dial(
                                loop,
                                Settings.address("home", homeIp + ":" + settings.portLow),
                                150_000,
                                x -> {
                                    x.send(renewal());
                                },
                                this));
    }

    private void leaveHome(String why) {
        RingLog.note("home " + homeIp + " is left: " + why);
        avoid.put(homeIp, Clocks.nowUs() + 3_000_000);
        home.ifPresent(PeerLinks.Dial::stop);
        pickHome();
    }

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
                .text(holder())
                .texts(wants())
                .texts(replicaTable.coldIn(settings.region, dispatcher.table(), now))
                .bytes();
    }

    /**
     * Who holds a duty is one life of an edge, so that a restarted one is a successor like any
     * other.
     */
    private String holder() {
        return settings.ip + "#" + Long.toHexString(life);
    }

    private String jobDuty() {
        return "jobs/" + settings.region;
    }

    private String scaleDuty() {
        return "scale/" + settings.region;
    }

    private void scale() {
        var now = Clocks.nowUs();
        var fresh = now - load.wholeUs() < SILENCE_US;
        scaler.tick(
                holds(scaleDuty()) ? duties.get(scaleDuty()).grant : 0,
                load.whole(),
                fresh && load.whole().edges() * 3 >= edgesNow * 2,
                now);
    }

    private boolean holds(String key) {
        var d = Optional.ofNullable(duties.get(key));
        return d.isPresent() && Clocks.nowUs() < d.get().untilUs;
    }

    // ---- words to the core about jobs

    private void askCore(
            String act, String job, long fence, String body, BiConsumer<Integer, String> reply) {
        var l = home.flatMap(PeerLinks.Dial::link);
        if (l.isEmpty()) {
            loop.post(() -> reply.accept(503, "no home"));
            return;
        }
        var id = ++asks;
        asked.put(id, reply);
        l.get()
                .send(
                        new Codec.Out(FleetRecords.EDGE_ASK)
                                .i64(id)
                                .text(act)
                                .text(job)
                                .i64(fence)
                                .text(body)
                                .bytes());
        Clocks.after(
                loop,
                3_000_000,
                () ->
                        Optional.ofNullable(asked.remove(id))
                                .ifPresent(r -> r.accept(503, "no reply")));
    }

    private void onAnswer(Codec.In in) {
        var r = Optional.ofNullable(asked.remove(in.i64()));
        var s = in.i32();
        var t = in.text();
        r.ifPresent(x -> x.accept(s, t));
    }

    private void onJobs(Codec.In in) {
        jobs.onLines(
                in.list(
                        x ->
                                new JobRunner.Line(
                                        x.text(), x.flag(), x.i64(), x.i64(), x.i64(), x.text(),
                                        x.text())));
    }

    private Collection<String> wants() {
        var w = new TreeSet<String>();
        if (ready && !leaving) {
            dispatcher.table().services.values().stream()
                    .filter(
                            s ->
                                    s.engine
                                            && replicaTable.of(s.name).stream()
                                                    .anyMatch(
                                                            x -> x.region.equals(settings.region)))
                    .forEach(s -> w.add(settings.region + "/" + s.model));
            if (!w.isEmpty()) {
                w.add(scaleDuty());
            }
            if (jobsLive || jobs.busy()) {
                w.add(jobDuty());
            }
        }
        return w;
    }

    private void renew() {
        var now = Clocks.nowUs();
        var l = home.flatMap(PeerLinks.Dial::link);
        if (l.isPresent()) {
            if (now - l.get().heardUs > SILENCE_US) {
                leaveHome("silent");
                return;
            }
            l.get().send(renewal());
            var net = settings.ip.substring(0, settings.ip.lastIndexOf('.') + 1);
            if (!homeIp.startsWith(net)
                    && now - homePickedUs > 6_000_000
                    && cores.stream()
                            .anyMatch(c -> c.startsWith(net) && avoid.getOrDefault(c, 0L) < now)) {
                home.ifPresent(PeerLinks.Dial::stop);
                pickHome();
            }
        } else if (now - homeSinceUs > 700_000) {
            leaveHome("not reached");
        }
    }

    private void onNews(Codec.In in) {
        var now = Clocks.nowUs();
        var stamp = in.i64();
        var up = in.i64();
        var stale = in.i64();
        var ed = in.i64();
        var digest = in.i32();
        most = Math.max(most, in.i32());
        edgesNow = in.i32();
        most = Math.max(most, edgesNow);
        var known = in.texts();
        if (stale < STALE_US) {
            cores.clear();
        }
        cores.addAll(known);
        dispatcher.onEdges(most);
        jobsLive = in.flag();
        replicaTable.lent(
                homeIp, stamp + in.i64(), in.list(x -> new ReplicaTable.Leased(x.text(), x.i32())));
        mismatches = digest == replicaTable.digest() && ed <= edition ? 0 : mismatches + 1;
        if (mismatches > 2) {
            mismatches = 0;
            home.ifPresent(d -> d.send(new Codec.Out(FleetRecords.RESYNC).bytes()));
        }
        if (stale < STALE_US) {
            homeSinceUs = now;
            if (firstNewsUs == 0 && edition > 0) {
                firstNewsUs = now;
            }
        } else if (now - homePickedUs > 800_000 && cores.size() > 1) {
            leaveHome("stale by " + stale / 1000 + " ms");
            return;
        }
        becomeReady(now, up);
    }

    private void becomeReady(long now, long up) {
        if (ready || edition <= 0 || revision == 0 || firstNewsUs == 0) {
            return;
        }
        var t = dispatcher.table();
        var known = t.services.keySet().stream().allMatch(s -> !replicaTable.of(s).isEmpty());
        if (known && synced && up > settings.beatMs * 1500L || now - firstNewsUs > 3_000_000) {
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
            renew();
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
                home.ifPresent(d -> d.send(new Codec.Out(FleetRecords.RESYNC).bytes()));
                return;
            }
            dispatcher.onTable(RoutingLanguage.compile(routingText));
            revision = rev;
        }
        edition = ed;
        RingLog.note("configuration edition " + ed + " revision " + rev + " from home " + homeIp);
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
            synced = true;
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
                    "overload " + query("overload").replace('\n', ';') + " " + query("counters"));
        }
        home.flatMap(PeerLinks.Dial::link)
                .ifPresent(l -> load.part(Clocks.nowUs()).ifPresent(l::send));
    }

    // ---- overload reports

    private void onGrant(Codec.In in) {
        if (!in.text().equals(holder())) {
            return;
        }
        var d = duties.computeIfAbsent(in.text(), k -> new Duty());
        d.grant = in.i64();
        var stamp = in.i64();
        d.untilUs = Math.max(d.untilUs, stamp + in.i64() - 300_000);
        if (duties.get(jobDuty()) == d) {
            jobs.onGrant(d.grant);
        }
    }

    private void report() {
        var now = Clocks.nowUs();
        var held = new TreeMap<String, Long>();
        duties.forEach(
                (key, d) -> {
                    if (now < d.untilUs && !key.equals(jobDuty()) && !key.equals(scaleDuty())) {
                        held.put(key, d.grant);
                    }
                });
        reporting.tick(held, now);
    }

    /** The home passes a report on to the edges elsewhere, by their homes. */
    private void tell(Overload.Report r) {
        var o = new Codec.Out(FleetRecords.REPORT);
        r.write(o);
        RingLog.note("report " + r);
        home.ifPresent(d -> d.send(o.bytes()));
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
        switch (in.type) {
            case FleetRecords.HELLO -> {
                l.peer = in.text();
                l.send(new Codec.Out(FleetRecords.HEARD).bytes());
            }
            case FleetRecords.HEARD -> {}
            case FleetRecords.NEWS -> onNews(in);
            case FleetRecords.CONFIGURATION -> onConfiguration(in);
            case FleetRecords.REPLICAS -> onReplicas(in);
            case FleetRecords.DUTY_GRANT -> onGrant(in);
            case FleetRecords.JOBS -> onJobs(in);
            case FleetRecords.ANSWER -> onAnswer(in);
            case FleetRecords.WHOLE_SUM -> load.onWhole(in, Clocks.nowUs());
            case FleetRecords.REPORT -> onReport(Overload.Report.read(in));
            case FleetRecords.QUERY ->
                    l.send(new Codec.Out(FleetRecords.TEXT).text(query(in.text())).bytes());
            default -> RingLog.note("link " + l.peer + ": unknown record " + in.type);
        }
    }

    @Override
    public void onClosed(PeerLinks.Link l) {
        RingLog.note("link " + l.peer + " closed");
    }

    // ---- the shell

    private String query(String q) {
        var now = Clocks.nowUs();
        var b = new StringBuilder();
        switch (q) {
            case "counters" -> {
                var c = dispatcher.counters;
                b.append(
                        String.format(
                                "requests %d served %d refused %d failed %d repeats %d spilled %d"
                                        + " timeouts %d moved %d jobs %d in-hand %d connections %d"
                                        + " edges %d\n",
                                c.requests,
                                c.served,
                                c.refused,
                                c.failed,
                                c.repeats,
                                dispatcher.spilled(),
                                c.timeouts,
                                c.moved,
                                c.jobs,
                                dispatcher.inHand(),
                                dispatcher.connections(),
                                dispatcher.edges()));
            }
            case "overload" ->
                    dispatcher
                            .reports
                            .states()
                            .forEach(
                                    (k, s) -> {
                                        dispatcher.reports.tick(s, now);
                                        b.append(
                                                String.format(
                                                        "%s %s share %.2f considered %d selected %d"
                                                            + " spilled %d held %d refused %d stale"
                                                            + " %d",
                                                        k,
                                                        s.phase,
                                                        s.share,
                                                        s.considered,
                                                        s.selected,
                                                        s.spilled,
                                                        s.held,
                                                        s.refused,
                                                        s.stale));
                                        s.report.ifPresent(
                                                r ->
                                                        b.append(
                                                                String.format(
                                                                        " reporter %s sequence"
                                                                            + " %d.%d valid %d ms"
                                                                            + " algorithm %s"
                                                                            + " percent %d",
                                                                        r.reporter(),
                                                                        r.seq().grant(),
                                                                        r.seq().counter(),
                                                                        Math.max(0, s.untilUs - now)
                                                                                / 1000,
                                                                        r.algorithm(),
                                                                        r.percent())));
                                        b.append('\n');
                                    });
            case "leases" ->
                    duties.forEach(
                            (k, d) ->
                                    b.append(
                                            String.format(
                                                    "%s grant %d left %d ms\n",
                                                    k,
                                                    d.grant,
                                                    Math.max(0, d.untilUs - now) / 1000)));
            case "replicas" ->
                    replicaTable
                            .all()
                            .forEach(
                                    s ->
                                            b.append(
                                                    String.format(
                                                            "%s %s %s in-hand %d others %d unread"
                                                                + " %d rate %.1f work %d us rtt %d"
                                                                + " us%s%s\n",
                                                            s.row.id,
                                                            s.row.service,
                                                            s.row.zone,
                                                            s.mine,
                                                            s.othersInHand(now),
                                                            s.unread,
                                                            s.rate,
                                                            (long) s.workUs,
                                                            (long) s.rttUs,
                                                            s.row.draining ? " draining" : "",
                                                            now < s.suspectUntilUs
                                                                    ? " suspect"
                                                                    : "")));
            case "configuration" -> b.append(RoutingLanguage.write(dispatcher.table()));
            case "home" ->
                    b.append(homeIp)
                            .append(ready ? " ready" : " not ready")
                            .append(" edition ")
                            .append(edition)
                            .append(" revision ")
                            .append(revision)
                            .append('\n');
            case "jobs" -> b.append(jobs.text());
            case "scaling" -> b.append(scaler.text(now));
            case "places" -> b.append(dispatcher.places.text(200));
            case "traffic" -> b.append(LinkTraffic.text());
            case "log" -> b.append(RingLog.tail(200));
            default ->
                    b.append(
                            "? counters overload leases replicas configuration home jobs scaling"
                                    + " places traffic log\n");
        }
        return b.toString();
    }
}
