package martenloom.edge.dispatch;

import io.activej.eventloop.Eventloop;
import java.util.function.Function;
import martenloom.common.clock.Clocks;

/**
 * Starts the attempts of admitted requests, and queues those for which there is no replica now. The
 * queues are offered again every tick, and as soon as a replica has capacity. Runs on the reactor
 * thread.
 */
final class RequestScheduler implements RequestQueues.Owner, AttemptHandler.Owner {
    /** After how long a client may come again when the queue of its service is full. */
    private static final double RETRY_AFTER_FULL_S = 1;

    /** The parts of the latency target and of its time for which a request may be queued. */
    private static final int MAX_WAIT_OF_LATENCY = 5;

    private static final int MAX_WAIT_OF_TIME = 3;

    private final Eventloop loop;
    private final CandidateFilter filter;
    private final AttemptStarter starter;
    private final RequestCompletion completion;
    private final AttemptHandler attemptHandler;
    private final RequestQueues queues = new RequestQueues(this);

    /** Whether the queues will be offered again in the reactor's next turn. */
    private boolean drainPosted;

    RequestScheduler(
            Eventloop loop,
            CandidateFilter filter,
            AttemptStarter starter,
            RequestCompletion completion,
            Function<AttemptHandler.Owner, AttemptHandler> attemptHandlers) {
        this.loop = loop;
        this.filter = filter;
        this.starter = starter;
        this.completion = completion;
        attemptHandler = attemptHandlers.apply(this);
    }

    /** Opens a request of a client and sends or queues it. */
    void schedule(Request request, long nowUs) {
        completion.open(request, nowUs);
        if (!dispatch(request, nowUs)) {
            enqueue(request, nowUs);
        }
    }

    /**
     * Opens a job and sends it. It is never queued, where it could stand before others.
     *
     * @return whether it was sent; if not, it is closed again
     */
    boolean scheduleJob(Request request, long nowUs) {
        completion.open(request, nowUs);
        if (!dispatch(request, nowUs)) {
            completion.finish(request);
            return false;
        }
        return true;
    }

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
                request.route().latencyTargetUs() / MAX_WAIT_OF_LATENCY,
                request.totalTimeUs() / MAX_WAIT_OF_TIME);
    }

    @Override
    public void onCapacityFreed() {
        if (!drainPosted && queues.anyWaiting()) {
            drainPosted = true;
            loop.post(
                    () -> {
                        drainPosted = false;
                        drainQueues(Clocks.nowUs());
                    });
        }
    }

    /** Whether any request waits for a replica. */
    boolean anyWaiting() {
        return queues.anyWaiting();
    }

    /** Offers what is queued again. */
    void drainQueues(long nowUs) {
        queues.drain(nowUs);
    }
}
