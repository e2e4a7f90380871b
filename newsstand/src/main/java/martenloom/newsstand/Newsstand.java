package martenloom.newsstand;

import io.activej.eventloop.*;
import io.activej.http.*;
import io.activej.net.*;
import io.activej.reactor.net.*;
import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.function.*;
import java.util.stream.*;
import martenloom.autoscaler.*;
import martenloom.galley.clock.*;
import martenloom.galley.fleet.*;
import martenloom.galley.log.*;
import martenloom.galley.props.*;
import martenloom.galley.record.*;
import martenloom.galley.sibling.*;
import martenloom.menu.language.*;
import martenloom.menu.route.*;
import martenloom.newsstand.floor.*;
import martenloom.newsstand.jobs.*;
import martenloom.newsstand.overload.*;
import martenloom.newsstand.rack.*;
import martenloom.newsstand.scaling.*;

/**
 * The edge program: puts the floor on a reactor, subscribes to a home daemon of the core in its hall for setups,
 * replicas, tells the home its part of the load and takes the sums of all, and sends and takes overload reports by the
 * same way. When the core is lost, it goes on with the last good state.
 */
public final class Newsstand implements Links.Handler {
    private static final long RENEW_US = 400_000;
    private static final long SAMPLE_US = 100_000;
    private static final long REPORT_US = 250_000;
    private static final long SCALE_US = 200_000;
    private static final long STALE_US = 1_200_000;
    private static final long SILENCE_US = 1_400_000;

    private final Props props;
    private final Eventloop loop;
    private final Floor floor;
    private final Rack rack;
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
    private final Reporting reporting;
    private final Map<String, Duty> duties = new TreeMap<>();
    private Optional<Links.Dial> home = Optional.empty();
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

    public Newsstand(Props p, Eventloop loop) {
        this(p, loop, ScaleProps.DEFAULT);
    }

