package martenloom.edge.dispatch;

import io.activej.eventloop.Eventloop;
import java.util.Arrays;
import java.util.Optional;
import martenloom.common.clock.Clocks;
import martenloom.common.log.RingLog;
import martenloom.edge.http.Head;
import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.edge.replica.ReplicaTable;

/**
 * Decides what follows the events of an attempt: an answer goes to the client, a failed attempt is
 * retried, a cut stream is resumed, or the request is ended. A request that may have run is sent
 * again only when its route is repeatable, and a stream only when its route is resumable. What a
 * replica answered is learnt for its health and its rate. All methods run on the thread of the
 * reactor.
 */
final class AttemptResults implements Attempt.Owner {
    /** A stream is held back while more than this waits for the client to read it. */
    private static final int HOLD_ABOVE_BYTES = 1 << 18;

    private static final int RELEASE_BELOW_BYTES = 1 << 16;
    private static final long RELEASE_CHECK_US = 10_000;

    /** How long a replica that could not be reached is left alone. */
    private static final long UNREACHED_HOLD_US = 700_000;

    private static final long MISDIRECTED_SUSPECT_US = 1_500_000;
    private static final long FULL_US = 60_000;
    private static final long LEAST_LEFT_US = 1000;

    /** What the reading of a prompt takes besides the tokens that are read. */
    private static final long FIRST_EVENT_BASE_US = 15_000;

    /** What the results of attempts need of the dispatcher. */
    interface Owner {
        /** Starts a further attempt; false when none can be started now. */
        boolean dispatch(Request request, long now);

        /** Lets a request wait for its further attempt. */
        void enqueue(Request request, long now);

        /** A replica has room for a request that waits. */
        void onRoom();

        /** Moves an attempt off an unresponsive replica, when that is allowed. */
        void move(Attempt attempt, long now);
    }

    private final Eventloop loop;
    private final ReplicaTable replicaTable;
    private final RequestCompletion completion;
    private final LateRequestPolicy late;
    private final RequestDispatcher.Counters counters;
    private final Owner owner;

    AttemptResults(
            Eventloop loop,
            ReplicaTable replicaTable,
            RequestCompletion completion,
            LateRequestPolicy late,
            RequestDispatcher.Counters counters,
            Owner owner) {
        this.loop = loop;
        this.replicaTable = replicaTable;
        this.completion = completion;
        this.late = late;
        this.counters = counters;
        this.owner = owner;
    }

    // ---- streams

    @Override
    public void onStreamHead(Attempt attempt, Head head) {
        var request = attempt.request;
        if (request.done() || request.state() == Request.State.STREAMING) {
            return;
        }
        request.become(Request.State.STREAMING);
        head.dropHop();
        request.sink.open(headOnly(head));
    }

    private static byte[] headOnly(Head head) {
        var bytes = head.bytes();
        return Arrays.copyOf(bytes, bytes.length - 2);
    }

    @Override
    public void onEvents(Attempt attempt, byte[] events, String lastId) {
        var request = attempt.request;
        learnFromFirst(attempt);
        if (request.done()) {
            return;
        }
        if (!lastId.isEmpty()) {
            request.lastEvent = lastId;
        }
        request.sink.event(events);
        if (request.sink.waiting() > HOLD_ABOVE_BYTES) {
            attempt.hold(true);
            releaseWhenRead(attempt);
        }
    }

    /** The first event of a stream tells how fast its replica reads prompts. */
    private void learnFromFirst(Attempt attempt) {
        if (attempt.started()) {
            return;
        }
        attempt.firstUs = Clocks.nowUs();
        attempt.slot.load().onPrefillEnd(attempt.unread);
        var took =
                attempt.firstUs
                        - attempt.sentUs
                        - attempt.slot.latency().roundTripUs()
                        - FIRST_EVENT_BASE_US;
        if (attempt.ownTokens > 1500 && attempt.aheadTokens < 3000 && took > 5_000) {
            replicaTable.learnPrefillRate(
                    attempt.slot, Math.min(400, attempt.ownTokens * 1000.0 / took));
        }
    }

    private void releaseWhenRead(Attempt attempt) {
        Clocks.after(
                loop,
                RELEASE_CHECK_US,
                () -> {
                    var request = attempt.request;
                    if (request.done() || request.sink.waiting() < RELEASE_BELOW_BYTES) {
                        attempt.hold(false);
                    } else {
                        releaseWhenRead(attempt);
                    }
                });
    }

    @Override
    public void onStreamEnd(Attempt attempt, byte[] rest) {
        attempt.uncount();
        var request = attempt.request;
        if (request.done()) {
            return;
        }
        var now = Clocks.nowUs();
        learnHealth(attempt.slot, true, now);
        late.onAnswered(request, now);
        completion.finish(request);
        counters.served++;
        request.sink.event(rest);
        request.sink.end();
        owner.onRoom();
    }

    // ---- whole answers

