package martenloom.edge.dispatch;

import io.activej.eventloop.Eventloop;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import martenloom.common.clock.Clocks;
import martenloom.common.fleet.FleetRecords;
import martenloom.common.load.LoadSummary;
import martenloom.common.log.RingLog;
import martenloom.common.settings.Settings;
import martenloom.edge.budget.RetryBudget;
import martenloom.edge.http.Head;
import martenloom.edge.overload.Overload;
import martenloom.edge.replica.PrefixOwners;
import martenloom.edge.replica.ReplicaTable;
import martenloom.edge.scaling.ScaleRunner;
import martenloom.routing.route.RouteTable;

/**
 * The owner of all requests at this edge. Clients and attempts tell it events; it answers with
 * commands: an attempt at a replica, a wait in the queue, an answer, a cut. Admission, further
 * attempts and their budget are decided here; which replica is the chooser's.
 */
public final class RequestDispatcher
        implements ClientConnection.RequestDispatcher, Attempt.Owner, RequestQueues.Owner {
    private final Eventloop loop;
    private final Settings settings;
    public final ReplicaTable replicaTable;
    public final RetryBudget budget;
    public final PrefixOwners places = new PrefixOwners();
    public final Overload.Receiver reports = new Overload.Receiver();
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    private final RequestQueues queues = new RequestQueues(this);
    private final SilenceWatch silence = new SilenceWatch(this::table, this::move);
    private final Map<Request, Clocks.Timer> deadlines = new HashMap<>();
    private final ReplicaSelector chooser;
    private boolean leaving;
    private final LateRequestPolicy late = new LateRequestPolicy();
    private final long startUs = Clocks.nowUs();
    private int ticket = new Random().nextInt(1 << 20);
    public final Counters counters = new Counters();

    /** Counts for the shell; plain numbers since the start. */
    public static final class Counters {
        public long requests;
        public long served;
        public long refused;
        public long failed;
        public long repeats;
        public long resumed;
        public long timeouts;
        public long moved;
        public long jobs;
    }

    public RequestDispatcher(Eventloop loop, Settings p, ReplicaTable replicaTable) {
        this.loop = loop;
        settings = p;
        this.replicaTable = replicaTable;
        chooser = new ReplicaSelector(p, replicaTable, places, reports);
        budget = new RetryBudget(p.bounds.retryRatio, p.bounds.retryWindowS, p.bounds.retrySlack);
    }

    // ---- what the office tells

    public void onTable(RouteTable t) {
        chooser.onTable(t);
    }

    public void onPlaced(Map<String, ScaleRunner.Placed> p) {
        chooser.onPlaced(p);
    }

    public void onEvacuated(Set<String> zones, long now) {
        chooser.onEvacuated(zones, now);
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

    /**
     * From now on answers carry "Connection: close", and idle connections are closed after a
     * moment.
     */
    public void closeConnections() {
        leaving = true;
    }

    /**
     * From now on only requests are begun that should end before this moment, by the longest time
     * that their route took lately, and streams that may last longer than that are withheld until
     * they are whole; the others are refused.
     */
    public void takeOnlyUntil(long endUs) {
        late.takeOnlyUntil(endUs);
    }

    /**
     * Whether a client still waits for anything: for an answer, or for bytes of one that are on
     * their way out.
     */
    public boolean holdsAnything() {
        return deadlines.keySet().stream().anyMatch(e -> e.deferred == 0)
                || clients.stream().anyMatch(ClientConnection::unsent);
    }

    /** Ends all that is in hand: what is not yet answered gets an answer, and streams are cut. */
    public void endAll() {
        for (var e : List.copyOf(deadlines.keySet())) {
            if (e.deferred == 0) {
                endUnfinished(e);
            }
        }
    }

    public int inHand() {
        return deadlines.size();
    }

    public int connections() {
        return clients.size();
    }

    public void closeIdle() {
        for (var r : List.copyOf(clients)) {
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

    /**
     * Our requests in flight at models, by region and model: from acceptance to the end, each where
     * it runs, else here.
     */
    public void inFlight(LoadSummary t) {
        for (var e : deadlines.keySet()) {
            var svc = table().services.get(e.service);
            if (e.deferred == 0 && svc != null && svc.engine) {
                t.fly(e.attempt.map(l -> l.slot.region).orElse(settings.region) + "/" + svc.model);
            }
        }
    }

    // ---- events from clients

    @Override
    public void onOpened(ClientConnection r) {
        clients.add(r);
        if (clients.size() > (settings.maxFds - 200) / 2) {
            loop.post(r::close);
        }
    }

    @Override
    public void onGone(ClientConnection r) {
        clients.remove(r);
        r.request.ifPresent(
                e -> {
                    r.request = Optional.empty();
                    drop(e);
                });
    }

    private void drop(Request e) {
        if (!e.done()) {
            var l = e.attempt;
            finish(e);
            l.ifPresent(this::letGo);
        }
    }

    private void letGo(Attempt l) {
        uncount(l);
        l.abandon();
    }

    @Override
    public void onRequest(ClientConnection r, Head h, byte[] body) {
        var now = Clocks.nowUs();
        counters.requests++;
        if (table().revision == 0) {
            r.whole(
                    ClientConnection.plain(
                            503,
                            String.format(
                                    Locale.ROOT, "%.2f", Math.max(0.4, 2 - (now - startUs) / 1e6))),
                    new byte[0]);
            return;
        }
        var q = h.two.indexOf('?');
        var host = h.get("Host").toLowerCase(Locale.ROOT);
        var c = host.indexOf(':');
        var route =
                table().find(
                                c < 0 ? host : host.substring(0, c),
                                q < 0 ? h.two : h.two.substring(0, q));
        if (route.isEmpty() && c >= 0) {
            route = table().find(host, q < 0 ? h.two : h.two.substring(0, q));
        }
        if (route.isEmpty()) {
            r.whole(ClientConnection.plain(404, ""), new byte[0]);
            return;
        }
        var e =
                new Request(
                        h,
                        body,
                        route.get(),
                        route.get().service(ticket += 61),
                        late.sink(r, route.get(), now),
                        r.beganUs(),
                        now);
        r.request = Optional.of(e);
        budget.request(e.service, now);
        replicaTable.weigh(e);
        if (e.deadlineUs <= now + 1000 || late.tooLate(e, now)) {
            refuse(e, 0.1);
            return;
        }
        deadlines.put(e, Clocks.after(loop, e.deadlineUs - now, () -> onDeadline(e)));
        if (!dispatch(e, now)) {
            enqueue(e, now);
        }
    }

    // ---- deferred jobs

    /**
     * Whether some replica has room to spare for a job of this urgency, past what interactive
     * requests need.
     */
    public boolean jobRoom(String route, int urgency) {
        return !leaving && chooser.jobRoom(route, urgency);
    }

    /**
     * Starts a job as an request of its own kind: it never waits in an queue, where it could stand
     * before others.
     */
    public Optional<Request> startJob(
            Head h, byte[] body, Request.Sink sink, int urgency, String lastEvent) {
        var now = Clocks.nowUs();
        var q = h.two.indexOf('?');
        var route =
                table().find(
                                h.get("Host").toLowerCase(Locale.ROOT),
                                q < 0 ? h.two : h.two.substring(0, q));
        if (route.isEmpty()) {
            return Optional.empty();
        }
        var e =
                new Request(
                        h, body, route.get(), route.get().service(ticket += 61), sink, now, now);
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

    public void dropJob(Request e) {
        drop(e);
    }

    // ---- queue

    @Override
    public long holdUs(Request e) {
        if (chooser.asleep(e)) {
            return (e.deadlineUs - e.arrivedUs) / 2;
        }
        return Math.min(e.route.aimUs / 5, (e.deadlineUs - e.arrivedUs) / 3);
    }

    private void enqueue(Request e, long now) {
        if (e.deferred > 0) {
            giveUp(e);
        } else if (e.sent > 0 && e.mayHaveRun && !e.route.repeatable()) {
            fail(e, 502);
        } else if (!queues.add(e)) {
            refuse(e, 1);
        }
    }

    @Override
    public boolean dispatch(Request e, long now) {
        var s = chooser.choose(e, now);
        if (s.isEmpty()) {
            return false;
        }
        if (e.sent > 0 && !budget.spend(e.service, edges(), now)) {
            return false;
        }
        var svc = table().services.get(e.service);
        var slot = s.get();
        var kept = chooser.keeps(slot, e);
        var l = new Attempt(e, slot, slot.unread(e, kept), this);
        l.aheadTokens = slot.unread + slot.othersUnread(now);
        l.ownTokens = ownTokens(e, slot, kept);
        e.attempt = Optional.of(l);
        e.become(
                e.state() == Request.State.STREAMING
                        ? Request.State.STREAMING
                        : Request.State.RUNNING);
        slot.mine++;
        slot.unread += l.unread;
        slot.attempts.add(l);
        if (e.sent > 0) {
            counters.repeats++;
        }
        if (svc != null && svc.engine) {
            slot.keep(e, svc.cacheTokens);
            if (e.sharedTokens() >= ReplicaSelector.LARGE) {
                places.put(ReplicaSelector.sharedPart(e), slot.row.id);
            }
        }
        l.start(loop, slot.region.equals(settings.region) ? 400 : 700);
        return true;
    }

    /**
     * Tokens that the replica certainly has to read: all when nobody sent the shared parts there,
     * else the own part.
     */
    private static int ownTokens(Request e, ReplicaTable.Slot s, boolean kept) {
        if (e.sizes.isEmpty()) {
            return e.promptTokens;
        }
        var all =
                !kept
                        && e.sharedTokens() >= ReplicaSelector.LARGE
                        && !s.has(ReplicaSelector.sharedPart(e));
        return all
                ? e.promptTokens
                : s.has(e.parts.get(e.parts.size() - 1)) ? 0 : e.sizes.get(e.sizes.size() - 1);
    }

    private void uncount(Attempt l) {
        if (l.counted) {
            l.counted = false;
            l.slot.mine--;
            l.slot.attempts.remove(l);
            if (!l.started()) {
                l.slot.unread -= l.unread;
            }
            if (l.slot.attempts.isEmpty()) {
                l.slot.quietSinceUs = 0;
            }
        }
    }

    // ---- events from attempts

    @Override
    public void onStreamHead(Attempt l, Head h) {
        var e = l.request;
        if (e.done() || e.state() == Request.State.STREAMING) {
            return;
        }
        e.become(Request.State.STREAMING);
        h.dropHop();
        e.sink.open(headOnly(h));
    }

    private static byte[] headOnly(Head h) {
        var b = h.bytes();
        return Arrays.copyOf(b, b.length - 2);
    }

    private void first(Attempt l) {
        if (l.started()) {
            return;
        }
        l.firstUs = Clocks.nowUs();
        l.slot.unread -= l.unread;
        var took = l.firstUs - l.sentUs - l.slot.rttUs - 15_000;
        if (l.ownTokens > 1500 && l.aheadTokens < 3000 && took > 5_000) {
            replicaTable.learnRate(l.slot, Math.min(400, l.ownTokens * 1000.0 / took));
        }
    }

    @Override
    public void onEvents(Attempt l, byte[] b, String lastId) {
        var e = l.request;
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

    private void resumeWhenRead(Attempt l) {
        Clocks.after(
                loop,
                10_000,
                () -> {
                    if (l.request.done() || l.request.sink.waiting() < 1 << 16) {
                        l.hold(false);
                    } else {
                        resumeWhenRead(l);
                    }
                });
    }

    @Override
    public void onStreamEnd(Attempt l, byte[] rest) {
        uncount(l);
        var e = l.request;
        if (e.done()) {
            return;
        }
        var now = Clocks.nowUs();
        answered(l.slot, true, now);
        late.onAnswered(e, now);
        finish(e);
        counters.served++;
        e.sink.event(rest);
        e.sink.end();
        room();
    }

    @Override
    public void onWhole(Attempt l, Head h, byte[] body) {
        uncount(l);
        var e = l.request;
        e.sent++;
        if (e.done()) {
            return;
        }
        if (e.state() == Request.State.STREAMING) {
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
        if (promises(h.status()) && !e.route.repeatable()) {
            e.mayHaveRun = true;
            fail(e, 502);
            return;
        }
        late.onAnswered(e, now);
        finish(e);
        counters.served++;
        h.dropHop();
        e.sink.whole(headOnly(h), body);
        room();
    }

    /**
     * Statuses that tell a client that its request was not run: a replica that has run it may not
     * say so through us.
     */
    private static boolean promises(int status) {
        return status == 408 || status == 429 || status == 503;
    }

    @Override
    public void onFailed(Attempt l, Attempt.Failure f, Optional<Head> h) {
        uncount(l);
        var e = l.request;
        var now = Clocks.nowUs();
        RingLog.note("attempt of " + e.id + " at " + l.slot.row.id + " failed: " + f);
        var expired = now >= e.deadlineUs - 1000;
        if (f == Attempt.Failure.UNSENT) {
            if (!expired) {
                l.slot.hold(700_000, now);
            }
        } else {
            e.sent++;
        }
        if (f == Attempt.Failure.UNRUN) {
            h.ifPresent(x -> turnedAway(l.slot, x, now));
        } else if (f != Attempt.Failure.UNSENT) {
            e.mayHaveRun = true;
            answered(l.slot, false, now);
        }
        if (e.done()) {
            return;
        }
        e.tried.add(l.slot.row.id);
        e.attempt = Optional.empty();
        if (f == Attempt.Failure.UNSENT && expired) {
            onDeadline(e);
        } else if (f == Attempt.Failure.UNSENT) {
            e.tried.remove(l.slot.row.id);
            retryOr(e, now);
        } else if (f == Attempt.Failure.CUT && !e.route.resumable) {
            cutOff(e);
        } else if (f != Attempt.Failure.UNRUN && !e.route.repeatable()) {
            fail(e, 502);
        } else if (e.sent >= e.route.tries) {
            giveUp(e);
        } else {
            again(e);
        }
    }

    private void answered(ReplicaTable.Slot s, boolean well, long now) {
        s.health.answered(well, now);
        if (!well) {
            replicaTable.judge(s, s.health.ok(now), s.health.bad(now), 0, 0, now);
        }
    }

    private static void turnedAway(ReplicaTable.Slot s, Head h, long now) {
        if (h.status() == 421) {
            s.suspectUntilUs = now + 1_500_000;
        } else if (h.status() == 503 || h.status() == 429) {
            s.fullUntilUs = now + 60_000;
        }
    }

    private void again(Request e) {
        if (e.state() == Request.State.RUNNING) {
            e.become(Request.State.WAITING);
        }
        e.attempt = Optional.empty();
        retryOr(e, Clocks.nowUs());
    }

    private void retryOr(Request e, long now) {
        if (!dispatch(e, now)) {
            if (e.tried.size() >= replicaTable.of(e.service).size()) {
                e.tried.clear();
            }
            enqueue(e, now);
        }
    }

    private void giveUp(Request e) {
        if (e.state() == Request.State.STREAMING) {
            cutOff(e);
        } else if (e.mayHaveRun) {
            fail(e, 502);
        } else {
            refuse(e, 0.3);
        }
    }

    // ---- ends

    private void finish(Request e) {
        e.become(Request.State.DONE);
        Optional.ofNullable(deadlines.remove(e)).ifPresent(Clocks.Timer::cancel);
        if (e.sink instanceof ClientConnection r) {
            r.request = Optional.empty();
        }
    }

    @Override
    public void refuse(Request e, double waitS) {
        if (e.state() == Request.State.STREAMING) {
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
        e.sink.whole(
                ClientConnection.plain(
                        503,
                        String.format(
                                Locale.ROOT,
                                "%.2f",
                                waitS * (0.75 + Math.floorMod(ticket += 7, 100) / 200.0))),
                new byte[0]);
    }

    private void fail(Request e, int status) {
        if (e.state() == Request.State.STREAMING) {
            cutOff(e);
            return;
        }
        finish(e);
        counters.failed++;
        e.sink.whole(ClientConnection.plain(status, ""), new byte[0]);
    }

    private void cutOff(Request e) {
        finish(e);
        counters.failed++;
        e.sink.cut();
    }

    private void onDeadline(Request e) {
        if (e.done()) {
            return;
        }
        counters.timeouts++;
        endUnfinished(e);
    }

    /** A final answer for a request whose time is over: a promise only where it never ran. */
    private void endUnfinished(Request e) {
        var l = e.attempt;
        var sent = l.isPresent() && l.get().state() != Attempt.State.OPENING;
        e.mayHaveRun |= sent;
        if (e.state() == Request.State.STREAMING) {
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
        if (!roomPosted && queues.anyWaits()) {
            roomPosted = true;
            loop.post(
                    () -> {
                        roomPosted = false;
                        queues.drain(Clocks.nowUs());
                    });
        }
    }

    // ---- time

    /** Every 20 ms: the queues, and replicas that have gone quiet with attempts in hand. */
    public void tick() {
        var now = Clocks.nowUs();
        queues.drain(now);
        for (var s : List.copyOf(replicaTable.all())) {
            silence.check(s, now);
        }
    }

    public void sweep() {
        var now = Clocks.nowUs();
        for (var r : List.copyOf(clients)) {
            r.check(now);
        }
        for (var s : replicaTable.all()) {
            for (var w : List.copyOf(s.idle)) {
                if (!w.usable(now)) {
                    w.close();
                }
            }
        }
    }

    /**
     * Takes a repeatable request off a replica that has gone quiet, when another replica and the
     * budget allow.
     */
    private void move(Attempt l, long now) {
        var e = l.request;
        if (e.done()
                || !e.route.repeatable()
                || l.state() == Attempt.State.OPENING
                || l.state() == Attempt.State.OVER
                || e.sent + 1 >= e.route.tries) {
            return;
        }
        if (now - l.sentUs < 150_000) {
            return;
        }
        e.sent++;
        e.tried.add(l.slot.row.id);
        if (!dispatch(e, now)) {
            e.sent--;
            e.attempt = Optional.of(l);
            return;
        }
        counters.moved++;
        letGo(l);
    }

    /** A replica's life ended or its time runs out: what can go on elsewhere does. */
    public void onReplica(FleetRecords.Replica r) {
        replicaTable.take(r);
        replicaTable.slot(r.id).ifPresent(chooser::markResting);
    }
}
