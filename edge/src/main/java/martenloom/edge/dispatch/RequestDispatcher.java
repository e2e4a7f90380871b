package martenloom.edge.dispatch;

import io.activej.eventloop.Eventloop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import martenloom.common.clock.Clocks;
import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.load.LoadSummary;
import martenloom.common.settings.Settings;
import martenloom.edge.budget.RetryBudget;
import martenloom.edge.http.Head;
import martenloom.edge.overload.OverloadReceiver;
import martenloom.edge.replica.PrefixOwners;
import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.edge.replica.ReplicaPlacement;
import martenloom.edge.replica.ReplicaTable;
import martenloom.edge.replica.RoutingView;
import martenloom.routing.route.Route;
import martenloom.routing.route.RouteTable;

/**
 * The owner of all requests at this edge. Clients and attempts tell it events; it answers with
 * commands: an attempt at a replica, a wait in the queue, an answer, a cut. Admission, further
 * attempts and their budget are decided here; which replica is the chooser's.
 */
public final class RequestDispatcher
        implements ClientConnection.RequestDispatcher,
                RequestQueues.Owner,
                AttemptResults.Owner,
                RoutingView {
    private final Eventloop loop;
    private final Settings settings;
    public final ReplicaTable replicaTable;
    public final RetryBudget budget;
    public final PrefixOwners places = new PrefixOwners();
    public final OverloadReceiver reports = new OverloadReceiver();
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    private final RequestQueues queues = new RequestQueues(this);
    private final SilenceWatch silence = new SilenceWatch(this::table);
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

    public RequestDispatcher(Eventloop loop, Settings settings, ReplicaTable replicaTable) {
        this.loop = loop;
        this.settings = settings;
        this.replicaTable = replicaTable;
        chooser = new ReplicaSelector(settings, replicaTable, places, reports);
        completion = new RequestCompletion(loop, counters, reports, spread);
        results = new AttemptResults(loop, replicaTable, completion, late, counters, this);
        budget =
                new RetryBudget(
                        settings.bounds().retryBudgetRatio(),
                        settings.bounds().retryWindowS(),
                        settings.bounds().retryBudgetSlack());
    }

    // ---- what the core tells

    public void onTable(RouteTable table) {
        chooser.onTable(table);
    }

    public void onPlaced(Map<String, ReplicaPlacement> placed) {
        chooser.onPlaced(placed);
    }

    public void onEvacuated(Set<String> zones, long now) {
        chooser.onEvacuated(zones, now);
    }

    public void onEdges(int edges) {
        chooser.onEdges(edges);
    }

    public int edges() {
        return chooser.edges();
    }

    @Override
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
        return completion.openRequests().stream().anyMatch(request -> request.deferred == 0)
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
        for (var client : List.copyOf(clients)) {
            if (client.idle()) {
                client.close();
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
    public void inFlight(LoadSummary sums) {
        for (var request : completion.openRequests()) {
            var service = table().services().get(request.service);
            if (request.deferred == 0 && service != null && service.inferenceEngine()) {
                sums.addInFlight(
                        request.attempt
                                        .map(attempt -> attempt.slot.region())
                                        .orElse(settings.region())
                                + "/"
                                + service.model());
            }
        }
    }

    // ---- events from clients

    @Override
    public void onOpened(ClientConnection client) {
        clients.add(client);
        if (clients.size() > (settings.maxFileDescriptors() - 200) / 2) {
            loop.post(client::close);
        }
    }

    @Override
    public void onGone(ClientConnection client) {
        clients.remove(client);
        client.request.ifPresent(
                request -> {
                    client.request = Optional.empty();
                    completion.drop(request);
                });
    }

    @Override
    public void onRequest(ClientConnection client, Head head, byte[] body) {
        var now = Clocks.nowUs();
        counters.requests++;
        if (table().revision() == 0) {
            refuseWithoutTable(client, now);
            return;
        }
        var route = findRoute(head);
        if (route.isEmpty()) {
            client.whole(ClientConnection.plain(404, ""), new byte[0]);
            return;
        }
        var request =
                new Request(
                        head,
                        body,
                        route.get(),
                        route.get().pickService(spread.next(61)),
                        late.sink(client, route.get(), now),
                        client.beganUs(),
                        now);
        client.request = Optional.of(request);
        budget.onRequest(request.service, now);
        replicaTable.predictor().learnPromptSize(request.route, request);
        if (request.deadlineUs <= now + 1000 || late.tooLate(request, now)) {
            completion.refuse(request, 0.1);
            return;
        }
        completion.open(request, now);
        if (!dispatch(request, now)) {
            enqueue(request, now);
        }
    }

    /** Until the first configuration has come, clients are told to come again soon. */
    private void refuseWithoutTable(ClientConnection client, long now) {
        var waitS = Math.max(0.4, 2 - (now - startUs) / 1e6);
        var wait = String.format(Locale.ROOT, "%.2f", waitS);
        client.whole(ClientConnection.plain(503, wait), new byte[0]);
    }

    /** The route of a request by its host without the port, else by its host as it stands. */
    private Optional<Route> findRoute(Head head) {
        var host = head.get("Host").toLowerCase(Locale.ROOT);
        var port = host.indexOf(':');
        var path = path(head);
        var route = table().find(port < 0 ? host : host.substring(0, port), path);
        return route.isEmpty() && port >= 0 ? table().find(host, path) : route;
    }

    private static String path(Head head) {
        var query = head.two.indexOf('?');
        return query < 0 ? head.two : head.two.substring(0, query);
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
            Head head, byte[] body, Request.Sink sink, int urgency, String lastEvent) {
        var now = Clocks.nowUs();
        var route = table().find(head.get("Host").toLowerCase(Locale.ROOT), path(head));
        if (route.isEmpty()) {
            return Optional.empty();
        }
        var request =
                new Request(
                        head,
                        body,
                        route.get(),
                        route.get().pickService(spread.next(61)),
                        sink,
                        now,
                        now);
        request.deferred = urgency + 1;
        request.lastEvent = lastEvent;
        completion.open(request, now);
        if (!dispatch(request, now)) {
            completion.finish(request);
            return Optional.empty();
        }
        counters.jobs++;
        return Optional.of(request);
    }

    public void dropJob(Request request) {
        completion.drop(request);
    }

    // ---- queue

    @Override
    public void refuse(Request request, double waitS) {
        completion.refuse(request, waitS);
    }

    @Override
    public long holdUs(Request request) {
        if (chooser.asleep(request)) {
            return (request.deadlineUs - request.arrivedUs) / 2;
        }
        return Math.min(
                request.route.latencyTargetUs() / 5, (request.deadlineUs - request.arrivedUs) / 3);
    }

    @Override
    public void enqueue(Request request, long now) {
        if (request.deferred > 0) {
            completion.giveUp(request);
        } else if (request.sent > 0 && request.mayHaveRun && !request.route.retriable()) {
            completion.fail(request, RequestCompletion.MAY_HAVE_RUN);
        } else if (!queues.add(request)) {
            completion.refuse(request, 1);
        }
    }

    @Override
    public boolean dispatch(Request request, long now) {
        var chosen = chooser.choose(request, now);
        if (chosen.isEmpty()) {
            return false;
        }
        if (request.sent > 0 && !budget.trySpend(request.service, edges(), now)) {
            return false;
        }
        var service = table().services().get(request.service);
        var slot = chosen.get();
        var kept = chooser.keeps(slot, request);
        var attempt =
                new Attempt(
                        request, slot, slot.prefixCache().missingTokens(request, kept), results);
        attempt.aheadTokens = slot.load().pendingPrefillTokens(now);
        attempt.ownTokens = ownTokens(request, slot, kept);
        request.attempt = Optional.of(attempt);
        request.become(
                request.state() == Request.State.STREAMING
                        ? Request.State.STREAMING
                        : Request.State.RUNNING);
        slot.addAttempt(attempt, attempt.unread);
        if (request.sent > 0) {
            counters.repeats++;
        }
        if (service != null && service.inferenceEngine()) {
            slot.prefixCache().add(request, service.cacheTokens());
            if (request.sharedTokens() >= ReplicaSelector.LARGE) {
                places.onSent(ReplicaSelector.sharedPart(request), slot.id());
            }
        }
        attempt.start(loop, slot.region().equals(settings.region()) ? 400 : 700);
        return true;
    }

    /**
     * Tokens that the replica certainly has to read: all when nobody sent the shared parts there,
     * else the own part.
     */
    private static int ownTokens(Request request, ReplicaEndpoint slot, boolean kept) {
        if (request.sizes.isEmpty()) {
            return request.promptTokens;
        }
        var all =
                !kept
                        && request.sharedTokens() >= ReplicaSelector.LARGE
                        && !slot.prefixCache().contains(ReplicaSelector.sharedPart(request));
        return all
                ? request.promptTokens
                : slot.prefixCache().contains(request.parts.get(request.parts.size() - 1))
                        ? 0
                        : request.sizes.get(request.sizes.size() - 1);
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
        for (var slot : List.copyOf(replicaTable.all())) {
            silence.check(slot, now);
        }
    }

    public void sweep() {
        var now = Clocks.nowUs();
        for (var client : List.copyOf(clients)) {
            client.check(now);
        }
        for (var slot : replicaTable.all()) {
            slot.connections().closeUnusable(now);
        }
    }

    /**
     * Takes a repeatable request off a replica that has gone quiet, when another replica and the
     * budget allow.
     */
    @Override
    public void move(Attempt attempt, long now) {
        var request = attempt.request;
        if (request.done()
                || !request.route.retriable()
                || attempt.state() == Attempt.State.OPENING
                || attempt.state() == Attempt.State.OVER
                || request.sent + 1 >= request.route.maxAttempts()) {
            return;
        }
        if (now - attempt.sentUs < 150_000) {
            return;
        }
        request.sent++;
        request.tried.add(attempt.slot.id());
        if (!dispatch(request, now)) {
            request.sent--;
            request.attempt = Optional.of(attempt);
            return;
        }
        counters.moved++;
        attempt.giveUp();
    }

    /** A replica's life ended or its time runs out: what can go on elsewhere does. */
    public void onReplica(ReplicaRecord replica) {
        replicaTable.register(replica);
        replicaTable.find(replica.id()).ifPresent(chooser::markResting);
    }
}
