package martenloom.pantry;

import io.activej.eventloop.*;
import io.activej.http.*;
import java.io.*;
import java.net.*;
import java.security.*;
import java.time.*;
import java.util.*;
import java.util.function.*;
import martenloom.galley.clock.*;
import martenloom.galley.fault.*;
import martenloom.galley.fleet.*;
import martenloom.galley.log.*;
import martenloom.galley.props.*;
import martenloom.galley.record.*;
import martenloom.galley.sibling.*;
import martenloom.galley.jobs.*;
import martenloom.galley.tally.*;
import martenloom.menu.language.*;
import martenloom.menu.route.*;
import martenloom.pantry.chain.*;
import martenloom.pantry.desk.*;
import martenloom.pantry.disk.*;
import martenloom.pantry.duty.*;
import martenloom.pantry.placement.*;
import martenloom.pantry.registry.*;
import martenloom.pantry.state.*;
import martenloom.pantry.tally.*;

/**
 * The core program: puts the chain, its disk, the registry and the desk on one reactor, and carries records between
 * the core daemons and to the edges that made this daemon their home. The chain's commands are carried out here and
 * nowhere else.
 */
public final class Pantry implements Links.Handler {
    private static final String MEMO = "replicas";
    private static final long TICK_US = 50_000;
    private static final long FLOOD_US = 100_000;
    private static final long DIGEST_US = 500_000;
    private static final long ASK_US = 2_500_000;
    private static final long SILENCE_US = 2_000_000;
    private static final long SUM_US = 100_000;
    private static final int FAR_TURNS = 5;
    private static final int QUIET_TURNS = 5;
    private static final long WANT_US = 350_000;
    /** Edges use even shares up to as many edges as sends; homes lend only when there are clearly more, so that no two ways add up. */
    private static final int LENT_APART = 4;

    private final Props props;
    private final Eventloop loop;
    private final Shelf shelf;
    private final ChainCore chain;
    private final FleetBook book;
    private final DutyDesk duties;
    private final PlacementDesk placement;
    private final Map<String, Links.Dial> dials = new TreeMap<>();
    private final Map<String, Links.Link> homes = new LinkedHashMap<>();
    private final Map<Long, BiConsumer<Integer, String>> asked = new HashMap<>();
    private final Map<Long, Runnable> remote = new HashMap<>();
    private final long startUs = Clocks.nowUs();
    private final boolean restored;
    private int memoDigest;
    private int mostEdges;
    private int mostHomes = 1;
    private final TallyDesk tally = new TallyDesk();
    private final WarmSlots warm;
    private final long life = new SecureRandom().nextLong();
    private long sums;
    private final Map<String, Long> wanted = new HashMap<>();
    private final Map<String, Long> menus = new HashMap<>();
    private long errands;
    private int turn;

    public Pantry(Props p, Eventloop loop, Shelf.Folder folder) {
        props = p;
        this.loop = loop;
        shelf = new Shelf(folder);
        var kept = shelf.load();
        var disk = kept.map(ChainCore.Ledger::of);
        if (disk.isEmpty() && p.bootstrap && founder()) {
            disk = Optional.of(new ChainCore.Ledger(ChainCore.Ballot.ZERO, ChainCore.Ballot.ZERO, CoreState.founded(seedIps())));
            shelf.keep(disk.get().bytes());
        }
        RingLog.note("pantry " + p.name + " starts, disk " + (disk.isPresent() ? "edition " + disk.get().state.edition : "empty"));
        chain = new ChainCore(p.ip, new SecureRandom().nextLong(), disk, nearness(), Clocks.nowUs());
        chain.onAway(shelf.awayUs());
        book = new FleetBook(p.beatMs * 1000L);
        chain.onLeastRoster(2 * Math.max(1, p.tolerateMachines) + 1);
        placement = new PlacementDesk(p, chain, book, this::table);
        chain.onSurvey(() -> placement.now().text());
        duties = new DutyDesk(chain, this::askHere);
        var known = shelf.note(MEMO).map(this::remember).orElse(0);
        warm = new WarmSlots(Clocks.nowUs(), kept.isEmpty() && p.bootstrap);
        restored = known > 0;
        RingLog.note("replicas remembered: " + known);
    }

