package martenloom.edge.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import martenloom.edge.http.HeaderField;
import martenloom.edge.http.MessageHead;
import martenloom.edge.replica.Prompt;
import martenloom.routing.route.Route;

/**
 * One request on its way through the edge: what was asked, how much time is left, which attempts it
 * has had and how far its response has come.
 *
 * <p>States: {@code WAITING} → {@code RUNNING} with an attempt → {@code STREAMING} once the head of
 * a stream was passed on; {@code RUNNING} → {@code WAITING} for a retry; a stream that is resumed
 * stays {@code STREAMING}. {@code DONE} from any state and for good. {@link RequestCompletion} ends
 * it. Runs on the reactor thread.
 */
public final class Request {
    /** Where a request stands; exactly one at any time. */
    public enum State {
        WAITING,
        RUNNING,
        STREAMING,
        DONE
    }

    private static final int USUAL_REPLICAS = 4;
    private static final int NOT_A_JOB = -1;

    private final MessageHead head;
    private final byte[] body;
    private final Route route;
    private final String service;
    private final ResponseSink sink;
    private final String id;
    private final String model;
    private final Prompt prompt;

    /** When the request was complete here. */
    private final long arrivedUs;

    /** When the client stops waiting, by what it said itself. */
    private long clientDeadlineUs;

    /** When the request is ended, by the client and by the route. */
    private long deadlineUs;

    private State state = State.WAITING;
    private Optional<Attempt> attempt = Optional.empty();

    /** Attempts that were sent and are over. */
    private int attemptsMade;

    /** Replicas that are not to be tried again for now. */
    private final Set<String> triedReplicas = new HashSet<>(USUAL_REPLICAS);

    /** Whether some replica may have executed it, wholly or in part. */
    private boolean mayHaveRun;

    /** The id of the last event of its stream that was passed on; empty for none. */
    private String lastEventId;

    /** A deferred job's urgency; {@link #NOT_A_JOB} for an interactive request. */
    private int jobUrgency = NOT_A_JOB;

    /** The overload states that withheld this request when it last found no replica. */
    private List<String> withheldBy = List.of();

    /**
     * @param arrivedUs when the request was complete; the route's time runs from here, and the
     *     client's too until {@link #countClientTimeFrom} says otherwise
     */
    public Request(
            MessageHead head,
            byte[] body,
            Route route,
            String service,
            ResponseSink sink,
            long arrivedUs) {
        this.head = head;
        this.body = body;
        this.route = route;
        this.service = service;
        this.sink = sink;
        this.arrivedUs = arrivedUs;
        id = head.get(HeaderField.ATTEMPT_ID);
        model = head.get(HeaderField.MODEL);
        lastEventId = head.get(HeaderField.LAST_EVENT_ID);
        prompt = new Prompt(head.get(HeaderField.PROMPT_PREFIX), head.get(HeaderField.TOKEN_USAGE));
        var remainingMs = HeaderField.parseNumber(head.get(HeaderField.TIME_REMAINING));
        clientDeadlineUs = remainingMs >= 0 ? arrivedUs + remainingMs * 1000 : Long.MAX_VALUE;
        deadlineUs = Math.min(clientDeadlineUs, arrivedUs + route.timeoutUs());
    }

    /** The client's time runs from the moment at which its request began to come in. */
    void countClientTimeFrom(long beganUs) {
        if (clientDeadlineUs != Long.MAX_VALUE) {
            clientDeadlineUs += beganUs - arrivedUs;
            deadlineUs = Math.min(clientDeadlineUs, arrivedUs + route.timeoutUs());
        }
    }

    /** Makes it a deferred job, which resumes behind an event that it had before. */
    void makeJob(int urgency, String lastEventId) {
        jobUrgency = urgency;
        this.lastEventId = lastEventId;
    }

    // ---- what was asked

    MessageHead head() {
        return head;
    }

    byte[] body() {
        return body;
    }

    Route route() {
        return route;
    }

    String service() {
        return service;
    }

    ResponseSink sink() {
        return sink;
    }

    String id() {
        return id;
    }

    /** The model that is asked for, or the empty string. */
    String model() {
        return model;
    }

    Prompt prompt() {
        return prompt;
    }

    boolean isJob() {
        return jobUrgency != NOT_A_JOB;
    }

    int jobUrgency() {
        return jobUrgency;
    }

    // ---- times

    /** When the request was complete here. */
    public long arrivedUs() {
        return arrivedUs;
    }

    long clientDeadlineUs() {
        return clientDeadlineUs;
    }

    long deadlineUs() {
        return deadlineUs;
    }

    /** All the time it had from its arrival to its deadline. */
    long totalTimeUs() {
        return deadlineUs - arrivedUs;
    }

    // ---- state

    State state() {
        return state;
    }

    void become(State newState) {
        state = newState;
    }

    boolean done() {
        return state == State.DONE;
    }

    boolean streaming() {
        return state == State.STREAMING;
    }

    // ---- attempts

    Optional<Attempt> attempt() {
        return attempt;
    }

    void setAttempt(Attempt newAttempt) {
        attempt = Optional.of(newAttempt);
    }

    void clearAttempt() {
        attempt = Optional.empty();
    }

    int attemptsMade() {
        return attemptsMade;
    }

    void countAttempt() {
        attemptsMade++;
    }

    /** Takes back what {@link #countAttempt} counted, when the attempt goes on after all. */
    void uncountAttempt() {
        attemptsMade--;
    }

    Set<String> triedReplicas() {
        return triedReplicas;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    void markMayHaveRun() {
        mayHaveRun = true;
    }

    /** The id of the last event that was passed on; empty for none. */
    public String lastEventId() {
        return lastEventId;
    }

    void setLastEventId(String newId) {
        lastEventId = newId;
    }

    List<String> withheldBy() {
        return withheldBy;
    }

    void setWithheldBy(List<String> overloadStates) {
        withheldBy = overloadStates;
    }
}
