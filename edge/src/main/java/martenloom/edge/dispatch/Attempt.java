package martenloom.edge.dispatch;

import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import java.util.Locale;
import java.util.Optional;
import martenloom.common.clock.Clocks;
import martenloom.edge.http.EventStreamReader;
import martenloom.edge.http.HeaderField;
import martenloom.edge.http.HttpStatus;
import martenloom.edge.http.MessageHead;
import martenloom.edge.memory.MessageMemory;
import martenloom.edge.replica.InFlightAttempt;
import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.edge.transport.ReplicaConnection;
import martenloom.edge.transport.ResponseListener;

/**
 * One attempt of a request at one replica: takes or opens a connection, sends the request, and
 * turns the response into events for its listener. It decides nothing about what follows; a failure
 * says how far the attempt got, for that decides whether a retry is allowed.
 *
 * <p>States: {@code CONNECTING} → {@code SENT} → {@code RESPONDING} with the head of the response;
 * {@code OVER} from any state and for good. The listener is notified of exactly one end ({@code
 * onStreamEnd}, {@code onResponse} or {@code onFailed}), or of none after {@link #abandon}. Runs on
 * the reactor thread.
 */
public final class Attempt implements ResponseListener, InFlightAttempt {
    /** How far an attempt has come; exactly one at any time. */
    enum State {
        CONNECTING,
        SENT,
        RESPONDING,
        OVER
    }

    /** How an attempt failed. */
    enum Failure {
        /** The request was never sent. */
        UNSENT,
        /** The replica rejected it without running it. */
        REJECTED,
        /** The replica may have run it. */
        MAYBE_RUN,
        /** Its stream was truncated. */
        TRUNCATED
    }

    /** Is notified of what becomes of an attempt. */
    interface Listener {
        void onStreamHead(Attempt attempt, MessageHead head);

        /** Complete events, with the id of the last of them that has one. */
        void onEvents(Attempt attempt, byte[] events, String lastEventId);

        /** The stream is complete; what came behind the last event is passed on as it is. */
        void onStreamEnd(Attempt attempt, byte[] remainder);

        /** The account of the bytes of responses. */
        MessageMemory responseMemory();

        /** A complete response that is no stream. */
        void onResponse(Attempt attempt, MessageHead head, byte[] body);

        /** The attempt came to nothing; the head is there if the replica rejected it. */
        void onFailed(Attempt attempt, Failure failure, Optional<MessageHead> head);

        /** The replica has said nothing for longer than its load explains. */
        void onReplicaUnresponsive(Attempt attempt, long nowUs);
    }

    private static final SocketSettings SOCKET_SETTINGS =
            SocketSettings.builder().withTcpNoDelay(true).build();

    /**
     * What may run only once goes on a connection that was used just now, or on a new one: an old
     * one may have been forgotten by the replica.
     */
    private static final long MAX_IDLE_IF_NOT_IDEMPOTENT_US = 2_000_000;

    private static final long LEAST_LEFT_MS = 1;

    private final Request request;
    private final ReplicaEndpoint replica;
    private final Listener listener;

    /** Tokens of the prompt that this attempt adds to what the replica has to prefill. */
    private final int pendingPrefillTokens;

    /** Tokens that were waiting for prefill at the replica before this attempt. */
    private final int tokensAhead;

    /** Tokens of the prompt that the replica certainly has to prefill. */
    private final int certainPrefillTokens;

    private State state = State.CONNECTING;
    private Optional<ReplicaConnection> connection = Optional.empty();

    /** Whether it still counts in the load of its replica. */
    private boolean countedInLoad = true;

    private long startedUs;
    private long sentUs;
    private long firstEventUs;

    /** The event behind which the replica was asked to go on. */
    private long resumeAfterId = EventStreamReader.NO_ID;

    private Optional<MessageHead> head = Optional.empty();

    /** The body if it is a stream of events. */
    private Optional<EventStreamReader> eventStream = Optional.empty();

    /** The body if it is no stream. */
    private Optional<ResponseBody> body = Optional.empty();