    private int remember(byte[] memo) {
        try {
            var in = new Rec.In(memo, false);
            mostEdges = in.i32();
            mostHomes = Math.max(1, in.i32());
            return book.remember(in, Clocks.nowUs(), props.beatMs * 2000L);
        } catch (Fault f) {
            RingLog.wrong("the note of replicas is passed over: " + f.getMessage());
            return 0;
        }
    }

    private boolean founder() {
        return seedIps().contains(props.ip);
    }

    private List<String> seedIps() {
        return props.seeds.stream().map(s -> s.substring(0, s.lastIndexOf(':'))).distinct().toList();
    }

    /** Members of our own hall come first down the chain, so that it crosses between regions as seldom as it can. */
    private Comparator<String> nearness() {
        var net = props.ip.substring(0, props.ip.lastIndexOf('.'));
        return Comparator.<String, Boolean>comparing(m -> !m.startsWith(net + ".")).thenComparing(m -> m);
    }

    public void start() throws IOException {
        Links.listen(loop, new InetSocketAddress(InetAddress.getByName(props.ip), props.portLow), this);
        var desk = new ControlDesk(loop, props, book, this::handOver, this::flood, () -> table(chain.committed()), this::outside);
        var at = new LinkedHashSet<InetSocketAddress>();
        at.add(Props.address("ControlPlane", props.need("ControlPlane")));
        if (props.listen.containsKey("Directory")) {
            at.add(Props.address("Directory", props.need("Directory")));
        }
        HttpServer.builder(loop, desk)
            .withListenAddresses(List.copyOf(at))
            .withKeepAliveTimeout(Duration.ofSeconds(30))
            .withMaxBodySize(16 << 20)
            .build()
            .listen();
        chain.ledger().state.roster.forEach(this::dial);
        seedIps().forEach(this::dial);
        Clocks.every(loop, TICK_US, this::tick);
        Clocks.every(loop, FLOOD_US, this::flood);
        Clocks.every(loop, DIGEST_US, this::mend);
        Clocks.every(loop, SUM_US, this::sum);
        RingLog.say("pantry " + props.name + " ready at " + props.need("ControlPlane"));
    }

    public void stop() {
        RingLog.note("pantry stops");
        dials.values().forEach(Links.Dial::stop);
    }

    private void dial(String ip) {
        if (ip.equals(props.ip) || dials.containsKey(ip)) {
            return;
        }
        var to = Props.address("sibling", ip + ":" + props.portLow);
        dials.put(ip, new Links.Dial(loop, to, 200_000, l -> l.send(new Rec.Out(Rows.HELLO).text(props.ip).text(props.region).i32(mostEdges).bytes()), this));
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
        book.sweep(now);
        var ch = book.pollChanged();
        if (!ch.isEmpty()) {
            var b = book.rows(ch, false, now);
            toHomes((ip, l) -> l.send(b));
        }
        dials.values().forEach(d -> d.check(SILENCE_US));
    }

    private void flood() {
        var now = Clocks.nowUs();
        book.pollFlood(now).ifPresent(b -> dials.values().forEach(d -> d.send(b)));
        var ch = book.pollChanged();
        if (!ch.isEmpty()) {
            var b = book.rows(ch, false, now);
            toHomes((ip, l) -> l.send(b));
        }
    }

    private void mend() {
        mostEdges = Math.max(mostEdges, book.members(Clocks.nowUs()).size());
        mostHomes = Math.max(mostHomes, homesHere());
        var dg = (book.edgeDigest() * 31 + mostEdges) * 31 + mostHomes;
        if (dg != memoDigest) {
            memoDigest = dg;
            shelf.noteLater(MEMO, book.memo(mostEdges, mostHomes, Clocks.nowUs()));
        }
        warm.sweep(Clocks.nowUs());
        placement.watch(Clocks.nowUs());
        var b = book.digests();
        var up = dials.values().stream().filter(d -> d.link().isPresent()).toList();
        if (!up.isEmpty()) {
            up.get(turn++ % up.size()).send(b);
        }
        seedIps().forEach(this::dial);
        var beat = new Rec.Out(Rows.HELLO).text(props.ip).text(props.region).i32(mostEdges).bytes();
        dials.values().forEach(d -> d.send(beat));
    }

