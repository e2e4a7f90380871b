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
import martenloom.edge.http.ErrorResponse;
import martenloom.edge.http.HttpStatus;
import martenloom.edge.http.MessageHead;
import martenloom.edge.overload.OverloadReceiver;
import martenloom.edge.replica.PrefixOwners;
import martenloom.edge.replica.ReplicaPlacement;
import martenloom.edge.replica.ReplicaTable;
import martenloom.edge.replica.RoutingView;
import martenloom.routing.route.RouteTable;

/**
 * The owner of all requests at this edge: admits them, queues those that find no replica, and wires
 * the events of clients, attempts, the core and the clock to the classes that decide. Which replica
 * a request goes to is {@link ReplicaSelector}'s matter, what follows an attempt {@link
 * RetryPolicy}'s. Runs on the reactor thread.
 */
public final class RequestDispatcher
        implements ClientConnection.RequestHandler,
                RequestQueues.Owner,
                AttemptHandler.Owner,
                RoutingView {
    /** Services of a route are drawn by its weights in steps of this prime. */
    private static final int SERVICE_STEP = 61;

    /** File descriptors that are left to other things than clients and their replicas. */
    private static final int RESERVED_FDS = 200;

    /** A request with less time left than this is rejected when it comes. */
    private static final long LEAST_LEFT_US = 1000;

    /** After how long a client may come again that had too little time. */
    private static final double RETRY_AFTER_TOO_LATE_S = 0.1;

    /** After how long a client may come again when the queue of its service is full. */
    private static final double RETRY_AFTER_FULL_S = 1;

    /** The wait of clients before the first configuration, less the time since the start. */
    private static final double RETRY_AFTER_START_S = 2;

    private static final double LEAST_RETRY_AFTER_START_S = 0.4;
    private static final double US_PER_S = 1e6;

    /** The parts of the latency target and of its time for which a request may be queued. */
    private static final int MAX_WAIT_OF_LATENCY = 5;

    private static final int MAX_WAIT_OF_TIME = 3;

    private final Eventloop loop;
    private final Settings settings;
    private final ReplicaTable replicaTable;
    private final PrefixOwners prefixOwners = new PrefixOwners();
    private final OverloadReceiver overloadReports = new OverloadReceiver();
    private final DispatchCounters counters = new DispatchCounters();
    private final RoundRobinCounter roundRobin = new RoundRobinCounter();
    private final ShutdownAdmissionPolicy admission = new ShutdownAdmissionPolicy();
    private final OverloadReduction overload = new OverloadReduction(overloadReports);
    private final RequestQueues queues = new RequestQueues(this);
    private final ClusterView cluster;
    private final CandidateFilter filter;
    private final AttemptStarter starter;
    private final StallDetector stallDetector;
    private final RequestCompletion completion;
    private final AttemptHandler attemptHandler;
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    private final long startedUs = Clocks.nowUs();
    private boolean closesConnections;
    private boolean drainPosted;

    public RequestDispatcher(Eventloop loop, Settings settings, ReplicaTable replicaTable) {
        this.loop = loop;
        this.settings = settings;
        this.replicaTable = replicaTable;
        cluster = new ClusterView(replicaTable);
        filter = new CandidateFilter(settings, replicaTable, cluster);
        var prefixCache = new PrefixCacheOwnership(replicaTable, prefixOwners);
        var selector =
                new ReplicaSelector(settings, replicaTable, cluster, filter, prefixCache, overload);
        starter = new AttemptStarter(loop, settings, cluster, selector, prefixCache, counters);
        stallDetector = new StallDetector(cluster);
        completion = new RequestCompletion(loop, counters, overloadReports, roundRobin);
        attemptHandler =
                new AttemptHandler(loop, replicaTable, completion, admission, counters, this);
    }

    // ---- what it shares

    /** What this edge knows of the replicas. */
    public ReplicaTable replicaTable() {
        return replicaTable;
    }

    /** Where large shared segments of prompts were last sent. */
    public PrefixOwners prefixOwners() {
        return prefixOwners;
    }

    /** The overload reports of other regions. */
    public OverloadReceiver overloadReports() {
        return overloadReports;
    }

    public DispatchCounters counters() {
        return counters;
    }

    /** Requests that went to another region. */
    public long spilled() {
        return overload.spilled();
    }

    /** Requests that are open, deferred jobs among them. */
    public int requestsInFlight() {
        return completion.openRequests().size();
    }

    public int clientConnections() {
        return clients.size();
    }

    /**
     * Adds the interactive requests in flight at models to a summary, by region and model: each
     * where it runs, else here.
     */
    public void addRequestsInFlight(LoadSummary summary) {
        for (var request : completion.openRequests()) {
            var service = table().services.get(request.service());
            if (!request.isJob() && service != null && service.engine) {
                var region =
                        request.attempt()
                                .map(attempt -> attempt.replica().region())
                                .orElse(settings.region);
                summary.fly(ClusterView.regionAndModel(region, service.model));
            }
        }
    }

    // ---- what the core tells

    @Override
    public RouteTable table() {
        return cluster.table();
    }

    /** The most edges that there ever were. */
    public int edgeCount() {
        return cluster.edgeCount();
    }

    @Override
    public Set<String> evacuatedZones() {
        return cluster.evacuatedZones();
    }

    public void onTable(RouteTable table) {
        cluster.setTable(table);
    }

    /** Takes the placement of replicas, by region and model. */
    public void onPlacements(Map<String, ReplicaPlacement> placements) {
        cluster.setPlacements(placements);
    }

    public void onEvacuatedZones(Set<String> zones, long nowUs) {
        cluster.setEvacuatedZones(zones, nowUs);
    }

    public void onEdgeCount(int mostEver) {
        cluster.setEdgeCount(mostEver);
    }

    /** Takes a record of a replica; one that is gone is dropped. */
    public void onReplica(ReplicaRecord replica) {
        replicaTable.register(replica);
        replicaTable.find(replica.id).ifPresent(cluster::markUnloaded);
    }

    // ---- requests of clients

    @Override
    public RouteTable.Limits clientLimits() {
        return table().limits;
    }

    @Override
    public void onOpened(ClientConnection client) {
        clients.add(client);
        if (clients.size() > (settings.maxFds - RESERVED_FDS) / 2) {
            loop.post(client::close);
        }
    }

    @Override
    public void onClosed(ClientConnection client) {
        clients.remove(client);
        client.request()
                .ifPresent(
                        request -> {
                            client.detachRequest();
                            completion.cancel(request);
                        });
    }

    @Override
    public void onRequest(ClientConnection client, MessageHead head, byte[] body) {
        var now = Clocks.nowUs();
        counters.countRequest();
        if (table().revision == 0) {
            rejectBeforeConfiguration(client, now);
            return;
        }
        var found = RouteLookup.find(table(), head);
        if (found.isEmpty()) {
            client.respond(ErrorResponse.head(HttpStatus.NOT_FOUND), ErrorResponse.noBody());
            return;
        }
        var route = found.get();
        var service = route.service(roundRobin.next(SERVICE_STEP));
        var sink = admission.sinkFor(client, route, now);
        var request = new Request(head, body, route, service, sink, now);
        request.countClientTimeFrom(client.requestBeganUs());
        client.attach(request);
        admit(request, now);
    }

    private void admit(Request request, long nowUs) {
        starter.onRequest(request, nowUs);
        replicaTable.predictor().learnPromptSize(request.route(), request.prompt());
        if (request.deadlineUs() <= nowUs + LEAST_LEFT_US || admission.tooLate(request, nowUs)) {
            completion.reject(request, RETRY_AFTER_TOO_LATE_S);
            return;
        }
        completion.open(request, nowUs);
        if (!dispatch(request, nowUs)) {
            enqueue(request, nowUs);
        }
    }

    /** Until the first configuration has come, clients are told to come again soon. */
    private void rejectBeforeConfiguration(ClientConnection client, long nowUs) {
        var waitS =
                Math.max(
                        LEAST_RETRY_AFTER_START_S,
                        RETRY_AFTER_START_S - (nowUs - startedUs) / US_PER_S);
        client.respond(
                ErrorResponse.head(
                        HttpStatus.SERVICE_UNAVAILABLE, String.format(Locale.ROOT, "%.2f", waitS)),
                ErrorResponse.noBody());
    }

    // ---- deferred jobs

    /**
     * Whether some replica has capacity to spare for a job of this urgency, past what interactive
     * requests need.
     */
    public boolean hasJobCapacity(String route, int urgency) {
        return !closesConnections && filter.hasJobCapacity(route, urgency, Clocks.nowUs());
    }

    /**
     * Starts a job as a request of its own kind: it is never queued, where it could stand before
     * others.
     *
     * @param lastEventId the event behind which the job is resumed; empty for none
     */
    public Optional<Request> startJob(
            MessageHead head, byte[] body, ResponseSink sink, int urgency, String lastEventId) {
        var now = Clocks.nowUs();
        var route = RouteLookup.findForJob(table(), head);
        if (route.isEmpty()) {
            return Optional.empty();
        }
        var service = route.get().service(roundRobin.next(SERVICE_STEP));
        var request = new Request(head, body, route.get(), service, sink, now);
        request.makeJob(urgency, lastEventId);
        completion.open(request, now);
        if (!dispatch(request, now)) {
            completion.finish(request);
            return Optional.empty();
        }
        counters.countJob();
        return Optional.of(request);
    }

    /** Ends a job that nobody waits for any longer. */
    public void cancelJob(Request request) {
        completion.cancel(request);
    }

    // ---- attempts and queues

    @Override
    public boolean dispatch(Request request, long nowUs) {
        return starter.start(request, attemptHandler, nowUs);
    }

    @Override
    public void enqueue(Request request, long nowUs) {
        if (request.isJob()) {
            completion.giveUp(request);
        } else if (!RetryPolicy.mayWaitForRetry(request)) {
            completion.fail(request, RequestCompletion.MAY_HAVE_RUN);
        } else if (!queues.add(request)) {
            completion.reject(request, RETRY_AFTER_FULL_S);
        }
    }

    @Override
    public void reject(Request request, double retryAfterS) {
        completion.reject(request, retryAfterS);
    }

    @Override
    public long maxWaitUs(Request request) {
        if (filter.allUnloaded(request)) {
            return request.totalTimeUs() / 2;
        }
        return Math.min(
                request.route().aimUs / MAX_WAIT_OF_LATENCY,
                request.totalTimeUs() / MAX_WAIT_OF_TIME);
    }

    @Override
    public void onCapacityFreed() {
        if (!drainPosted && queues.anyWaiting()) {
            drainPosted = true;
            loop.post(
                    () -> {
                        drainPosted = false;
                        queues.drain(Clocks.nowUs());
                    });
        }
    }

    // ---- time

    /** Every 20 ms: offers what is queued again, and finds unresponsive replicas. */
    public void tick() {
        var now = Clocks.nowUs();
        queues.drain(now);
        for (var replica : List.copyOf(replicaTable.all())) {
            stallDetector.check(replica, now);
        }
    }

    /** Twice a second: closes connections that are idle for too long or of no use any more. */
    public void sweep() {
        var now = Clocks.nowUs();
        for (var client : List.copyOf(clients)) {
            client.enforceTimeouts(now);
        }
        for (var replica : replicaTable.all()) {
            replica.connections().closeUnusable(now);
        }
    }

    // ---- graceful shutdown

    @Override
    public boolean closesConnections() {
        return closesConnections;
    }

    /**
     * From now on responses carry "Connection: close", and idle connections are closed after a
     * moment.
     */
    public void beginClosingConnections() {
        closesConnections = true;
    }

    /**
     * From now on only requests are admitted that should end before this moment, and streams that
     * may last longer are buffered; see {@link ShutdownAdmissionPolicy}.
     */
    public void admitOnlyUntil(long terminationUs) {
        admission.setTermination(terminationUs);
    }

    /** Whether a client still waits for a response, or for bytes of one that are on their way. */
    public boolean hasPendingWork() {
        return completion.openRequests().stream().anyMatch(request -> !request.isJob())
                || clients.stream().anyMatch(client -> client.unsentBytes() > 0);
    }

    /** Ends all interactive requests: those without a response get one, streams are aborted. */
    public void terminateAll() {
        completion.terminateAll();
    }

    public void closeIdleConnections() {
        for (var client : List.copyOf(clients)) {
            if (client.idle()) {
                client.close();
            }
        }
    }
}
