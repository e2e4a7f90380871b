package martenloom.newsstand.floor;

import io.activej.eventloop.*;
import java.nio.charset.*;
import java.util.*;
import martenloom.galley.clock.*;
import martenloom.galley.fleet.*;
import martenloom.galley.log.*;
import martenloom.galley.props.*;
import martenloom.galley.tally.*;
import martenloom.menu.route.*;
import martenloom.newsstand.budget.*;
import martenloom.newsstand.head.*;
import martenloom.newsstand.overload.*;
import martenloom.newsstand.rack.*;
import martenloom.newsstand.scaling.*;

/**
 * The owner of all errands at this edge. Requesters and legs tell it events; it answers with commands: a leg to a
 * replica, a wait in the inbox, an answer, a cut. Admission, choice of region and replica, further legs and their
 * budget, and the treatment of overload reports are decided here.
 */
public final class Floor implements Requester.Floor, Leg.Owner {
    private static final int INBOX = 1024;
    private static final int LARGE = 1000;
    private static final int LARGE_KIND = 2000;
    private static final double CROWD = 0.5;
    private static final int CROWD_LEAST = 20;
    private static final double AFFINITY_US = 15_000;

    private final Eventloop loop;
    private final Props props;
    public final Rack rack;
    public final RetryPurse purse;
    public final Places places = new Places();
    public final Overload.Receiver reports = new Overload.Receiver();
    private final Set<Requester> requesters = new LinkedHashSet<>();
    private final Map<String, Deque<Errand>> inboxes = new TreeMap<>();
    private final Map<Errand, Clocks.ClockEvent> deadlines = new HashMap<>();
    private RouteTable table = RouteTable.EMPTY;
    private Set<String> evacuated = Set.of();
    private Map<String, ScaleRunner.Placed> placed = Map.of();
    private boolean leaving;
    private final long startUs = Clocks.nowUs();
    private int edges = 1;
    private int ticket = new Random().nextInt(1 << 20);
    public final Counters counters = new Counters();

    /** Counts for the shell; plain numbers since the start. */
    public static final class Counters {
        public long errands;
        public long served;
        public long refused;
        public long failed;
        public long repeats;
        public long resumed;
        public long spilled;
        public long timeouts;
        public long moved;
        public long jobs;
    }

    public Floor(Eventloop loop, Props p, Rack rack) {
        this.loop = loop;
        props = p;
        this.rack = rack;
        purse = new RetryPurse(p.bounds.retryRatio, p.bounds.retryWindowS, p.bounds.retrySlack);
    }

    // ---- what the office tells

    public void onTable(RouteTable t) {
        table = t;
        markResting();
    }

    public void onPlaced(Map<String, ScaleRunner.Placed> p) {
        placed = p;
        markResting();
    }

    private void markResting() {
        rack.all().forEach(this::markResting);
    }

    private void markResting(Rack.Slot s) {
        var svc = Optional.ofNullable(table.services.get(s.row.service)).filter(x -> x.engine);
        var p = svc.flatMap(x -> Optional.ofNullable(placed.get(s.region + "/" + x.model)));
        s.resting = p.isPresent() && (p.get().pinned() || p.get().resting().contains(s.row.id));
    }

    /** Whether everything that could serve this errand rests: then it may wait for one to be woken. */
    private boolean asleep(Errand e) {
        var l = rack.of(e.service).stream().filter(s -> e.route.allows(s.region) && !s.row.draining && !s.row.silent && !evacuated.contains(s.row.hall)).toList();
        return !l.isEmpty() && l.stream().allMatch(s -> s.resting);
    }

    public void onEvacuated(Set<String> halls, long now) {
        for (var s : rack.all()) {
            if (evacuated.contains(s.row.hall) && !halls.contains(s.row.hall)) {
                var w = Optional.ofNullable(table.services.get(s.row.service)).map(x -> x.warmUs).orElse(0L);
                s.coldFloorUs = w == 0 ? 0 : now + w + 1_500_000;
            }
        }
        evacuated = Set.copyOf(halls);
    }

