package martenloom.common.codec;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import martenloom.common.error.Fault;

/**
 * One record between daemons: a type byte and what DataOutputStream wrote. Out builds one, In reads
 * one. Reading past the end or a length out of bounds is a fault of the record, never of the daemon
 * that received it.
 */
public final class Codec {
    private Codec() {}

    /** Writes one element of a list. */
    @FunctionalInterface
    public interface Put<T> {
        void put(Out o, T t);
    }

    /**
     * Writes the fields of one record in their order; a record begins with its type where it has
     * one.
     */
    public static final class Out {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
        private final DataOutputStream out = new DataOutputStream(bytes);

        public Out(int type) {
            u8(type);
        }

        public Out() {}

        @FunctionalInterface
        private interface Step {
            void run() throws IOException;
        }

        private Out step(Step s) {
            try {
                s.run();
                return this;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        public Out u8(int v) {
            return step(() -> out.writeByte(v));
        }

        public Out i32(int v) {
            return step(() -> out.writeInt(v));
        }

        /** A count that fits in 16 bits, or the most that does. */
        public Out i16(int v) {
            return step(() -> out.writeShort(Math.max(0, Math.min(Short.MAX_VALUE, v))));
        }

        public Out i64(long v) {
            return step(() -> out.writeLong(v));
        }

        public Out f64(double v) {
            return step(() -> out.writeDouble(v));
        }

        public Out flag(boolean v) {
            return step(() -> out.writeBoolean(v));
        }

        public Out text(String v) {
            return blob(v.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        }

        public Out blob(byte[] v) {
            return step(
                    () -> {
                        out.writeInt(v.length);
                        out.write(v);
                    });
        }

        /** Bytes that were written by another Out, as they are. */
        public Out raw(byte[] v) {
            return step(() -> out.write(v));
        }

        public <T> Out list(Collection<T> l, Put<T> p) {
            i32(l.size());
            l.forEach(t -> p.put(this, t));
            return this;
        }

        public Out texts(Collection<String> l) {
            return list(l, Out::text);
        }

        public byte[] bytes() {
            return bytes.toByteArray();
        }
    }

    /**
     * Reads the fields of one record in the order in which they were written; a short or torn
     * record is a fault.
     */
    public static final class In {
        private final DataInputStream in;
        private final int size;
        public final int type;

        public In(byte[] b, boolean typed) {
            in = new DataInputStream(new ByteArrayInputStream(b));
            size = b.length;
            type = typed ? u8() : 0;
        }

        @FunctionalInterface
        private interface Step<T> {
            T run() throws IOException;
        }

        private <T> T step(Step<T> s) {
            try {
                return s.run();
            } catch (IOException e) {
                throw Fault.here(
                        Fault.Code.RECORD, "read record", "type " + type + " is cut short");
            }
        }

        public int u8() {
            return step(in::readUnsignedByte);
        }

        public int i32() {
            return step(in::readInt);
        }

        public int i16() {
            return step(() -> (int) in.readShort());
        }

        public long i64() {
            return step(in::readLong);
        }

        public double f64() {
            return step(in::readDouble);
        }

        public boolean flag() {
            return step(in::readBoolean);
        }

        public String text() {
            return new String(blob(), java.nio.charset.StandardCharsets.UTF_8);
        }

        public byte[] blob() {
            var n = i32();
            if (n < 0 || n > size) {
                throw Fault.here(
                        Fault.Code.RECORD,
                        "read record",
                        "type " + type + " has a length out of bounds");
            }
            var b = new byte[n];
            step(
                    () -> {
                        in.readFully(b);
                        return b;
                    });
            return b;
        }

        public <T> List<T> list(java.util.function.Function<In, T> f) {
            var n = i32();
            if (n < 0 || n > size) {
                throw Fault.here(
                        Fault.Code.RECORD,
                        "read record",
                        "type " + type + " has a count out of bounds");
            }
            var l = new ArrayList<T>(n);
            for (var i = 0; i < n; i++) {
                l.add(f.apply(this));
            }
            return l;
        }

        public List<String> texts() {
            return list(In::text);
        }
    }
}
