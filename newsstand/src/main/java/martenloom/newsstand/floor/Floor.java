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
 * replica, a wait in the inbox, an answer, a cut. Admission, further legs and their budget are decided here; which
 * replica is the chooser's.
 */
public final class Floor implements Requester.Floor, Leg.Owner {
    private static final int INBOX = 1024;
    private static final long WONDER_US = 250_000;

    private final Eventloop loop;
    private final Props props;
    public final Rack rack;
    public final RetryPurse purse;
    public final Places places = new Places();
    public final Overload.Receiver reports = new Overload.Receiver();
    private final Set<Requester> requesters = new LinkedHashSet<>();
    private final Map<String, Deque<Errand>> inboxes = new TreeMap<>();
    private final Map<Errand, Clocks.ClockEvent> deadlines = new HashMap<>();
    private final Chooser chooser;
    private boolean leaving;
    private final long startUs = Clocks.nowUs();
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
        public long timeouts;
        public long moved;
        public long jobs;
    }

    public Floor(Eventloop loop, Props p, Rack rack) {
        this.loop = loop;
        props = p;
        this.rack = rack;
        chooser = new Chooser(p, rack, places, reports);
        purse = new RetryPurse(p.bounds.retryRatio, p.bounds.retryWindowS, p.bounds.retrySlack);
    }

    // ---- what the office tells

    public void onTable(RouteTable t) {
        chooser.onTable(t);
    }

    public void onPlaced(Map<String, ScaleRunner.Placed> p) {
        chooser.onPlaced(p);
    }

    public void onEvacuated(Set<String> halls, long now) {
        chooser.onEvacuated(halls, now);
    }

    public void onEdges(int n) {
        chooser.onEdges(n);
    }

    public int edges() {
        return chooser.edges();
    }

    public Set<String> evacuated() {
        return chooser.evacuated();
    }

    public long spilled() {
        return chooser.spilled();
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
        return chooser.table();
    }

    @Override
    public boolean leaving() {
        return leaving;
    }

    /** Our errands in flight at models, by region and model: from acceptance to the end, each where it runs, else here. */
    public void inFlight(Tally t) {
        for (var e : deadlines.keySet()) {
            var svc = table().services.get(e.service);
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
        if (table().revision == 0) {
            r.whole(Requester.plain(503, String.format(Locale.ROOT, "%.2f", Math.max(0.4, 2 - (now - startUs) / 1e6))), new byte[0]);
            return;
        }
        var q = h.two.indexOf('?');
        var host = h.get("Host").toLowerCase(Locale.ROOT);
        var c = host.indexOf(':');
        var route = table().find(c < 0 ? host : host.substring(0, c), q < 0 ? h.two : h.two.substring(0, q));
        if (route.isEmpty() && c >= 0) {
            route = table().find(host, q < 0 ? h.two : h.two.substring(0, q));
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

    /** Whether some replica has room to spare for a job of this urgency, past what interactive errands need. */
    public boolean jobRoom(String route, int urgency) {
        return !leaving && chooser.jobRoom(route, urgency);
    }

    /** Starts a job as an errand of its own kind: it never waits in an inbox, where it could stand before others. */
    public Optional<Errand> startJob(Head h, byte[] body, Errand.Sink sink, int urgency, String lastEvent) {
        var now = Clocks.nowUs();
        var q = h.two.indexOf('?');
        var route = table().find(h.get("Host").toLowerCase(Locale.ROOT), q < 0 ? h.two : h.two.substring(0, q));
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
        if (chooser.asleep(e)) {
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

    private boolean dispatch(Errand e, long now) {
        var s = chooser.choose(e, now);
        if (s.isEmpty()) {
            return false;
        }
        if (e.sent > 0 && !purse.spend(e.service, edges(), now)) {
            return false;
        }
        var svc = table().services.get(e.service);
        var slot = s.get();
        var kept = chooser.keeps(slot, e);
        var l = new Leg(e, slot, slot.unread(e, kept), this);
        l.aheadTokens = slot.unread + slot.othersUnread(now);
        l.ownTokens = ownTokens(e, slot, kept);
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
            if (e.sharedTokens() >= Chooser.LARGE) {
                places.put(Chooser.sharedPart(e), slot.row.id);
            }
        }
        l.start(loop, slot.region.equals(props.region) ? 400 : 700);
        return true;
    }

    /** Tokens that the replica certainly has to read: all when nobody sent the shared parts there, else the own part. */
    private static int ownTokens(Errand e, Rack.Slot s, boolean kept) {
        if (e.sizes.isEmpty()) {
            return e.promptTokens;
        }
        var all = !kept && e.sharedTokens() >= Chooser.LARGE && !s.has(Chooser.sharedPart(e));
        return all ? e.promptTokens : s.has(e.parts.get(e.parts.size() - 1)) ? 0 : e.sizes.get(e.sizes.size() - 1);
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
            s.wondering = false;
            return;
        }
        var first = s.legs.stream().filter(l -> l.sentUs > 0).mapToLong(l -> l.sentUs).min();
        var since = Math.max(s.heardUs, first.orElse(now));
        var patience = patience(s);
        s.wondering = now - since > Math.max(patience / 2, patience - WONDER_US);
        if (now - since < patience || s.othersHear(now) && now - since < patience * 2) {
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

    /**
     * How long a replica with legs in hand may say nothing. One event of a stream holds some tokens, and between any two of
     * them a piece of another prompt may be read, so a stream that runs may pause for as many pieces.
     */
    private long patience(Rack.Slot s) {
        var svc = table().services.get(s.row.service);
        if (svc == null || !svc.engine) {
            return (long) Math.max(200_000, s.workUs * 5 + s.rttUs);
        }
        var unread = s.unread + s.othersUnread(Clocks.nowUs());
        for (var l : s.legs) {
            if (l.started()) {
                return (long) (450_000 + s.rttUs + Math.min(unread, Rack.PIECE * svc.stepSize) / s.rate * 1000);
            }
        }
        return (long) (500_000 + s.rttUs + unread / s.rate * 2000);
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
        rack.slot(r.id).ifPresent(chooser::markResting);
    }
}