    public void onEdges(int n) {
        edges = Math.max(1, n);
    }

    public int edges() {
        return edges;
    }

    public Set<String> evacuated() {
        return evacuated;
    }

    public void leave() {
        leaving = true;
    }

    public int inHand() {
        return deadlines.size();
    }

    public int connections() {
        return requesters.size();
    }

    public void closeIdle() {
        for (var r : List.copyOf(requesters)) {
            if (r.idle()) {
                r.close();
            }
        }
    }

    @Override
    public RouteTable table() {
        return table;
    }

    @Override
    public boolean leaving() {
        return leaving;
    }

    /** Our errands in flight at models, by region and model: from acceptance to the end, each where it runs, else here. */
    public void inFlight(Tally t) {
        for (var e : deadlines.keySet()) {
            var svc = table.services.get(e.service);
            if (e.deferred == 0 && svc != null && svc.engine) {
                t.fly(e.leg.map(l -> l.slot.region).orElse(props.region) + "/" + svc.model);
            }
        }
    }

    // ---- events from requesters

    @Override
    public void onOpened(Requester r) {
        requesters.add(r);
        if (requesters.size() > (props.maxFds - 200) / 2) {
            loop.post(r::close);
        }
    }

    @Override
    public void onGone(Requester r) {
        requesters.remove(r);
        r.errand.ifPresent(e -> {
            r.errand = Optional.empty();
            drop(e);
        });
    }

    private void drop(Errand e) {
        if (!e.done()) {
            var l = e.leg;
            finish(e);
            l.ifPresent(this::letGo);
        }
    }

    private void letGo(Leg l) {
        uncount(l);
        l.abandon();
    }

    @Override
    public void onErrand(Requester r, Head h, byte[] body) {
        var now = Clocks.nowUs();
        counters.errands++;
        if (table.revision == 0) {
            r.whole(Requester.plain(503, String.format(Locale.ROOT, "%.2f", Math.max(0.4, 2 - (now - startUs) / 1e6))), new byte[0]);
            return;
        }
        var q = h.two.indexOf('?');
        var host = h.get("Host").toLowerCase(Locale.ROOT);
        var c = host.indexOf(':');
        var route = table.find(c < 0 ? host : host.substring(0, c), q < 0 ? h.two : h.two.substring(0, q));
        if (route.isEmpty() && c >= 0) {
            route = table.find(host, q < 0 ? h.two : h.two.substring(0, q));
        }
        if (route.isEmpty()) {
            r.whole(Requester.plain(404, ""), new byte[0]);
            return;
        }
        var e = new Errand(h, body, route.get(), route.get().service(ticket += 61), r, now);
        r.errand = Optional.of(e);
        purse.errand(e.service, now);
        rack.weigh(e);
        if (e.deadlineUs <= now + 1000) {
            refuse(e, 0.1);
            return;
        }
        deadlines.put(e, Clocks.after(loop, e.deadlineUs - now, () -> onDeadline(e)));
        if (!dispatch(e, now)) {
            enqueue(e, now);
        }
    }

    // ---- deferred jobs

    private static final double[] JOB_FILL = {0.4, 0.6, 0.8, 1.0};
    private static final double[] JOB_TIME = {0.35, 0.6, 1.0, 4.0};

    /** Whether some replica has room to spare for a job of this urgency, past what interactive errands need. */
    public boolean jobRoom(String route, int urgency) {
        var r = table.routes.stream().filter(x -> x.name.equals(route)).findFirst();
        return r.isPresent() && !leaving && r.get().shares.stream().anyMatch(s -> rack.of(s.service).stream().anyMatch(x -> jobRoom(x, r.get(), urgency, Clocks.nowUs())));
    }