    /** Since when bytes of the replica are awaited, after reading was paused. */
    private long resumedUs;

    private boolean readingPaused;

    Attempt(
            Request request,
            ReplicaEndpoint replica,
            Listener listener,
            int pendingPrefillTokens,
            int tokensAhead,
            int certainPrefillTokens) {
        this.request = request;
        this.replica = replica;
        this.listener = listener;
        this.pendingPrefillTokens = pendingPrefillTokens;
        this.tokensAhead = tokensAhead;
        this.certainPrefillTokens = certainPrefillTokens;
    }

    // ---- what it is

    Request request() {
        return request;
    }

    ReplicaEndpoint replica() {
        return replica;
    }

    int tokensAhead() {
        return tokensAhead;
    }

    int certainPrefillTokens() {
        return certainPrefillTokens;
    }

    boolean over() {
        return state == State.OVER;
    }

    @Override
    public boolean connecting() {
        return state == State.CONNECTING;
    }

    @Override
    public boolean prefilled() {
        return firstEventUs > 0;
    }

    @Override
    public long sentUs() {
        return sentUs;
    }

    @Override
    public boolean readingPaused() {
        return readingPaused;
    }

    @Override
    public long awaitedSinceUs() {
        return Math.max(sentUs, resumedUs);
    }

    long firstEventUs() {
        return firstEventUs;
    }

    /** The first event has come: the prompt's tokens wait for prefill no longer. */
    void endPrefill() {
        firstEventUs = Clocks.nowUs();
        replica.load().onPrefillEnd(pendingPrefillTokens);
    }

    @Override
    public void onReplicaUnresponsive(long nowUs) {
        listener.onReplicaUnresponsive(this, nowUs);
    }

    // ---- sending

    /** Takes an idle connection or opens one, and sends the request on it. */
    void start(Eventloop loop, long connectTimeoutMs) {
        startedUs = Clocks.nowUs();
        connection = takeIdleConnection();
        if (connection.isPresent()) {
            send(connection.get());
            return;
        }
        replica.connections().onOpening();
        TcpSocket.connect(loop, replica.address(), connectTimeoutMs, SOCKET_SETTINGS)
                .subscribe(this::onConnected);
    }

    private void onConnected(ITcpSocket socket, Exception failure) {
        if (failure != null) {
            replica.connections().onClosed();
            fail(Failure.UNSENT);
        } else if (state != State.CONNECTING) {
            replica.connections().onClosed();
            socket.close();
        } else {
            replica.latency().onConnected(Clocks.nowUs() - startedUs);
            var opened = new ReplicaConnection(socket, replica);
            connection = Optional.of(opened);
            send(opened);
        }
    }

    /** An idle connection that this request may be sent on. */
    private Optional<ReplicaConnection> takeIdleConnection() {
        var idleTrustUs = replica.connections().idleTrustUs();
        var maxIdleUs =
                request.route().retriable()
                        ? idleTrustUs
                        : Math.min(MAX_IDLE_IF_NOT_IDEMPOTENT_US, idleTrustUs);
        return replica.connections().takeIdle(request.id(), maxIdleUs, startedUs);
    }

    private void send(ReplicaConnection usable) {
        var now = Clocks.nowUs();
        var leftMs = (Math.min(request.clientDeadlineUs(), request.deadlineUs()) - now) / 1000;
        if (leftMs < LEAST_LEFT_MS) {
            replica.connections().addIdle(usable);
            connection = Optional.empty();
            fail(Failure.UNSENT);
            return;
        }
        resumeAfterId = EventStreamReader.parseId(request.lastEventId());
        var forwardedHead = ForwardedHead.of(request, replica.id(), leftMs);
        state = State.SENT;
        sentUs = now;
        replica.onSent(now);
        usable.send(
                request.id(),
                request.head().method(),
                forwardedHead.encode(),
                request.body(),
                this);
    }

    // ---- the response