    /** How many core daemons of our region have made themselves known, ourselves with them. */
    private int homesHere() {
        return 1 + (int) regions.entrySet().stream().filter(e -> e.getValue().equals(props.region) && !e.getKey().equals(props.ip)).count();
    }

    // ---- sums of load

    private void sum() {
        var now = Clocks.nowUs();
        sums++;
        var quiet = sums % QUIET_TURNS == 0;
        var own = tally.own(now);
        sumTo(d -> props.region.equals(regions.getOrDefault(d, "")), TallyDesk.Way.REGION, own);
        if (sums % FAR_TURNS == 0) {
            sumTo(d -> !props.region.equals(regions.getOrDefault(d, "")), TallyDesk.Way.FAR, own);
        }
        if (!quiet && tally.version() == toldVersion && !tally.hasPlaces()) {
            return;
        }
        toldVersion = tally.version();
        var o = tally.whole(own, now).write(new Rec.Out());
        tally.writePlaces(o, TallyDesk.Way.EDGES);
        own.doubtful().write(o);
        var b = o.bytes();
        toHomes((ip, l) -> l.send(new Rec.Out(Rows.WHOLE_SUM).i64(tally.seqOf(ip)).raw(b).bytes()));
    }

    /** To a copy: a link that is found not to read is closed by the sending, and leaves the homes. */
    private void toHomes(BiConsumer<String, Links.Link> s) {
        List.copyOf(homes.entrySet()).forEach(e -> s.accept(e.getKey(), e.getValue()));
    }

    private long toldVersion = -1;

    private void sumTo(Predicate<String> whom, TallyDesk.Way way, Tally own) {
        var to = dials.keySet().stream().filter(whom).toList();
        if (to.isEmpty()) {
            return;
        }
        var o = own.write(new Rec.Out(Rows.HOME_SUM).text(props.ip).i64(life).i64(sums));
        tally.writePlaces(o, way);
        var b = o.bytes();
        to.forEach(d -> dials.get(d).send(b));
    }

    private void onSample(Rec.In in) {
        var now = Clocks.nowUs();
        var ip = in.text();
        var lf = in.i64();
        var sq = in.i64();
        if (tally.take(ip, lf, sq, Tally.read(in), now)) {
            places(in, true);
        }
    }

    private void onHomeSum(Rec.In in) {
        var ip = in.text();
        if (tally.takeHome(ip, in.i64(), in.i64(), Tally.read(in), Clocks.nowUs())) {
            places(in, false);
        }
    }

    private void places(Rec.In in, boolean fromEdge) {
        in.list(x -> {
            tally.place(x.text(), x.text(), fromEdge);
            return 0;
        });
    }