    private boolean jobRoom(Rack.Slot s, RouteTable.Route r, int urgency, long now) {
        var in = s.mine + s.othersInHand(now);
        var ahead = (s.unread + s.othersUnread(now)) / s.rate * 1000;
        return r.allows(s.region) && !s.row.draining && !s.row.silent && !s.row.gone && now >= s.suspectUntilUs && !evacuated.contains(s.row.hall)
            && (s.warm(now) || urgency > 2) && in < Math.max(1, s.row.capacity * JOB_FILL[urgency]) && ahead < r.aimUs * JOB_TIME[urgency];
    }

    /** Starts a job as an errand of its own kind: it never waits in an inbox, where it could stand before others. */
    public Optional<Errand> startJob(Head h, byte[] body, Errand.Sink sink, int urgency, String lastEvent) {
        var now = Clocks.nowUs();
        var q = h.two.indexOf('?');
        var route = table.find(h.get("Host").toLowerCase(Locale.ROOT), q < 0 ? h.two : h.two.substring(0, q));
        if (route.isEmpty()) {
            return Optional.empty();
        }
        var e = new Errand(h, body, route.get(), route.get().service(ticket += 61), sink, now);
        e.deferred = urgency + 1;
        e.lastEvent = lastEvent;
        deadlines.put(e, Clocks.after(loop, e.deadlineUs - now, () -> onDeadline(e)));
        if (!dispatch(e, now)) {
            finish(e);
            return Optional.empty();
        }
        counters.jobs++;
        return Optional.of(e);
    }

    public void dropJob(Errand e) {
        drop(e);
    }

    // ---- inbox

    private long holdUs(Errand e) {
        if (!placed.isEmpty() && asleep(e)) {
            return (e.deadlineUs - e.arrivedUs) / 2;
        }
        return Math.min(e.route.aimUs / 5, (e.deadlineUs - e.arrivedUs) / 3);
    }

    private void enqueue(Errand e, long now) {
        var box = inboxes.computeIfAbsent(e.service, k -> new ArrayDeque<>());
        if (e.deferred > 0) {
            giveUp(e);
        } else if (e.sent > 0 && e.mayHaveRun && !e.route.repeatable()) {
            fail(e, 502);
        } else if (box.size() >= INBOX) {
            refuse(e, 1);
        } else {
            box.addLast(e);
        }
    }

    private void drainInboxes(long now) {
        for (var box : inboxes.values()) {
            if (box.isEmpty()) {
                continue;
            }
            var l = new ArrayList<>(box);
            l.sort(Comparator.comparingInt((Errand e) -> e.route.rank).thenComparingLong(e -> e.arrivedUs));
            box.clear();
            for (var e : l) {
                if (e.done()) {
                    continue;
                }
                if (dispatch(e, now)) {
                    continue;
                }
                var limit = e.sent > 0 ? Math.max(holdUs(e), (e.deadlineUs - e.arrivedUs) / 2) : holdUs(e);
                if (now - e.arrivedUs > limit) {
                    refuse(e, 0.4);
                } else {
                    box.addLast(e);
                }
            }
        }
    }

    // ---- choice

    private static final class Pick {
        final Optional<Rack.Slot> slot;
        final double costUs;

        Pick(Optional<Rack.Slot> s, double c) {
            slot = s;
            costUs = c;
        }
    }