    @Override
    public void onHead(MessageHead responseHead) {
        state = State.RESPONDING;
        head = Optional.of(responseHead);
        if (isEventStream(responseHead)) {
            eventStream = Optional.of(new EventStreamReader(resumeAfterId));
            listener.onStreamHead(this, responseHead);
        } else {
            body =
                    Optional.of(
                            ResponseBody.of(
                                    responseHead, listener.responseMemory(), this::pauseReading));
        }
    }

    private static boolean isEventStream(MessageHead head) {
        return !isRejection(head)
                && head.status() == HttpStatus.OK
                && head.get(HeaderField.CONTENT_TYPE)
                        .toLowerCase(Locale.ROOT)
                        .startsWith("text/event-stream")
                && head.has(HeaderField.SERVER_SEAL);
    }

    /** Whether the replica says that it has not run the request. */
    private static boolean isRejection(MessageHead head) {
        return head.has(HeaderField.NOT_EXECUTED)
                || head.status() == HttpStatus.MISDIRECTED_REQUEST;
    }

    @Override
    public void onBody(byte[] buffer, int offset, int length) {
        if (state == State.OVER) {
            return;
        }
        if (eventStream.isPresent()) {
            var events = eventStream.get().read(buffer, offset, length);
            if (events.length > 0) {
                listener.onEvents(this, events, EventStreamReader.lastId(events));
            }
        } else if (!body.get().append(buffer, offset, length)) {
            failAndAbandonConnection();
        }
    }

    @Override
    public void onEnd() {
        if (state == State.OVER) {
            return;
        }
        state = State.OVER;
        connection = Optional.empty();
        if (eventStream.isPresent()) {
            listener.onStreamEnd(this, eventStream.get().incomplete());
            return;
        }
        var responseHead = head.get();
        if (isRejection(responseHead)) {
            listener.onFailed(this, Failure.REJECTED, head);
        } else if (HttpStatus.isSuccess(responseHead.status())
                && !responseHead.has(HeaderField.SERVER_SEAL)) {
            listener.onFailed(this, Failure.MAYBE_RUN, Optional.empty());
        } else {
            listener.onResponse(this, responseHead, body.get().complete());
        }
        releaseBody();
    }

    private void releaseBody() {
        body.ifPresent(ResponseBody::close);
    }

    @Override
    public void onConnectionEnd() {
        if (eventStream.isPresent() && eventStream.get().incomplete().length > 0) {
            onBroken();
        } else {
            onEnd();
        }
    }

    @Override
    public void onBroken() {
        connection = Optional.empty();
        fail(failureAfterSending());
    }

    private Failure failureAfterSending() {
        return eventStream.isPresent() ? Failure.TRUNCATED : Failure.MAYBE_RUN;
    }

    private void failAndAbandonConnection() {
        var used = connection;
        fail(failureAfterSending());
        used.ifPresent(ReplicaConnection::abandon);
    }

    private void fail(Failure failure) {
        if (state != State.OVER) {
            state = State.OVER;
            releaseBody();
            listener.onFailed(this, failure, Optional.empty());
        }
    }

    // ---- control

    /** Stops or resumes reading the response, while the client does not keep up. */
    void pauseReading(boolean paused) {
        if (readingPaused && !paused) {
            resumedUs = Clocks.nowUs();
        }
        readingPaused = paused;
        connection.ifPresent(used -> used.pauseReading(paused));
    }

    /** Counts this attempt in the load of its replica. */
    void addToLoad() {
        replica.addAttempt(this, pendingPrefillTokens);
    }

    /** Takes this attempt off the load of its replica; does nothing the second time. */
    void removeFromLoad() {
        if (!countedInLoad) {
            return;
        }
        countedInLoad = false;
        if (!prefilled()) {
            replica.load().onPrefillEnd(pendingPrefillTokens);
        }
        replica.removeAttempt(this);
    }

    /** Ends the attempt from our side: off the load, and without notifying the listener. */
    void abandon() {
        removeFromLoad();
        if (state != State.OVER) {
            state = State.OVER;
            releaseBody();
            var used = connection;
            connection = Optional.empty();
            used.ifPresent(ReplicaConnection::abandon);
        }
    }
}
