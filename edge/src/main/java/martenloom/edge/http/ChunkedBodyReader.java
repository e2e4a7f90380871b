package martenloom.edge.http;

/**
 * Reads a body in the chunked transfer coding as its bytes arrive. The reading is strict: a size in
 * hex, CRLF, that many bytes, CRLF, and at last a chunk of size 0 with trailers, which are dropped.
 *
 * <p>States: {@code SIZE} → ({@code EXTENSION} →) {@code SIZE_LF} → {@code DATA} → {@code DATA_CR}
 * → {@code DATA_LF} → {@code SIZE}; from {@code SIZE_LF} of the last chunk to {@code TRAILER} ⇄
 * {@code TRAILER_LF} and, behind the empty line, {@code DONE}. Not thread-safe.
 */
public final class ChunkedBodyReader {
    /** Receives the payload of chunks. */
    @FunctionalInterface
    public interface BodySink {
        /** Takes bytes that are valid during the call only. */
        void accept(byte[] buffer, int offset, int length);
    }

    private enum State {
        SIZE,
        EXTENSION,
        SIZE_LF,
        DATA,
        DATA_CR,
        DATA_LF,
        TRAILER,
        TRAILER_LF,
        DONE
    }

    private static final int HEX = 16;
    private static final int MAX_SIZE_DIGITS = 8;
    private static final int MAX_EXTENSION_BYTES = 1024;
    private static final int MAX_TRAILER_LINE_BYTES = 4096;
    private static final int MAX_TRAILER_BYTES = 16_384;

    private final int malformedStatus;
    private State state = State.SIZE;

    /** Bytes of the current chunk that have not come yet. */
    private long bytesLeft;

    private int sizeDigits;

    /** Bytes of the current extension or trailer line so far. */
    private int lineBytes;

    private int trailerBytes;

    /**
     * @param malformedStatus the status that a {@link MalformedMessageException} carries
     */
    public ChunkedBodyReader(int malformedStatus) {
        this.malformedStatus = malformedStatus;
    }

    /** Whether the last chunk and the trailers were read. */
    public boolean done() {
        return state == State.DONE;
    }

    /**
     * Reads as much of the body as there is, and returns the position behind it.
     *
     * @throws MalformedMessageException if the framing is broken
     */
    public int read(byte[] buffer, int from, int to, BodySink sink) {
        var position = from;
        while (position < to && state != State.DONE) {
            if (state == State.DATA) {
                var length = (int) Math.min(bytesLeft, to - position);
                sink.accept(buffer, position, length);
                position += length;
                bytesLeft -= length;
                if (bytesLeft == 0) {
                    state = State.DATA_CR;
                }
                continue;
            }
            readFraming(buffer[position++]);
        }
        return position;
    }

    private void readFraming(byte next) {
        switch (state) {
            case SIZE -> readSize(next);
            case EXTENSION -> readExtension(next);
            case SIZE_LF -> endSizeLine(next);
            case DATA_CR -> {
                require(next, '\r');
                state = State.DATA_LF;
            }
            case DATA_LF -> {
                require(next, '\n');
                state = State.SIZE;
            }
            case TRAILER -> readTrailer(next);
            case TRAILER_LF -> endTrailerLine(next);
            default -> throw malformed();
        }
    }

    private void readSize(byte next) {
        var digit = Character.digit(next, HEX);
        if (digit >= 0) {
            if (++sizeDigits > MAX_SIZE_DIGITS) {
                throw malformed();
            }
            bytesLeft = bytesLeft * HEX + digit;
        } else if (sizeDigits == 0) {
            throw malformed();
        } else if (next == '\r') {
            state = State.SIZE_LF;
        } else if (next == ';') {
            state = State.EXTENSION;
        } else {
            throw malformed();
        }
    }

    private void readExtension(byte next) {
        if (next == '\r') {
            state = State.SIZE_LF;
        } else if (next < ' ' && next != '\t' || ++lineBytes > MAX_EXTENSION_BYTES) {
            throw malformed();
        }
    }

    private void endSizeLine(byte next) {
        require(next, '\n');
        state = bytesLeft == 0 ? State.TRAILER : State.DATA;
        sizeDigits = 0;
        lineBytes = 0;
    }

    private void readTrailer(byte next) {
        if (next == '\r') {
            state = State.TRAILER_LF;
        } else if (++lineBytes > MAX_TRAILER_LINE_BYTES) {
            throw malformed();
        }
    }

    private void endTrailerLine(byte next) {
        require(next, '\n');
        state = lineBytes == 0 ? State.DONE : State.TRAILER;
        trailerBytes += lineBytes;
        lineBytes = 0;
        if (trailerBytes > MAX_TRAILER_BYTES) {
            throw malformed();
        }
    }

    private void require(byte next, char expected) {
        if (next != expected) {
            throw malformed();
        }
    }

    private MalformedMessageException malformed() {
        return new MalformedMessageException(malformedStatus, "chunk");
    }
}
