package martenloom.common.codec;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Collection;

/**
 * Writes one record between daemons or on disk: a type byte where the record has one, then its
 * fields in order as {@link DataOutputStream} writes them. Every method returns this writer. Not
 * thread-safe. {@link RecordReader} reads what was written.
 */
public final class RecordWriter {
    private static final int INITIAL_BYTES = 128;
    private static final int VARINT_BITS = 0x7F;
    private static final int VARINT_CONTINUES = 0x80;
    private static final int VARINT_SHIFT = 7;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);
    private final DataOutputStream out = new DataOutputStream(bytes);

    /** Writes one element of a list. */
    @FunctionalInterface
    public interface ElementWriter<T> {
        /** Writes the fields of one element to the record. */
        void write(RecordWriter writer, T element);
    }

    @FunctionalInterface
    private interface Step {
        void run() throws IOException;
    }

    /** A record that begins with its type, one of {@code RecordType} or of the chain's messages. */
    public RecordWriter(int type) {
        u8(type);
    }

    /** A record without a type, or a part of another record. */
    public RecordWriter() {}

    private RecordWriter step(Step step) {
        try {
            step.run();
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** One unsigned byte. */
    public RecordWriter u8(int value) {
        return step(() -> out.writeByte(value));
    }

    /** Four bytes, signed. */
    public RecordWriter i32(int value) {
        return step(() -> out.writeInt(value));
    }

    /** A count that fits in 16 bits, or the largest that does. */
    public RecordWriter i16(int value) {
        return step(() -> out.writeShort(Math.max(0, Math.min(Short.MAX_VALUE, value))));
    }

    /** Eight bytes, signed. */
    public RecordWriter i64(long value) {
        return step(() -> out.writeLong(value));
    }

    /** Eight bytes, IEEE 754. */
    public RecordWriter f64(double value) {
        return step(() -> out.writeDouble(value));
    }

    /**
     * A number of 0 or more in as few bytes as it needs, seven bits in each, the lowest first; what
     * is negative is written as 0.
     */
    public RecordWriter varint(long value) {
        return step(
                () -> {
                    var rest = Math.max(0, value);
                    while (rest > VARINT_BITS) {
                        out.writeByte((int) (rest & VARINT_BITS) | VARINT_CONTINUES);
                        rest >>>= VARINT_SHIFT;
                    }
                    out.writeByte((int) rest);
                });
    }

    /** Text in UTF-8 behind its length in bytes as a {@link #varint}. */
    public RecordWriter shortText(String value) {
        var encoded = value.getBytes(StandardCharsets.UTF_8);
        return varint(encoded.length).raw(encoded);
    }

    /** The number of elements as a {@link #varint}, then each of them. */
    public <T> RecordWriter shortList(Collection<T> elements, ElementWriter<T> elementWriter) {
        varint(elements.size());
        elements.forEach(element -> elementWriter.write(this, element));
        return this;
    }

    /** One byte, 0 or 1. */
    public RecordWriter flag(boolean value) {
        return step(() -> out.writeBoolean(value));
    }

    /** The length in bytes, then the text in UTF-8. */
    public RecordWriter text(String value) {
        return blob(value.getBytes(StandardCharsets.UTF_8));
    }

    /** The length, then the bytes. */
    public RecordWriter blob(byte[] value) {
        return step(
                () -> {
                    out.writeInt(value.length);
                    out.write(value);
                });
    }

    /** Bytes that were written by another writer, as they are, without a length. */
    public RecordWriter raw(byte[] value) {
        return step(() -> out.write(value));
    }

    /** The number of elements, then each of them. */
    public <T> RecordWriter list(Collection<T> elements, ElementWriter<T> elementWriter) {
        i32(elements.size());
        elements.forEach(element -> elementWriter.write(this, element));
        return this;
    }

    /** The number of texts, then each of them. */
    public RecordWriter texts(Collection<String> values) {
        return list(values, RecordWriter::text);
    }

    /** All that was written so far. */
    public byte[] bytes() {
        return bytes.toByteArray();
    }
}
