package martenloom.edge.dispatch;

import io.activej.eventloop.Eventloop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import martenloom.common.clock.Clocks;
import martenloom.common.fleet.FleetRecords;
import martenloom.common.load.LoadSummary;
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
        implements ClientConnection.RequestDispatcher, RequestQueues.Owner, AttemptResults.Owner {
    private final Eventloop loop;
    private final Settings settings;
    public final ReplicaTable replicaTable;
    public final RetryBudget budget;
    public final PrefixOwners places = new PrefixOwners();
    public final Overload.Receiver reports = new Overload.Receiver();
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    private final RequestQueues queues = new RequestQueues(this);
    private final SilenceWatch silence = new SilenceWatch(this::table, this::move);
    private final ReplicaSelector chooser;
    private boolean leaving;
    private final LateRequestPolicy late = new LateRequestPolicy();
    private final long startUs = Clocks.nowUs();
    private final SpreadCounter spread = new SpreadCounter();
    public final Counters counters = new Counters();
    private final RequestCompletion completion;
    private final AttemptResults results;

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
        completion = new RequestCompletion(loop, counters, reports, spread);
        results = new AttemptResults(loop, replicaTable, completion, late, counters, this);
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
        return completion.openRequests().stream().anyMatch(e -> e.deferred == 0)
                || clients.stream().anyMatch(ClientConnection::unsent);
    }

    /** Ends all that is in hand: what is not yet answered gets an answer, and streams are cut. */
    public void endAll() {
        completion.endAll();
    }

    public int inHand() {
        return completion.openRequests().size();
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
        for (var e : completion.openRequests()) {
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
                    completion.drop(e);
                });
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
                        route.get().service(spread.next(61)),
                        late.sink(r, route.get(), now),
                        r.beganUs(),
                        now);
        r.request = Optional.of(e);
        budget.request(e.service, now);
        replicaTable.weigh(e);
        if (e.deadlineUs <= now + 1000 || late.tooLate(e, now)) {
            completion.refuse(e, 0.1);
            return;
        }
        completion.open(e, now);
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
                        h, body, route.get(), route.get().service(spread.next(61)), sink, now, now);
        e.deferred = urgency + 1;
        e.lastEvent = lastEvent;
        completion.open(e, now);
        if (!dispatch(e, now)) {
            completion.finish(e);
            return Optional.empty();
        }
        counters.jobs++;
        return Optional.of(e);
    }

    public void dropJob(Request e) {
        completion.drop(e);
    }

    // ---- queue

    @Override
    public void refuse(Request e, double waitS) {
        completion.refuse(e, waitS);
    }

    @Override
    public long holdUs(Request e) {
        if (chooser.asleep(e)) {
            return (e.deadlineUs - e.arrivedUs) / 2;
        }
        return Math.min(e.route.aimUs / 5, (e.deadlineUs - e.arrivedUs) / 3);
    }

    @Override
    public void enqueue(Request e, long now) {
        if (e.deferred > 0) {
            completion.giveUp(e);
        } else if (e.sent > 0 && e.mayHaveRun && !e.route.repeatable()) {
            completion.fail(e, RequestCompletion.MAY_HAVE_RUN);
        } else if (!queues.add(e)) {
            completion.refuse(e, 1);
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
        var l = new Attempt(e, slot, slot.unread(e, kept), results);
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

    private boolean roomPosted;

    @Override
    public void onRoom() {
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
        l.giveUp();
    }

    /** A replica's life ended or its time runs out: what can go on elsewhere does. */
    public void onReplica(FleetRecords.Replica r) {
        replicaTable.take(r);
        replicaTable.slot(r.id).ifPresent(chooser::markResting);
    }
}
