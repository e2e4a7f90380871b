package martenloom.core.api;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Function;
import martenloom.common.clock.Clocks;
import martenloom.common.clock.ReactorTimer;

/**
 * Reads the bodies of calls, and keeps the account of their bytes: one bound for all connections
 * together. Bytes count as they come, until the call is answered. A call whose body finds no room
 * is refused with 503 and its connection closed; a small body always finds room. Runs on the
 * reactor thread.
 */
final class RequestBodies {
    /** The longest body that is read. */
    static final int MAX_BODY_BYTES = 8 << 20;

    /** A body up to this size is small. */
    private static final int SMALL_BYTES = 64 << 10;

    /** A body that has not come to its end by then is given up. */
    static final long MAX_READING_US = 20_000_000;

    private static final String RETRY_AFTER_S = "1";

    private final Eventloop loop;
    private final long capacityBytes;
    private long heldBytes;

    /** An account of so many bytes. */
    RequestBodies(Eventloop loop, long capacityBytes) {
        this.loop = loop;
        this.capacityBytes = capacityBytes;
    }

    /** The bytes of all calls that are not yet answered. */
    long heldBytes() {
        return heldBytes;
    }

    /** Reads the body of a call as text, serves the call, and gives the memory back. */
    Promise<HttpResponse> read(
            HttpRequest request, Function<String, Promise<HttpResponse>> service) {
        var reading = new Reading(request.takeBodyStream(), service);
        reading.begin();
        return reading.response.whenComplete(reading::release);
    }

    /** One call, from the beginning of its body to its response. */
    private final class Reading {
        private final ChannelSupplier<ByteBuf> source;
        private final Function<String, Promise<HttpResponse>> service;
        private final SettablePromise<HttpResponse> response = new SettablePromise<>();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private Optional<ReactorTimer> timeout = Optional.empty();

        Reading(ChannelSupplier<ByteBuf> source, Function<String, Promise<HttpResponse>> service) {
            this.source = source;
            this.service = service;
        }

        void begin() {
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
                service.apply(body.toString(StandardCharsets.UTF_8)).subscribe(response::set);
                return true;
            }
            append(piece);
            piece.recycle();
            return false;
        }

        private void append(ByteBuf piece) {
            var length = piece.readRemaining();
            var total = body.size() + length;
            if (total > MAX_BODY_BYTES) {
                refuse(HttpStatus.CONTENT_TOO_LARGE, "the body is over " + MAX_BODY_BYTES);
            } else if (total > SMALL_BYTES && heldBytes + length > capacityBytes) {
                refuse(HttpStatus.SERVICE_UNAVAILABLE, "no memory for the body now");
            } else {
                heldBytes += length;
                body.write(piece.array(), piece.head(), length);
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
            heldBytes -= body.size();
            body.reset();
        }
    }
}