    @Override
    public void onWhole(Attempt attempt, Head head, byte[] body) {
        attempt.uncount();
        var request = attempt.request;
        request.sent++;
        if (request.done()) {
            return;
        }
        if (request.state() == Request.State.STREAMING) {
            request.mayHaveRun = true;
            completion.cutOff(request);
            return;
        }
        var now = Clocks.nowUs();
        learnFromWhole(attempt, head.status(), now);
        if (head.status() >= 500
                && request.route.retriable()
                && request.sent < request.route.maxAttempts()) {
            request.mayHaveRun = true;
            request.tried.add(attempt.slot.id());
            again(request);
        } else if (promisesUnrun(head.status()) && !request.route.retriable()) {
            request.mayHaveRun = true;
            completion.fail(request, RequestCompletion.MAY_HAVE_RUN);
        } else {
            passOn(request, head, body, now);
        }
    }

    private void learnFromWhole(Attempt attempt, int status, long now) {
        var slot = attempt.slot;
        var took = now - attempt.sentUs;
        learnHealth(slot, status < 500 || status == 504, now);
        if (status / 100 == 2) {
            slot.latency().onAnswered(took);
        }
    }

    /**
     * Statuses that tell a client that its request was not run: a replica that has run it may not
     * say so through us.
     */
    private static boolean promisesUnrun(int status) {
        return status == 408 || status == 429 || status == 503;
    }

    private void passOn(Request request, Head head, byte[] body, long now) {
        late.onAnswered(request, now);
        completion.finish(request);
        counters.served++;
        head.dropHop();
        request.sink.whole(headOnly(head), body);
        owner.onRoom();
    }

    // ---- failures

    @Override
    public void onReplicaUnresponsive(Attempt attempt, long now) {
        owner.move(attempt, now);
    }

    @Override
    public void onFailed(Attempt attempt, Attempt.Failure failure, Optional<Head> head) {
        attempt.uncount();
        var request = attempt.request;
        var now = Clocks.nowUs();
        RingLog.debug(
                "attempt of " + request.id + " at " + attempt.slot.id() + " failed: " + failure);
        var expired = now >= request.deadlineUs - LEAST_LEFT_US;
        learnFromFailure(attempt, failure, head, expired, now);
        if (request.done()) {
            return;
        }
        request.attempt = Optional.empty();
        if (failure == Attempt.Failure.UNSENT) {
            followUnsent(attempt, expired, now);
        } else {
            request.tried.add(attempt.slot.id());
            followSent(request, failure);
        }
    }

    private void learnFromFailure(
            Attempt attempt,
            Attempt.Failure failure,
            Optional<Head> head,
            boolean expired,
            long now) {
        var request = attempt.request;
        if (failure == Attempt.Failure.UNSENT) {
            if (!expired) {
                attempt.slot.reachability().onUnreachable(UNREACHED_HOLD_US, now);
            }
            return;
        }
        request.sent++;
        if (failure == Attempt.Failure.UNRUN) {
            head.ifPresent(answer -> learnTurnedAway(attempt.slot, answer.status(), now));
        } else {
            request.mayHaveRun = true;
            learnHealth(attempt.slot, false, now);
        }
    }

    private void followUnsent(Attempt attempt, boolean expired, long now) {
        var request = attempt.request;
        if (expired) {
            request.tried.add(attempt.slot.id());
            completion.onDeadline(request);
        } else {
            request.tried.remove(attempt.slot.id());
            retryOrWait(request, now);
        }
    }

    private void followSent(Request request, Attempt.Failure failure) {
        if (failure == Attempt.Failure.CUT && !request.route.resumable()) {
            completion.cutOff(request);
        } else if (failure != Attempt.Failure.UNRUN && !request.route.retriable()) {
            completion.fail(request, RequestCompletion.MAY_HAVE_RUN);
        } else if (request.sent >= request.route.maxAttempts()) {
            completion.giveUp(request);
        } else {
            again(request);
        }
    }

    private void learnHealth(ReplicaEndpoint slot, boolean well, long now) {
        slot.health().onOutcome(well, now);
        if (!well) {
            replicaTable.ejectIfOutlier(
                    slot, slot.health().successes(now), slot.health().failures(now), 0, 0, now);
        }
    }

    private static void learnTurnedAway(ReplicaEndpoint slot, int status, long now) {
        if (status == 421) {
            slot.reachability().onMisdirected(MISDIRECTED_SUSPECT_US, now);
        } else if (status == 503 || status == 429) {
            slot.reachability().onSaturated(FULL_US, now);
        }
    }

    private void again(Request request) {
        if (request.state() == Request.State.RUNNING) {
            request.become(Request.State.WAITING);
        }
        request.attempt = Optional.empty();
        retryOrWait(request, Clocks.nowUs());
    }

    private void retryOrWait(Request request, long now) {
        if (!owner.dispatch(request, now)) {
            if (request.tried.size() >= replicaTable.ofService(request.service).size()) {
                request.tried.clear();
            }
            owner.enqueue(request, now);
        }
    }
}