    private boolean usable(Rack.Slot s, RouteTable.Service svc, Errand e, long now) {
        var r = s.row;
        if (r.gone || r.draining || r.silent || r.leavesAtUs != Long.MAX_VALUE || evacuated.contains(r.hall) || e.tried.contains(r.id)) {
            return false;
        }
        if (s.resting) {
            return false;
        }
        if (e.deferred > 0 && !jobRoom(s, e.route, e.deferred - 1, now)) {
            return false;
        }
        if (now < s.suspectUntilUs || now < s.fullUntilUs || s.othersDoubt(now) || s.fitness.state(now) == Fitness.State.ASIDE) {
            return false;
        }
        if (s.doubtful && s.mine > 0) {
            return false;
        }
        if (!s.warm(now) && svc.warmPerS > 0) {
            if (s.coldSends(now) + s.opening() >= coldShare(s, svc, now)) {
                return false;
            }
        }
        var conns = Math.max(1, (int) (svc.maxConnections * 0.95 / edges));
        if (s.idle.isEmpty() && s.open >= conns) {
            return false;
        }
        var in = s.mine + s.othersInHand(now);
        return in < (svc.engine ? r.capacity * 1.5 : r.capacity * 2.5);
    }

    /** An even share by the most edges ever, as long as that is one or more; past that, what the homes lent. */
    private int coldShare(Rack.Slot s, RouteTable.Service svc, long now) {
        var all = svc.coldPerS(props.bounds.warmOverage, props.bounds.warmSlack);
        return edges <= all ? all / edges : rack.coldShare(s.row.id, now);
    }

    private Pick best(List<Rack.Slot> slots, RouteTable.Service svc, Errand e, String region, long now) {
        var best = Optional.<Rack.Slot>empty();
        var cost = Double.MAX_VALUE;
        var bonus = svc.engine && e.sizes.size() > 1 ? topOf(slots, e, region) : Optional.<Rack.Slot>empty();
        for (var s : slots) {
            if (!s.region.equals(region) || !usable(s, svc, e, now) || crowded(s, svc, e, now)) {
                continue;
            }
            var c = rack.predict(s, svc, e, false, now) + s.farUs + s.fitness.costUs(now) - (bonus.isPresent() && bonus.get() == s ? AFFINITY_US : 0);
            if (c < cost) {
                cost = c;
                best = Optional.of(s);
            }
        }
        return new Pick(best, cost);
    }

    /**
     * Reading a large prompt slows every stream of its replica, so kinds of large prompts stay off replicas that are
     * well filled: half of their places or 20, whichever is more, for small batches are not slowed so soon. The measure is the kind's usual size: the largest of a kind are not kept out before the others.
     */
    private boolean crowded(Rack.Slot s, RouteTable.Service svc, Errand e, long now) {
        var most = Math.max(s.row.capacity * CROWD, Math.min(s.row.capacity - 2, CROWD_LEAST));
        return svc.engine && rack.usual(e.route) >= LARGE_KIND && s.mine + s.othersInHand(now) > most;
    }

    private static String sharedPart(Errand e) {
        return e.parts.get(e.parts.size() - 2);
    }

    private static int weight(Errand e, Rack.Slot s) {
        return mix(sharedPart(e).hashCode() * 31 + s.row.id.hashCode());
    }

    /** The replica of a region that the shared parts of a prompt belong to, the same at every edge. */
    private static Optional<Rack.Slot> topOf(List<Rack.Slot> slots, Errand e, String region) {
        var best = Optional.<Rack.Slot>empty();
        var top = Integer.MIN_VALUE;
        for (var s : slots) {
            if (s.region.equals(region) && !s.row.draining && !s.row.silent && !s.resting) {
                var h = weight(e, s);
                if (h > top) {
                    top = h;
                    best = Optional.of(s);
                }
            }
        }
        return best;
    }