    /** A report comes from an edge of ours, then goes to all our edges and to the siblings; theirs pass it to their edges only. */
    private void onReport(Links.Link l, byte[] rec) {
        if (l.tag instanceof String ip && homes.get(ip) == l) {
            dials.values().forEach(d -> d.send(rec));
        }
        toHomes((ip, h) -> h.send(rec));
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
            Optional.ofNullable(dials.get(s.to())).ifPresent(d -> d.send(s.rec()));
        } else if (c instanceof ChainCore.Store s) {
            loop.startExternalTask();
            shelf.keepLater(() -> s.ledger().bytes(), () -> {
                loop.execute(() -> {
                    chain.onStored(Clocks.nowUs(), s.token());
                    carryOut();
                });
                loop.completeExternalTask();
            });
        } else if (c instanceof ChainCore.Answer a) {
            Optional.ofNullable(asked.remove(a.errand())).ifPresent(r -> r.accept(a.status(), a.text()));
        } else if (c instanceof ChainCore.Committed m) {
            RingLog.note("committed edition " + m.state().edition + " revision " + m.state().revision + " in view " + chain.view());
            m.state().roster.forEach(this::dial);
            var whole = setup(m.state(), true);
            var short1 = setup(m.state(), false);
            toHomes((ip, l) -> l.send(menus.getOrDefault(ip, -1L) == m.state().revision ? short1 : whole));
            homes.keySet().forEach(ip -> menus.put(ip, m.state().revision));
        }
    }

    /** What an edge needs of the core's state; the menu itself only when the edge has not been sent this revision. */
    private static byte[] setup(CoreState s, boolean menu) {
        return new Rec.Out(Rows.SETUP).i64(s.edition).i64(s.revision).text(menu ? s.menu : "").texts(s.evacuated)
            .list(s.scales.entrySet(), (w, e) -> w.text(e.getKey()).i32(e.getValue().desired()).flag(e.getValue().pinned()).texts(e.getValue().resting())).bytes();
    }

    private void setupWhole(String ip, Links.Link l) {
        var s = chain.committed();
        l.send(setup(s, true));
        menus.put(ip, s.revision);
    }

    // ---- errands to the chain

    private void askHere(CoreState.Change c, BiConsumer<Integer, String> receipt) {
        var id = ++errands;
        asked.put(id, receipt);
        chain.onAsk(Clocks.nowUs(), id, c);
        loop.post(this::carryOut);
    }

    private void handOver(CoreState.Change c, BiConsumer<Integer, String> receipt) {
        if (chain.heading()) {
            askHere(c, receipt);
            return;
        }
        var d = Optional.ofNullable(dials.get(chain.head())).filter(x -> x.link().isPresent());
        if (d.isEmpty() || chain.staleUs(Clocks.nowUs()) > 1_500_000) {
            receipt.accept(503, "no head is known at " + props.ip);
            return;
        }
        var id = ++errands;
        asked.put(id, receipt);
        var o = new Rec.Out(Rows.ASK).i64(id);
        c.write(o);
        d.get().send(o.bytes());
        Clocks.after(loop, ASK_US, () -> Optional.ofNullable(asked.remove(id)).ifPresent(r -> r.accept(503, "no receipt from the head " + chain.head())));
    }

    private void answerSibling(Links.Link l, long id, int s, String t) {
        l.send(new Rec.Out(Rows.ANSWER).i64(id).i32(s).text(t).bytes());
    }

    // ---- records

    @Override
    public void onRecord(Links.Link l, byte[] rec) {
        var t = rec[0];
        if (t <= ChainCore.STEP) {
            chain.onRecord(Clocks.nowUs(), l.peer, rec);
            carryOut();
            return;
        }
        var in = new Rec.In(rec, true);
        switch (t) {
            case Rows.HELLO -> {
                l.peer = in.text();
                regions.put(l.peer, in.text());
                mostEdges = Math.max(mostEdges, in.i32());
                l.send(new Rec.Out(Rows.HEARD).bytes());
                dial(l.peer);
            }
            case Rows.HEARD -> {}
            case Rows.FLOOD -> book.takeFlood(in, Clocks.nowUs());
            case Rows.DIGEST -> book.mend(in, Clocks.nowUs()).ifPresent(b -> Optional.ofNullable(dials.get(l.peer)).ifPresent(d -> d.send(b)));
            case Rows.ASK -> {
                var id = in.i64();
                askHere(CoreState.Change.read(in), (s, x) -> answerSibling(l, id, s, x));
            }
            case Rows.ANSWER -> {
                var r = Optional.ofNullable(asked.remove(in.i64()));
                var s = in.i32();
                var x = in.text();
                r.ifPresent(f -> f.accept(s, x));
            }
            case Rows.RENEW -> renew(l, in);
            case Rows.SAMPLE -> onSample(in);
            case Rows.HOME_SUM -> onHomeSum(in);
            case Rows.REPORT -> onReport(l, rec);
            case Rows.RESYNC -> {
                setupWhole(l.tag instanceof String ip ? ip : "", l);
                l.send(book.rows(book.replicas(), true, Clocks.nowUs()));
            }
            case Rows.EDGE_ASK -> edgeAsk(l, in);
            case Rows.DUTY_WANT -> duties.want(in.text(), in.text(), in.i64(), l);
            case Rows.DUTY_GRANT -> passGrant(rec, in);
            case Rows.QUERY -> l.send(new Rec.Out(Rows.TEXT).text(query(in.text())).bytes());
            default -> RingLog.note("link " + l.peer + ": unknown record " + t);
        }
    }

    private void renew(Links.Link l, Rec.In in) {
        var now = Clocks.nowUs();
        var e = Rows.Edge.read(in, now);
        e.heardUs = now;
        var stamp = in.i64();
        var holder = in.text();
        var wants = in.texts();
        var cold = in.texts();
        book.take(e, true);
        if (homes.put(e.ip, l) != l) {
            l.tag = e.ip;
            setupWhole(e.ip, l);
            l.send(book.rows(book.replicas(), true, now));
        }
        l.send(news(now, stamp, e, cold));
        jobs(e.region, holder, now).ifPresent(l::send);
        wants.forEach(k -> passWant(k, holder, stamp, now));
        if (e.leaving) {
            flood();
        }
    }

    private byte[] news(long now, long stamp, Rows.Edge e, List<String> cold) {
        var s = chain.committed();
        var o = new Rec.Out(Rows.NEWS).i64(stamp).i64(now - startUs + (restored ? 10_000_000 : 0)).i64(chain.staleUs(now)).i64(s.edition).i32(book.edgeDigest()).i32(mostEdges).i32(book.members(now).size());
        o.texts(cores()).flag(s.book.jobs.values().stream().anyMatch(j -> j.state.live() && j.region.equals(e.region)));
        return o.i64(WarmSlots.LEASE_US).list(lend(e, cold, now).entrySet(), (w, x) -> w.text(x.getKey()).i32(x.getValue())).bytes();
    }

    private Map<String, Integer> lend(Rows.Edge e, List<String> cold, long now) {
        var m = new LinkedHashMap<String, Integer>();
        if (!e.region.equals(props.region) || e.leaving) {
            return m;
        }
        var t = table(chain.committed());
        for (var id : cold) {
            var svc = book.replica(id).flatMap(r -> Optional.ofNullable(t.services.get(r.service)));
            var all = svc.map(x -> x.coldPerS(props.bounds.warmOverage, props.bounds.warmSlack)).orElse(0);
            var n = mostEdges <= all + LENT_APART ? 0 : warm.lend(id, e.ip, all / Math.max(mostHomes, homesHere()), homes.size(), now);
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
        var at = Math.max(s.book.clockUs, chain.jobClockUs(now));
        var t = table(s);
        var l = s.book.jobs.values().stream().filter(j -> j.state.live() && j.region.equals(region)).toList();
        return Optional.of(new Rec.Out(Rows.JOBS).list(l, (o, j) -> o.text(j.id).flag(j.state == Job.State.RUNNING).i64(j.fence).i64(j.dueUs - at).i64(j.dueUs - j.submittedUs)
            .text(j.prefix()).text(t.find(j.host, j.path).map(r -> r.name).orElse(""))).bytes());
    }

    private RouteTable tableNow = RouteTable.EMPTY;

    private RouteTable table(CoreState s) {
        if (tableNow.revision != s.revision) {
            tableNow = MenuText.compile(s.menu);
        }
        return tableNow;
    }

    /** Whether every member of the roster lies in a region that is allowed, as far as the regions are known. */
    private String outside(Set<String> allowed) {
        for (var m : chain.committed().roster) {
            var r = m.equals(props.ip) ? props.region : regions.getOrDefault(m, "");
            if (!allowed.contains(r)) {
                return r.isEmpty() ? "unknown" : r;
            }
        }
        return "";
    }

    private final Map<String, String> regions = new TreeMap<>();
    private long clockSentUs;

    private void jobClock(long now) {
        if (chain.heading() && chain.committed().book.live() > 0 && now - clockSentUs > 4_000_000) {
            clockSentUs = now;
            askHere(new CoreState.Change(CoreState.Act.JOB_CLOCK, 0, "", ""), (x, t) -> {});
        }
    }

    private void edgeAsk(Links.Link l, Rec.In in) {
        var id = in.i64();
        var act = CoreState.Act.valueOf(in.text());
        var c = new CoreState.Change(act, 0, in.text(), "");
        var fence = in.i64();
        var full = new CoreState.Change(act, fence, c.subject, in.text());
        if (!act.ofRunner()) {
            answerSibling(l, id, 400, "not for an edge");
            return;
        }
        handOver(full, (s, t) -> answerSibling(l, id, s, t));
    }

    private Collection<String> cores() {
        var c = new TreeSet<>(chain.committed().roster);
        c.addAll(dials.keySet());
        c.add(props.ip);
        return c;
    }

    /** The holder's own word goes on always, others' only one in a while: the head needs a candidate, not all of them. */
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
            Optional.ofNullable(homes.get(ipOf(holder))).ifPresent(l -> duties.want(key, holder, stamp, l));
            return;
        }
        Optional.ofNullable(dials.get(chain.head())).ifPresent(d -> d.send(new Rec.Out(Rows.DUTY_WANT).text(key).text(holder).i64(stamp).bytes()));
    }

    private static String ipOf(String holder) {
        var i = holder.indexOf('#');
        return i < 0 ? holder : holder.substring(0, i);
    }

    private void passGrant(byte[] rec, Rec.In in) {
        Optional.ofNullable(homes.get(ipOf(in.text()))).ifPresent(l -> l.send(rec));
    }

    @Override
    public void onClosed(Links.Link l) {
        if (l.tag instanceof String ip && homes.get(ip) == l) {
            homes.remove(ip);
            menus.remove(ip);
            tally.lapse(ip);
        }
    }

    // ---- the shell

    private String query(String q) {
        var now = Clocks.nowUs();
        var b = new StringBuilder();
        var words = q.split(" ");
        if (words.length == 3 && words[0].equals("would") && (words[2].equals("unload") || words[2].equals("load"))) {
            return placement.would(words[1], words[2]);
        }
        switch (q) {
            case "exposure" -> placement.exposure().forEach(f -> b.append(f.text()).append('\n'));
            case "scaling" -> chain.committed().scales.forEach((k, x) -> b.append(String.format("%s desired %d%s grant %d resting %s\n", k, x.desired(),
                x.pinned() ? " unloaded by the operator" : "", x.grant(), x.resting())));
            case "members" -> book.members(now).forEach(e -> b.append(String.format("%s %s %s %s%s revision %d lease-age %d ms\n", e.ip, e.name, e.hall,
                e.ready ? "ready" : "not-ready", e.leaving ? " leaving" : "", e.revision, (now - e.heardUs) / 1000)));
            case "chain" -> b.append(String.format("mode %s view %d.%s head %s chain %s stale %d ms\nroster %s\n", chain.mode(), chain.view().n(), chain.view().who(),
                chain.head(), chain.chain(), chain.staleUs(now) / 1000, chain.committed().roster));
            case "setup" -> b.append("revision ").append(chain.committed().revision).append(" edition ").append(chain.committed().edition).append('\n').append(chain.committed().menu);
            case "replicas" -> book.replicas().forEach(r -> b.append(String.format("%s %s %s %s %s seq %d beat-age %d ms warm-left %d ms\n", r.id, r.service, r.address, r.hall,
                r.gone ? "gone" : r.silent ? "silent" : r.draining ? "draining" : "ready", r.seq, (now - r.heardUs) / 1000, Math.max(0, r.warmAtUs - now) / 1000)));
            case "evacuations" -> chain.committed().evacuated.forEach(h -> b.append(h).append('\n'));
            case "homes" -> homes.forEach((ip, l) -> b.append(ip).append(" home ").append(props.ip).append('\n'));
            case "leases" -> chain.committed().duties.forEach((k, d) -> b.append(String.format("%s grant %d holder %s\n", k, d.grant, d.holder)));
            case "jobs" -> b.append(chain.committed().book.text(chain.jobClockUs(now)));
            case "traffic" -> b.append(Traffic.text());
            case "log" -> b.append(RingLog.tail(200));
            default -> b.append("? members chain setup replicas evacuations homes leases jobs scaling exposure traffic log; would REGION/MODEL unload|load\n");
        }
        return b.toString();
    }
}
