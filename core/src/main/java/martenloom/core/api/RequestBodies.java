package martenloom.core.api;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Function;
import martenloom.common.callers.BodyBuffer;
import martenloom.common.callers.BodyHolder;
import martenloom.common.clock.Clocks;
import martenloom.common.clock.ReactorTimer;

/**
 * Reads the bodies of calls. Their bytes count as they come, until the call is answered, at a
 * {@link BodyHolder}. A call whose body finds no room is refused with 503 and its connection
 * closed, and so is, with a 4xx, one that would take too much to parse. Runs on the reactor thread.
 */
final class RequestBodies {
    /** The longest body that is read. */
    static final int MAX_BODY_BYTES = 8 << 20;

    /** A body that has not come to its end by then is given up. */
    static final long MAX_READING_US = 20_000_000;

    private static final String RETRY_AFTER_S = "1";

    private final Eventloop loop;
    private final Function<HttpRequest, BodyHolder> holders;

    /**
     * @param holders who answers for the memory of the body of a request
     */
    RequestBodies(Eventloop loop, Function<HttpRequest, BodyHolder> holders) {
        this.loop = loop;
        this.holders = holders;
    }

    /** Reads the body of a call as text, serves the call, and gives the memory back. */
    Promise<HttpResponse> read(
            HttpRequest request, Function<String, Promise<HttpResponse>> service) {
        var reading = new Reading(request.takeBodyStream(), holders.apply(request), service);
        reading.begin();
        return reading.response.whenComplete(reading::release);
    }

    /** One call, from the beginning of its body to its response. */
    private final class Reading {
        private final ChannelSupplier<ByteBuf> source;
        private final Function<String, Promise<HttpResponse>> service;
        private final SettablePromise<HttpResponse> response = new SettablePromise<>();
        private final BodyHolder holder;
        private BodyBuffer body = BodyBuffer.ofUnknownLength();
        private Optional<ReactorTimer> timeout = Optional.empty();

        Reading(
                ChannelSupplier<ByteBuf> source,
                BodyHolder holder,
                Function<String, Promise<HttpResponse>> service) {
            this.source = source;
            this.holder = holder;
            this.service = service;
        }

        void begin() {
            holder.awaitBody();
            if (!readOn()) {
                timeout = Optional.of(Clocks.after(loop, MAX_READING_US, this::giveUp));
            }
        }

        private void giveUp() {
            refuse(HttpStatus.REQUEST_TIMEOUT, "the body did not come to its end in time");
        }

        /** Takes what has come, in a loop, so that many small pieces do not deepen the stack. */
        private boolean readOn() {
            while (!response.isComplete()) {
                var next = source.get();
                if (!next.isComplete()) {
                    next.subscribe(this::onPieceLater);
                    return false;
                }
                if (onPiece(next.getResult(), next.getException())) {
                    return true;
                }
            }
            return true;
        }

        private void onPieceLater(ByteBuf piece, Exception failure) {
            if (!onPiece(piece, failure)) {
                readOn();
            }
        }

        /** Takes a piece, which is null at the end; whether that was the last one. */
        private boolean onPiece(ByteBuf piece, Exception failure) {
            if (failure != null) {
                response.trySetException(failure);
                return true;
            }
            if (piece == null) {
                timeout.ifPresent(ReactorTimer::cancel);
                holder.serve();
                serve(new String(body.complete(), StandardCharsets.UTF_8));
                return true;
            }
            append(piece);
            piece.recycle();
            return false;
        }

        private void append(ByteBuf piece) {
            var length = piece.readRemaining();
            if (body.length() + length > MAX_BODY_BYTES) {
                refuse(HttpStatus.CONTENT_TOO_LARGE, "the body is over " + MAX_BODY_BYTES);
                return;
            }
            body.append(piece.array(), piece.head(), length);
            if (!holder.holdBody(body.capacity())) {
                refuse(HttpStatus.SERVICE_UNAVAILABLE, "no memory for the body now");
            }
        }

        private void serve(String text) {
            var refusal = JsonCost.refusalOf(text);
            if (refusal.isPresent()) {
                refuse(HttpStatus.BAD_REQUEST, refusal.get());
            } else {
                service.apply(text).subscribe(response::set);
            }
        }

        private void refuse(int status, String reason) {
            response.trySet(
                    HttpResponse.ofCode(status)
                            .withHeader(HttpHeaders.CONNECTION, "close")
                            .withHeader(HttpHeaders.RETRY_AFTER, RETRY_AFTER_S)
                            .withPlainText(reason)
                            .build());
            source.close();
        }

        void release() {
            timeout.ifPresent(ReactorTimer::cancel);
            body = BodyBuffer.ofLength(0);
            holder.holdBody(0);
        }
    }
}
