package martenloom.core.api;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import martenloom.common.callers.HttpCaller;
import martenloom.common.clock.Clocks;
import martenloom.common.log.RingLog;
import martenloom.core.chain.ChainMember;
import martenloom.core.forwarding.CommandForwarder;
import martenloom.core.state.Command;
import martenloom.core.state.CommandCodec;
import martenloom.core.state.ResultCode;
import martenloom.core.state.StampedCommand;

/**
 * Submits the commands of calls to the replicated state and turns their results into responses. A
 * command that finds no head is submitted again for a while. Runs on the reactor thread.
 */
final class CommandCalls {
    private static final long RETRY_PAUSE_US = 60_000;

    /** For so long after the call a command that finds no head is submitted again. */
    private static final long RETRY_WINDOW_US = 850_000;

    /**
     * So long an order without a base waits for the end of its connection, which comes behind the
     * call when the network was late with both: by a round trip, or by a retransmission. With the
     * write that follows it stays below the second after which a caller turns to another daemon.
     */
    private static final long LATE_END_US = 500_000;

    private final Eventloop loop;
    private final ChainMember chain;
    private final CommandForwarder forwarder;
    private int waitingForEnd;

    CommandCalls(Eventloop loop, ChainMember chain, CommandForwarder forwarder) {
        this.loop = loop;
        this.chain = chain;
        this.forwarder = forwarder;
    }

    /** Submits a command of which a copy that comes late does nothing. */
    Promise<HttpResponse> submit(Command command) {
        return submit(command, CommandCalls::success);
    }

    /**
     * Submits a command of which a copy that comes late does nothing.
     *
     * @param onSuccess makes the response from the text of the result
     */
    Promise<HttpResponse> submit(Command command, Function<String, HttpResponse> onSuccess) {
        var pending =
                new PendingCommand(
                        StampedCommand.of(command), Clocks.nowUs(), () -> true, onSuccess);
        submit(pending);
        return pending.response;
    }

    /**
     * Submits an operator's order without a base, of which nothing but its caller tells a new one
     * from a copy that comes late: callers close the connection when they turn to another daemon,
     * so the order is carried out only if the caller still waits a while after the call. The order
     * gets the version on which it is accepted here, and keeps it when it is submitted again.
     *
     * @param caller the caller, whose call was read to its end
     */
    Promise<HttpResponse> submitWhileWaiting(Command order, HttpCaller caller) {
        var pending =
                new PendingCommand(
                        chain.committed().accepted(order),
                        Clocks.nowUs(),
                        caller::isWaiting,
                        CommandCalls::success);
        waitingForEnd++;
        Clocks.after(
                loop,
                LATE_END_US,
                () -> {
                    waitingForEnd--;
                    submit(pending);
                });
        return pending.response;
    }

    /** Whether a caller waits for an order that was not submitted yet. */
    boolean hasCallers() {
        return waitingForEnd > 0;
    }

    private void submit(PendingCommand pending) {
        if (!pending.callerWaits.getAsBoolean()) {
            pending.complete(ResultCode.UNAVAILABLE, "the caller has closed the connection");
            return;
        }
        forwarder.submit(
                pending.command,
                (code, text) -> {
                    if (code == ResultCode.UNAVAILABLE
                            && Clocks.nowUs() - pending.calledUs < RETRY_WINDOW_US) {
                        Clocks.after(loop, RETRY_PAUSE_US, () -> submit(pending));
                    } else {
                        pending.complete(code, text);
                    }
                });
    }

    /**
     * A command of a call that is not answered.
     *
     * @param callerWaits asked before each submission; when nobody waits, it is not submitted
     * @param onSuccess makes the response from the text of the result
     */
    private record PendingCommand(
            StampedCommand command,
            long calledUs,
            BooleanSupplier callerWaits,
            Function<String, HttpResponse> onSuccess,
            SettablePromise<HttpResponse> response) {
        PendingCommand(
                StampedCommand command,
                long calledUs,
                BooleanSupplier callerWaits,
                Function<String, HttpResponse> onSuccess) {
            this(command, calledUs, callerWaits, onSuccess, new SettablePromise<>());
        }

        void complete(ResultCode code, String text) {
            log(command, code, text);
            response.set(
                    code == ResultCode.OK
                            ? onSuccess.apply(text)
                            : ApiResponses.response(httpStatus(code), text));
        }
    }

    private static void log(StampedCommand command, ResultCode code, String text) {
        RingLog.debug(
                "request "
                        + CommandCodec.describe(command)
                        + ": "
                        + code.number()
                        + " "
                        + (code == ResultCode.OK ? "" : text));
    }

    private static HttpResponse success(String text) {
        return text.isEmpty() ? ApiResponses.ok() : ApiResponses.ok(text);
    }

    /**
     * The HTTP status of a result. The numbers of the codes are those of HTTP, save that the caller
     * of a stale order may retry it: the same call sent again gets a fresh version.
     */
    private static int httpStatus(ResultCode code) {
        return code == ResultCode.STALE_ORDER ? HttpStatus.SERVICE_UNAVAILABLE : code.number();
    }

    /**
     * The status when something that was named is not known here: it does not exist, unless what
     * this daemon knows may be outdated.
     */
    int unknownStatus() {
        return forwarder.isInContact() ? HttpStatus.NOT_FOUND : HttpStatus.SERVICE_UNAVAILABLE;
    }
}