    /**
     * Large shared parts belong to one replica of all allowed regions, so that each is read once: the one where some
     * edge last sent it, then those by hash, the same at every edge; the first that is usable and has room is taken. Reports in force keep a share away as ever.
     */
    private Optional<Rack.Slot> keeper(List<Rack.Slot> slots, RouteTable.Service svc, Errand e, double room, List<String> keptAway, long now) {
        var l = new ArrayList<Rack.Slot>();
        for (var s : slots) {
            if (e.route.allows(s.region) && !s.row.draining && !s.row.silent && !s.resting) {
                l.add(s);
            }
        }
        l.sort(Comparator.comparingInt((Rack.Slot s) -> weight(e, s)).reversed());
        places.keeper(sharedPart(e)).flatMap(rack::slot).filter(l::remove).ifPresent(s -> l.add(0, s));
        var least = l.stream().filter(s -> usable(s, svc, e, now)).mapToInt(s -> s.mine + s.othersInHand(now)).min().orElse(0);
        for (var i = 0; i < Math.min(3, l.size()); i++) {
            var s = l.get(i);
            var in = s.mine + s.othersInHand(now);
            if (!usable(s, svc, e, now) || crowded(s, svc, e, now) || in > 16 + least * 2 || rack.predict(s, svc, e, i == 0, now) > room) {
                continue;
            }
            var away = !s.region.equals(props.region);
            var k = s.region + "/" + svc.model;
            if (away && e.sent == 0 && !keptAway.contains(k) && reports.select(k, now)) {
                keptAway.add(k);
            }
            if (!away || !keptAway.contains(k)) {
                return Optional.of(s);
            }
        }
        return Optional.empty();
    }

    private static int mix(int x) {
        x ^= x >>> 16;
        x *= 0x7feb352d;
        x ^= x >>> 15;
        x *= 0x846ca68b;
        return x ^ x >>> 16;
    }

    private List<String> regions(List<Rack.Slot> slots, Errand e) {
        var l = new ArrayList<String>();
        for (var s : slots) {
            if (!l.contains(s.region) && e.route.allows(s.region)) {
                l.add(s.region);
            }
        }
        Collections.rotate(l, ticket);
        if (l.remove(props.region)) {
            l.add(0, props.region);
        }
        return l;
    }

    /** Own region first while it has room; then, past the reports in force, the allowed region with the most room. */
    private Optional<Rack.Slot> choose(Errand e, long now) {
        var svc = Optional.ofNullable(table.services.get(e.service)).orElseGet(RouteTable.Service::new);
        var slots = rack.of(e.service);
        var room = e.route.aimUs * 0.7 - (now - e.arrivedUs);
        var fallback = new Pick(Optional.empty(), Double.MAX_VALUE);
        var keptAway = new ArrayList<String>();
        if (svc.engine && e.sharedTokens() >= LARGE) {
            var k = keeper(slots, svc, e, room, keptAway, now);
            if (k.isPresent()) {
                return chosen(new Pick(k, 0), keptAway, !k.get().region.equals(props.region));
            }
        }
        var home = regions(slots, e);
        for (var g : home) {
            var away = !g.equals(props.region);
            var p = best(slots, svc, e, g, now);
            if (p.slot.isEmpty()) {
                continue;
            }
            var k = g + "/" + svc.model;
            if (away && keptAway.contains(k)) {
                continue;
            }
            if (away && e.sent == 0 && svc.engine && reports.select(k, now)) {
                keptAway.add(k);
                continue;
            }
            if (p.costUs < room && (!away || home.contains(props.region))) {
                return chosen(p, keptAway, away);
            }
            if (p.costUs < fallback.costUs) {
                fallback = p;
            }
        }
        if (fallback.slot.isPresent() && fallback.costUs < Math.min(e.route.aimUs * 1.5, (e.deadlineUs - now) * 0.6)) {
            return chosen(fallback, keptAway, !fallback.slot.get().region.equals(props.region));
        }
        if (e.keptAway.isEmpty()) {
            keptAway.forEach(k -> reports.at(k).held++);
        }
        e.keptAway = keptAway;
        return Optional.empty();
    }

    private Optional<Rack.Slot> chosen(Pick p, List<String> keptAway, boolean away) {
        keptAway.forEach(k -> reports.at(k).spilled++);
        if (away) {
            counters.spilled++;
        }
        return p.slot;
    }

