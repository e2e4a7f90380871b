package martenloom.edge.http;

/**
 * Reads a body in chunks, piece by piece as bytes come, strictly: hex size, CRLF, that many bytes,
 * CRLF, a last chunk of size 0, trailers that are dropped. Gives the bytes of the body to a sink
 * and says where the body ended.
 */
public final class Chunks {
    /** Receives the payload of chunks. */
    @FunctionalInterface
    public interface Sink {
        void take(byte[] b, int from, int n);
    }

    private enum At {
        SIZE,
        EXT,
        SIZE_LF,
        DATA,
        DATA_CR,
        DATA_LF,
        TRAILER,
        TRAILER_LF,
        DONE
    }

    private final int status;
    private At at = At.SIZE;
    private long left;
    private int digits;
    private int line;
    private int trailers;

    public Chunks(int status) {
        this.status = status;
    }

    public boolean done() {
        return at == At.DONE;
    }

    private Head.BadHead bad() {
        return new Head.BadHead(status, "chunk");
    }

    /** Takes what it can and returns the place behind it. */
    public int take(byte[] b, int from, int to, Sink s) {
        var i = from;
        while (i < to && at != At.DONE) {
            if (at == At.DATA) {
                var n = (int) Math.min(left, to - i);
                s.take(b, i, n);
                i += n;
                left -= n;
                if (left == 0) {
                    at = At.DATA_CR;
                }
                continue;
            }
            step(b[i++]);
        }
        return i;
    }

    private void step(byte c) {
        switch (at) {
            case SIZE -> size(c);
            case EXT -> {
                if (c == '\r') {
                    at = At.SIZE_LF;
                } else if (c < ' ' && c != '\t' || ++line > 1024) {
                    throw bad();
                }
            }
            case SIZE_LF -> {
                must(c, '\n');
                at = left == 0 ? At.TRAILER : At.DATA;
                digits = 0;
                line = 0;
            }
            case DATA_CR -> {
                must(c, '\r');
                at = At.DATA_LF;
            }
            case DATA_LF -> {
                must(c, '\n');
                at = At.SIZE;
            }
            case TRAILER -> {
                if (c == '\r') {
                    at = At.TRAILER_LF;
                } else if (++line > 4096) {
                    throw bad();
                }
            }
            case TRAILER_LF -> {
                must(c, '\n');
                at = line == 0 ? At.DONE : At.TRAILER;
                trailers += line;
                line = 0;
                if (trailers > 16384) {
                    throw bad();
                }
            }
            default -> throw bad();
        }
    }

    private void size(byte c) {
        var d = Character.digit(c, 16);
        if (d >= 0) {
            if (++digits > 8) {
                throw bad();
            }
            left = left * 16 + d;
        } else if (digits == 0) {
            throw bad();
        } else if (c == '\r') {
            at = At.SIZE_LF;
        } else if (c == ';') {
            at = At.EXT;
        } else {
            throw bad();
        }
    }

    private void must(byte c, char w) {
        if (c != w) {
            throw bad();
        }
    }
}