    public Newsstand(Props p, Eventloop loop, ScaleProps scaling) {
        props = p;
        this.loop = loop;
        rack = new Rack(p);
        floor = new Floor(loop, p, rack);
        reporting = new Reporting(p, floor, this::tell);
        load = new LoadView(rack, floor, p.ip, life);
        scaler = new ScaleRunner(floor, p.region, scaling, (key, g, n, rest, receipt) ->
            askCore("SCALE", key, g, Stream.concat(Stream.of(n == ScaleRunner.ALL ? "all" : String.valueOf(n)), rest.stream()).collect(Collectors.joining("\n")), receipt));
        jobs = new JobRunner(floor, this::askCore, () -> holds(jobDuty()), (us, r) -> Clocks.after(loop, us, r), p.ip);
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

    public Floor floor() {
        return floor;
    }

    public void start() throws IOException {
        Links.listen(loop, new InetSocketAddress(InetAddress.getByName(props.ip), props.portLow), this);
        HttpServer.builder(loop, q -> HttpResponse.ofCode(ready && !leaving ? 200 : 503).withPlainText(ready && !leaving ? "ready" : "not ready").toPromise())
            .withListenAddress(Props.address("Readiness", props.need("Readiness")))
            .build()
            .listen();
        SimpleServer.builder(loop, s -> new Requester(loop, s, floor))
            .withSocketSettings(SocketSettings.builder().withTcpNoDelay(true).build())
            .withListenAddress(Props.address("Frontend", props.need("Frontend")))
            .build()
            .listen();
        pickHome();
        Clocks.every(loop, 20_000, floor::tick);
        Clocks.every(loop, 500_000, floor::sweep);
        Clocks.every(loop, RENEW_US, this::renew);
        Clocks.every(loop, SAMPLE_US, this::sample);
        Clocks.every(loop, REPORT_US, this::report);
        Clocks.every(loop, 200_000, jobs::tick);
        Clocks.every(loop, SCALE_US, this::scale);
        RingLog.say("newsstand " + props.name + " listens at " + props.need("Frontend"));
    }

    // ---- leaving

    /** Called from another thread at SIGTERM; returns when everything in hand is finished or the grace is nearly over. */
    public void leave() {
        var done = new CountDownLatch(1);
        var t0 = Clocks.nowUs();
        loop.execute(() -> {
            leaving = true;
            RingLog.note("leaving");
            renew();
            Clocks.after(loop, 1_800_000, floor::leave);
            var g = (long) (props.bounds.graceS * 1_000_000);
            waitOut(t0 + g - 900_000, t0 + Math.min(5_200_000, g * 65 / 100), done);
        });
        try {
            done.await((long) (props.bounds.graceS * 1000) - 500, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void waitOut(long endUs, long lingerUs, CountDownLatch done) {
        var now = Clocks.nowUs();
        if (now >= endUs || now >= lingerUs && floor.inHand() == 0) {
            floor.closeIdle();
            done.countDown();
            return;
        }
        Clocks.after(loop, 50_000, () -> waitOut(endUs, lingerUs, done));
    }

    // ---- the home

    private void pickHome() {
        var now = Clocks.nowUs();
        props.seeds.forEach(s -> cores.add(s.substring(0, s.lastIndexOf(':'))));
        var l = new ArrayList<>(cores);
        var net = props.ip.substring(0, props.ip.lastIndexOf('.') + 1);
        l.sort(Comparator.<String>comparingLong(c -> avoid.getOrDefault(c, 0L) > now ? 1 : 0)
            .thenComparing(c -> !c.startsWith(net))
            .thenComparingInt(c -> (c + props.ip).hashCode()));
        if (l.isEmpty()) {
            return;
        }
        homeIp = l.get(0);
        homeSinceUs = now;
        homePickedUs = now;
        synced = false;
        home = Optional.of(new Links.Dial(loop, Props.address("home", homeIp + ":" + props.portLow), 150_000, x -> {
            x.send(renewal());
        }, this));
    }

    private void leaveHome(String why) {
        RingLog.note("home " + homeIp + " is left: " + why);
        avoid.put(homeIp, Clocks.nowUs() + 3_000_000);
        home.ifPresent(Links.Dial::stop);
        pickHome();
    }

    private byte[] renewal() {
        var now = Clocks.nowUs();
        var e = new Rows.Edge();
        e.ip = props.ip;
        e.name = props.name;
        e.hall = props.hall;
        e.region = props.region;
        e.front = props.need("Frontend");
        e.ready = ready;
        e.leaving = leaving;
        e.life = life;
        e.seq = ++seq;
        e.revision = revision;
        e.heardUs = now;
        var o = new Rec.Out(Rows.RENEW);
        e.write(o, now);
        return o.i64(now).text(holder()).texts(wants()).texts(rack.coldIn(props.region, floor.table(), now)).bytes();
    }

    /** Who holds a duty is one life of an edge, so that a restarted one is a successor like any other. */
    private String holder() {
        return props.ip + "#" + Long.toHexString(life);
    }

    private String jobDuty() {
        return "jobs/" + props.region;
    }

    private String scaleDuty() {
        return "scale/" + props.region;
    }

    private void scale() {
        var now = Clocks.nowUs();
        var fresh = now - load.wholeUs() < SILENCE_US;
        scaler.tick(holds(scaleDuty()) ? duties.get(scaleDuty()).grant : 0, load.whole(), fresh && load.whole().edges() * 3 >= edgesNow * 2, now);
    }

    private boolean holds(String key) {
        var d = Optional.ofNullable(duties.get(key));
        return d.isPresent() && Clocks.nowUs() < d.get().untilUs;
    }

    // ---- words to the core about jobs

    private void askCore(String act, String job, long fence, String body, BiConsumer<Integer, String> receipt) {
        var l = home.flatMap(Links.Dial::link);
        if (l.isEmpty()) {
            loop.post(() -> receipt.accept(503, "no home"));
            return;
        }
        var id = ++asks;
        asked.put(id, receipt);
        l.get().send(new Rec.Out(Rows.EDGE_ASK).i64(id).text(act).text(job).i64(fence).text(body).bytes());
        Clocks.after(loop, 3_000_000, () -> Optional.ofNullable(asked.remove(id)).ifPresent(r -> r.accept(503, "no receipt")));
    }

    private void onAnswer(Rec.In in) {
        var r = Optional.ofNullable(asked.remove(in.i64()));
        var s = in.i32();
        var t = in.text();
        r.ifPresent(x -> x.accept(s, t));
    }

    private void onJobs(Rec.In in) {
        jobs.onLines(in.list(x -> new JobRunner.Line(x.text(), x.flag(), x.i64(), x.i64(), x.i64(), x.text(), x.text())));
    }

    private Collection<String> wants() {
        var w = new TreeSet<String>();
        if (ready && !leaving) {
            floor.table().services.values().stream().filter(s -> s.engine && rack.of(s.name).stream().anyMatch(x -> x.region.equals(props.region)))
                .forEach(s -> w.add(props.region + "/" + s.model));
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
        var l = home.flatMap(Links.Dial::link);
        if (l.isPresent()) {
            if (now - l.get().heardUs > SILENCE_US) {
                leaveHome("silent");
                return;
            }
            l.get().send(renewal());
            var net = props.ip.substring(0, props.ip.lastIndexOf('.') + 1);
            if (!homeIp.startsWith(net) && now - homePickedUs > 6_000_000 && cores.stream().anyMatch(c -> c.startsWith(net) && avoid.getOrDefault(c, 0L) < now)) {
                home.ifPresent(Links.Dial::stop);
                pickHome();
            }
        } else if (now - homeSinceUs > 700_000) {
            leaveHome("not reached");
        }
    }

    private void onNews(Rec.In in) {
        var now = Clocks.nowUs();
        var stamp = in.i64();
        var up = in.i64();
        var stale = in.i64();
        var ed = in.i64();
        var digest = in.i32();
        most = Math.max(most, in.i32());
        edgesNow = in.i32();
        most = Math.max(most, edgesNow);
        cores.addAll(in.texts());
        floor.onEdges(most);
        jobsLive = in.flag();
        rack.lent(homeIp, stamp + in.i64(), in.list(x -> new Rack.Lent(x.text(), x.i32())));
        mismatches = digest == rack.digest() && ed <= edition ? 0 : mismatches + 1;
        if (mismatches > 2) {
            mismatches = 0;
            home.ifPresent(d -> d.send(new Rec.Out(Rows.RESYNC).bytes()));
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
        var t = floor.table();
        var known = t.services.keySet().stream().allMatch(s -> !rack.of(s).isEmpty());
        if (known && synced && up > props.beatMs * 1500L || now - firstNewsUs > 3_000_000) {
            ready = true;
            readied.complete(true);
            RingLog.say("newsstand " + props.name + " ready, revision " + revision + ", " + rack.all().size() + " replicas");
            renew();
        }
    }

    private void onSetup(Rec.In in) {
        var ed = in.i64();
        var rev = in.i64();
        var menu = in.text();
        var ev = in.texts();
        var placed = new TreeMap<String, ScaleRunner.Placed>();
        in.list(x -> placed.put(x.text(), new ScaleRunner.Placed(x.i32(), x.flag(), new TreeSet<>(x.texts()))));
        if (ed <= edition || rev < revision) {
            return;
        }
        if (rev > revision) {
            if (menu.isEmpty()) {
                home.ifPresent(d -> d.send(new Rec.Out(Rows.RESYNC).bytes()));
                return;
            }
            floor.onTable(MenuText.compile(menu));
            revision = rev;
        }
        edition = ed;
        RingLog.note("setup edition " + ed + " revision " + rev + " from home " + homeIp);
        floor.onPlaced(placed);
        scaler.onPlaced(placed);
        floor.onEvacuated(Set.copyOf(ev), Clocks.nowUs());
    }

    private void onReplicas(Rec.In in) {
        var now = Clocks.nowUs();
        var whole = in.flag();
        var rs = in.list(x -> Rows.Replica.read(x, now));
        rs.forEach(floor::onReplica);
        if (whole) {
            synced = true;
            var ids = new HashSet<String>();
            rs.forEach(r -> ids.add(r.id));
            for (var s : List.copyOf(rack.all())) {
                if (!ids.contains(s.row.id) && now - s.heardUs > 10_000_000 && s.legs.isEmpty()) {
                    rack.drop(s);
                }
            }
        }
    }

    // ---- siblings

    private void sample() {
        turn++;
        if (RingLog.CHATTY && turn % 50 == 0) {
            RingLog.note("overload " + query("overload").replace('\n', ';') + " " + query("counters"));
        }
        home.flatMap(Links.Dial::link).ifPresent(l -> load.part(Clocks.nowUs()).ifPresent(l::send));
    }

    // ---- overload reports

    private void onGrant(Rec.In in) {
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
        duties.forEach((key, d) -> {
            if (now < d.untilUs && !key.equals(jobDuty()) && !key.equals(scaleDuty())) {
                held.put(key, d.grant);
            }
        });
        reporting.tick(held, now);
    }

    /** The home passes a report on to the edges elsewhere, by their homes. */
    private void tell(Overload.Report r) {
        var o = new Rec.Out(Rows.REPORT);
        r.write(o);
        RingLog.note("report " + r);
        home.ifPresent(d -> d.send(o.bytes()));
    }

    private void onReport(Overload.Report r) {
        if (!r.region().equals(props.region)) {
            floor.reports.take(r, Clocks.nowUs());
        }
    }

    // ---- records

    @Override
    public void onRecord(Links.Link l, byte[] rec) {
        var in = new Rec.In(rec, true);
        switch (in.type) {
            case Rows.HELLO -> {
                l.peer = in.text();
                l.send(new Rec.Out(Rows.HEARD).bytes());
            }
            case Rows.HEARD -> {}
            case Rows.NEWS -> onNews(in);
            case Rows.SETUP -> onSetup(in);
            case Rows.REPLICAS -> onReplicas(in);
            case Rows.DUTY_GRANT -> onGrant(in);
            case Rows.JOBS -> onJobs(in);
            case Rows.ANSWER -> onAnswer(in);
            case Rows.WHOLE_SUM -> load.onWhole(in, Clocks.nowUs());
            case Rows.REPORT -> onReport(Overload.Report.read(in));
            case Rows.QUERY -> l.send(new Rec.Out(Rows.TEXT).text(query(in.text())).bytes());
            default -> RingLog.note("link " + l.peer + ": unknown record " + in.type);
        }
    }

    @Override
    public void onClosed(Links.Link l) {
        RingLog.note("link " + l.peer + " closed");
    }

    // ---- the shell

    private String query(String q) {
        var now = Clocks.nowUs();
        var b = new StringBuilder();
        switch (q) {
            case "counters" -> {
                var c = floor.counters;
                b.append(String.format("errands %d served %d refused %d failed %d repeats %d spilled %d timeouts %d moved %d jobs %d in-hand %d connections %d edges %d\n", c.errands, c.served,
                    c.refused, c.failed, c.repeats, floor.spilled(), c.timeouts, c.moved, c.jobs, floor.inHand(), floor.connections(), floor.edges()));
            }
            case "overload" -> floor.reports.states().forEach((k, s) -> {
                floor.reports.tick(s, now);
                b.append(String.format("%s %s share %.2f considered %d selected %d spilled %d held %d refused %d stale %d", k, s.phase, s.share, s.considered, s.selected, s.spilled, s.held, s.refused, s.stale));
                s.report.ifPresent(r -> b.append(String.format(" reporter %s sequence %d.%d valid %d ms algorithm %s percent %d", r.reporter(), r.seq().grant(), r.seq().counter(),
                    Math.max(0, s.untilUs - now) / 1000, r.algorithm(), r.percent())));
                b.append('\n');
            });
            case "leases" -> duties.forEach((k, d) -> b.append(String.format("%s grant %d left %d ms\n", k, d.grant, Math.max(0, d.untilUs - now) / 1000)));
            case "replicas" -> rack.all().forEach(s -> b.append(String.format("%s %s %s in-hand %d others %d unread %d rate %.1f work %d us rtt %d us%s%s\n", s.row.id, s.row.service,
                s.row.hall, s.mine, s.othersInHand(now), s.unread, s.rate, (long) s.workUs, (long) s.rttUs, s.row.draining ? " draining" : "", now < s.suspectUntilUs ? " suspect" : "")));
            case "setup" -> b.append(MenuText.write(floor.table()));
            case "home" -> b.append(homeIp).append(ready ? " ready" : " not ready").append(" edition ").append(edition).append(" revision ").append(revision).append('\n');
            case "jobs" -> b.append(jobs.text());
            case "scaling" -> b.append(scaler.text(now));
            case "places" -> b.append(floor.places.text(200));
            case "traffic" -> b.append(Traffic.text());
            case "log" -> b.append(RingLog.tail(200));
            default -> b.append("? counters overload leases replicas setup home jobs scaling places traffic log\n");
        }
        return b.toString();
    }
}