    private boolean dispatch(Errand e, long now) {
        var s = choose(e, now);
        if (s.isEmpty()) {
            return false;
        }
        if (e.sent > 0 && !purse.spend(e.service, edges, now)) {
            return false;
        }
        var svc = table.services.get(e.service);
        var slot = s.get();
        var l = new Leg(e, slot, slot.unread(e, false), this);
        l.aheadTokens = slot.unread + slot.othersUnread(now);
        l.ownTokens = e.sizes.isEmpty() ? e.promptTokens : slot.has(e.parts.get(e.parts.size() - 1)) ? 0 : e.sizes.get(e.sizes.size() - 1);
        e.leg = Optional.of(l);
        e.become(e.state() == Errand.State.STREAMING ? Errand.State.STREAMING : Errand.State.RUNNING);
        slot.mine++;
        slot.unread += l.unread;
        slot.legs.add(l);
        if (e.sent > 0) {
            counters.repeats++;
        }
        if (svc != null && svc.engine) {
            slot.keep(e, svc.cacheTokens);
            if (e.sharedTokens() >= LARGE) {
                places.put(sharedPart(e), slot.row.id);
            }
        }
        l.start(loop, slot.region.equals(props.region) ? 400 : 700);
        return true;
    }

    private void uncount(Leg l) {
        if (l.counted) {
            l.counted = false;
            l.slot.mine--;
            l.slot.legs.remove(l);
            if (!l.started()) {
                l.slot.unread -= l.unread;
            }
            if (l.slot.legs.isEmpty()) {
                l.slot.quietSinceUs = 0;
            }
        }
    }

    // ---- events from legs

    @Override
    public void onStreamHead(Leg l, Head h) {
        var e = l.errand;
        if (e.done() || e.state() == Errand.State.STREAMING) {
            return;
        }
        e.become(Errand.State.STREAMING);
        h.dropHop();
        e.sink.open(headOnly(h));
    }

    private static byte[] headOnly(Head h) {
        var b = h.bytes();
        return Arrays.copyOf(b, b.length - 2);
    }

    private void first(Leg l) {
        if (l.started()) {
            return;
        }
        l.firstUs = Clocks.nowUs();
        l.slot.unread -= l.unread;
        var took = l.firstUs - l.sentUs - l.slot.rttUs - 15_000;
        if (l.ownTokens > 1500 && l.aheadTokens < 3000 && took > 5_000) {
            rack.learnRate(l.slot, Math.min(400, l.ownTokens * 1000.0 / took));
        }
    }

    @Override
    public void onEvents(Leg l, byte[] b, String lastId) {
        var e = l.errand;
        first(l);
        if (e.done()) {
            return;
        }
        if (!lastId.isEmpty()) {
            e.lastEvent = lastId;
        }
        e.sink.event(b);
        if (e.sink.waiting() > 1 << 18) {
            l.hold(true);
            resumeWhenRead(l);
        }
    }

    private void resumeWhenRead(Leg l) {
        Clocks.after(loop, 10_000, () -> {
            if (l.errand.done() || l.errand.sink.waiting() < 1 << 16) {
                l.hold(false);
            } else {
                resumeWhenRead(l);
            }
        });
    }

    @Override
    public void onStreamEnd(Leg l, byte[] rest) {
        uncount(l);
        var e = l.errand;
        if (e.done()) {
            return;
        }
        answered(l.slot, true, Clocks.nowUs());
        finish(e);
        counters.served++;
        e.sink.event(rest);
        e.sink.end();
        room();
    }

    @Override
    public void onWhole(Leg l, Head h, byte[] body) {
        uncount(l);
        var e = l.errand;
        e.sent++;
        if (e.done()) {
            return;
        }
        if (e.state() == Errand.State.STREAMING) {
            e.mayHaveRun = true;
            cutOff(e);
            return;
        }
        var now = Clocks.nowUs();
        var took = now - l.sentUs;
        answered(l.slot, h.status() < 500 || h.status() == 504, now);
        if (h.status() / 100 == 2) {
            l.slot.workUs += (Math.max(1000, took - l.slot.rttUs) - l.slot.workUs) * 0.05;
        }
        if (h.status() >= 500 && e.route.repeatable() && e.sent < e.route.tries) {
            e.mayHaveRun = true;
            e.tried.add(l.slot.row.id);
            again(e);
            return;
        }
        finish(e);
        counters.served++;
        h.dropHop();
        e.sink.whole(headOnly(h), body);
        room();
    }

