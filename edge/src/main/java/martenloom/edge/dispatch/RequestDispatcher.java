package martenloom.edge.dispatch;

import io.activej.eventloop.Eventloop;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import martenloom.common.callers.CallerBounds;
import martenloom.common.callers.Callers;
import martenloom.common.clock.Clocks;
import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.load.LoadSummary;
import martenloom.common.settings.Settings;
import martenloom.edge.http.MessageHead;
import martenloom.edge.memory.MemoryAccounts;
import martenloom.edge.memory.MessageMemory;
import martenloom.edge.overload.OverloadReceiver;
import martenloom.edge.replica.PrefixOwners;
import martenloom.edge.replica.ReplicaPlacement;
import martenloom.edge.replica.ReplicaTable;
import martenloom.edge.replica.RoutingView;
import martenloom.routing.route.ClientLimits;
import martenloom.routing.route.RouteTable;

/**
 * The owner of all requests at this edge: wires the events of clients, attempts, the core and the
 * clock to the classes that decide. {@link RequestAdmission} admits a request, {@link
 * RequestScheduler} sends or queues it, {@link ReplicaSelector} picks its replica, {@link
 * RetryPolicy} decides what follows an attempt, and {@link RequestCompletion} ends it. Runs on the
 * reactor thread.
 */
public final class RequestDispatcher implements RequestHandler, RoutingView {
    private final Settings settings;
    private final ReplicaTable replicaTable;
    private final PrefixOwners prefixOwners = new PrefixOwners();
    private final OverloadReceiver overloadReports = new OverloadReceiver();
    private final DispatchCounters counters = new DispatchCounters();
    private final ShutdownAdmissionPolicy shutdownPolicy = new ShutdownAdmissionPolicy();
    private final OverloadReduction overload = new OverloadReduction(overloadReports);
    private final MemoryAccounts memory;
    private final Callers callers;
    private final ClientConnections clients = new ClientConnections();
    private final ClusterView cluster;
    private final CandidateFilter filter;
    private final StallDetector stallDetector;
    private final RequestCompletion completion;
    private final RequestAdmission admission;
    private final RequestScheduler scheduler;
    private final SentAheadRequests sentAhead;
    private boolean closesConnections;

    /** A dispatcher without routes and replicas; both come from the core. */
    public RequestDispatcher(Eventloop loop, Settings settings, ReplicaTable replicaTable) {
        this.settings = settings;
        this.replicaTable = replicaTable;
        memory = MemoryAccounts.of(settings);
        callers =
                Callers.at(
                        loop,
                        CallerBounds.ofEdge(settings).connections(),
                        memory.requests().account());
        cluster = new ClusterView(replicaTable);
        filter = new CandidateFilter(settings, replicaTable, cluster);
        stallDetector = new StallDetector(cluster);
        var prefixCache = new PrefixCacheOwnership(replicaTable, prefixOwners);
        var selector =
                new ReplicaSelector(settings, replicaTable, cluster, filter, prefixCache, overload);
        var starter = new AttemptStarter(loop, settings, cluster, selector, prefixCache, counters);
        var roundRobin = new RoundRobinCounter();
        completion = new RequestCompletion(loop, counters, overloadReports, roundRobin);
        admission =
                new RequestAdmission(
                        cluster, shutdownPolicy, completion, starter, replicaTable.predictor());
        scheduler =
                new RequestScheduler(
                        loop,
                        filter,
                        starter,
                        completion,
                        owner ->
                                new AttemptHandler(
                                        loop,
                                        replicaTable,
                                        completion,
                                        shutdownPolicy,
                                        memory.responses(),
                                        owner));
        sentAhead = new SentAheadRequests(loop, scheduler::anyWaiting);
    }

    @Override
    public void onSentAhead(Runnable goOn) {
        sentAhead.add(goOn);
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
            var service = table().services().get(request.service());
            if (!request.isJob() && service != null && service.inferenceEngine()) {
                var region =
                        request.attempt()
                                .map(attempt -> attempt.replica().region())
                                .orElse(settings.region());
                summary.addInFlight(ClusterView.regionAndModel(region, service.model()));
            }
        }
    }

    // ---- configuration and replicas

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

    /** Takes zones with how long ago they were taken back, in microseconds. */
    public void onReturnedZones(Map<String, Long> returnedAgoUs, long nowUs) {
        cluster.addReturnedZones(returnedAgoUs, nowUs);
    }

    public void onEdgeCount(int mostEver) {
        cluster.setEdgeCount(mostEver);
    }

    /** Takes a record of a replica; one that is gone is dropped. */
    public void onReplica(ReplicaRecord replica) {
        replicaTable.register(replica);
        replicaTable.find(replica.id()).ifPresent(cluster::onReplica);
    }

    // ---- requests of clients

    @Override
    public ClientLimits clientLimits() {
        return table().limits();
    }

    @Override
    public Callers callers() {
        return callers;
    }

    @Override
    public void onOpened(ClientConnection client) {
        clients.add(client);
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
    public MessageMemory requestMemory() {
        return memory.requests();
    }

    @Override
    public MessageMemory responseMemory() {
        return memory.responses();
    }

    @Override
    public void onRequest(ClientConnection client, MessageHead head, byte[] body) {
        var now = Clocks.nowUs();
        counters.countRequest();
        var admitted = admission.admit(client, head, body, now);
        if (admitted.isPresent()) {
            scheduler.schedule(admitted.get(), now);
        }
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
     * Starts a job as a request of its own kind, which is never queued.
     *
     * @param lastEventId the event behind which the job is resumed; empty for none
     * @return the request, or empty if there is no route or no replica for it now
     */
    public Optional<Request> startJob(
            MessageHead head, byte[] body, ResponseSink sink, int urgency, String lastEventId) {
        var now = Clocks.nowUs();
        var admitted = admission.admitJob(head, body, sink, now);
        if (admitted.isEmpty()) {
            return admitted;
        }
        admitted.get().makeJob(urgency, lastEventId);
        if (!scheduler.scheduleJob(admitted.get(), now)) {
            return Optional.empty();
        }
        counters.countJob();
        return admitted;
    }

    /** Ends a job that nobody waits for any longer. */
    public void cancelJob(Request request) {
        completion.cancel(request);
    }

    // ---- time

    /** Every 20 ms: offers what is queued again, and finds unresponsive replicas. */
    public void tick() {
        var now = Clocks.nowUs();
        scheduler.drainQueues(now);
        sentAhead.tick();
        for (var replica : replicaTable.active()) {
            stallDetector.check(replica, now);
        }
    }

    /** Twice a second: closes connections that are idle for too long or of no use any more. */
    public void sweep() {
        var now = Clocks.nowUs();
        clients.enforceTimeouts(now);
        if (clients.anyWaitsForMemory()) {
            callers.refuseStalled(now);
        }
        memory.requests().offerRoom(now);
        memory.responses().offerRoom(now);
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
        shutdownPolicy.setTermination(terminationUs);
    }

    /** Whether a client still waits for a response, or for bytes of one that are on their way. */
    public boolean hasPendingWork() {
        return completion.openRequests().stream().anyMatch(request -> !request.isJob())
                || clients.anyUnsentBytes();
    }

    /** Ends all interactive requests: those without a response get one, streams are aborted. */
    public void terminateAll() {
        completion.terminateAll();
    }

    /** Closes the connections of clients that wait for nothing. */
    public void closeIdleConnections() {
        clients.closeIdle();
    }
}