    @Override
    public void onFailed(Leg l, Leg.Failure f, Optional<Head> h) {
        uncount(l);
        var e = l.errand;
        var now = Clocks.nowUs();
        RingLog.note("leg of " + e.id + " at " + l.slot.row.id + " failed: " + f);
        if (f == Leg.Failure.UNSENT) {
            l.slot.hold(700_000, now);
        } else {
            e.sent++;
        }
        if (f == Leg.Failure.UNRUN) {
            h.ifPresent(x -> turnedAway(l.slot, x, now));
        } else if (f != Leg.Failure.UNSENT) {
            e.mayHaveRun = true;
            answered(l.slot, false, now);
        }
        if (e.done()) {
            return;
        }
        e.tried.add(l.slot.row.id);
        e.leg = Optional.empty();
        if (f == Leg.Failure.UNSENT) {
            e.tried.remove(l.slot.row.id);
            retryOr(e, now);
        } else if (f == Leg.Failure.CUT && !e.route.resumable) {
            cutOff(e);
        } else if (f != Leg.Failure.UNRUN && !e.route.repeatable()) {
            fail(e, 502);
        } else if (e.sent >= e.route.tries) {
            giveUp(e);
        } else {
            again(e);
        }
    }

    private void answered(Rack.Slot s, boolean well, long now) {
        s.fitness.answered(well, now);
        if (!well) {
            rack.judge(s, s.fitness.ok(now), s.fitness.bad(now), 0, 0, now);
        }
    }

    private static void turnedAway(Rack.Slot s, Head h, long now) {
        if (h.status() == 421) {
            s.suspectUntilUs = now + 1_500_000;
        } else if (h.status() == 503 || h.status() == 429) {
            s.fullUntilUs = now + 60_000;
        }
    }

    private void again(Errand e) {
        if (e.state() == Errand.State.RUNNING) {
            e.become(Errand.State.WAITING);
        }
        e.leg = Optional.empty();
        retryOr(e, Clocks.nowUs());
    }

    private void retryOr(Errand e, long now) {
        if (!dispatch(e, now)) {
            if (e.tried.size() >= rack.of(e.service).size()) {
                e.tried.clear();
            }
            enqueue(e, now);
        }
    }

    private void giveUp(Errand e) {
        if (e.state() == Errand.State.STREAMING) {
            cutOff(e);
        } else if (e.mayHaveRun) {
            fail(e, 502);
        } else {
            refuse(e, 0.3);
        }
    }

    // ---- ends

    private void finish(Errand e) {
        e.become(Errand.State.DONE);
        Optional.ofNullable(deadlines.remove(e)).ifPresent(Clocks.ClockEvent::cancel);
        if (e.sink instanceof Requester r) {
            r.errand = Optional.empty();
        }
    }

    private void refuse(Errand e, double waitS) {
        if (e.state() == Errand.State.STREAMING) {
            cutOff(e);
            return;
        }
        if (e.mayHaveRun && !e.route.repeatable()) {
            fail(e, 502);
            return;
        }
        finish(e);
        counters.refused++;
        e.keptAway.forEach(k -> reports.at(k).refused++);
        e.sink.whole(Requester.plain(503, String.format(Locale.ROOT, "%.2f", waitS * (0.75 + Math.floorMod(ticket += 7, 100) / 200.0))), new byte[0]);
    }

    private void fail(Errand e, int status) {
        if (e.state() == Errand.State.STREAMING) {
            cutOff(e);
            return;
        }
        finish(e);
        counters.failed++;
        e.sink.whole(Requester.plain(status, ""), new byte[0]);
    }

    private void cutOff(Errand e) {
        finish(e);
        counters.failed++;
        e.sink.cut();
    }

    private void onDeadline(Errand e) {
        if (e.done()) {
            return;
        }
        counters.timeouts++;
        var l = e.leg;
        var sent = l.isPresent() && l.get().state() != Leg.State.OPENING;
        e.mayHaveRun |= sent;
        if (e.state() == Errand.State.STREAMING) {
            cutOff(e);
        } else if (e.mayHaveRun) {
            fail(e, 504);
        } else {
            refuse(e, 0.3);
        }
        l.ifPresent(this::letGo);
    }

    private boolean roomPosted;

    private void room() {
        if (!roomPosted && inboxes.values().stream().anyMatch(b -> !b.isEmpty())) {
            roomPosted = true;
            loop.post(() -> {
                roomPosted = false;
                drainInboxes(Clocks.nowUs());
            });
        }
    }

    // ---- time

    /** Every 20 ms: the inboxes, and replicas that have gone quiet with legs in hand. */
    public void tick() {
        var now = Clocks.nowUs();
        drainInboxes(now);
        for (var s : List.copyOf(rack.all())) {
            quiet(s, now);
        }
    }

    public void sweep() {
        var now = Clocks.nowUs();
        for (var r : List.copyOf(requesters)) {
            r.check(now);
        }
        for (var s : rack.all()) {
            for (var w : List.copyOf(s.idle)) {
                if (!w.usable(now)) {
                    w.close();
                }
            }
        }
    }

    private void quiet(Rack.Slot s, long now) {
        if (s.legs.isEmpty() || s.quietSinceUs == 0 && now - s.heardUs < 300_000) {
            return;
        }
        var first = s.legs.stream().filter(l -> l.sentUs > 0).mapToLong(l -> l.sentUs).min();
        var since = Math.max(s.heardUs, first.orElse(now));
        if (now - since < patience(s)) {
            return;
        }
        if (s.suspectUntilUs < now) {
            RingLog.note("replica " + s.row.id + " is quiet with " + s.legs.size() + " legs");
        }
        s.suspectUntilUs = Math.max(s.suspectUntilUs, now + 500_000);
        s.doubtful = true;
        for (var l : List.copyOf(s.legs)) {
            move(l, now);
        }
    }

    private long patience(Rack.Slot s) {
        var svc = table.services.get(s.row.service);
        if (svc == null || !svc.engine) {
            return (long) Math.max(200_000, s.workUs * 5 + s.rttUs);
        }
        for (var l : s.legs) {
            if (l.started()) {
                return (long) (450_000 + s.rttUs);
            }
        }
        return (long) (500_000 + s.rttUs + (s.unread + s.othersUnread(Clocks.nowUs())) / s.rate * 2000);
    }

    /** Takes a repeatable errand off a replica that has gone quiet, when another replica and the budget allow. */
    private void move(Leg l, long now) {
        var e = l.errand;
        if (e.done() || !e.route.repeatable() || l.state() == Leg.State.OPENING || l.state() == Leg.State.OVER || e.sent + 1 >= e.route.tries) {
            return;
        }
        if (now - l.sentUs < 150_000) {
            return;
        }
        e.sent++;
        e.tried.add(l.slot.row.id);
        if (!dispatch(e, now)) {
            e.sent--;
            e.leg = Optional.of(l);
            return;
        }
        counters.moved++;
        letGo(l);
    }

    /** A replica's life ended or its time runs out: what can go on elsewhere does. */
    public void onReplica(Rows.Replica r) {
        rack.take(r);
        if (!placed.isEmpty()) {
            rack.slot(r.id).ifPresent(this::markResting);
        }
    }
}
