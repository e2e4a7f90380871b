package martenloom.common.codec;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import martenloom.common.error.MalformedRecordException;

/**
 * Reads the fields of one record in the order in which {@link RecordWriter} wrote them. Reading
 * past the end, or a length out of bounds, throws {@link MalformedRecordException}: an error of the
 * record, never of the daemon that received it. Not thread-safe.
 */
public final class RecordReader {
    private static final String STEP = "read record";
    private static final int VARINT_BITS = 0x7F;
    private static final int VARINT_SHIFT = 7;

    private final DataInputStream in;
    private final int size;
    private final int type;

    @FunctionalInterface
    private interface Step<T> {
        T run() throws IOException;
    }

    /**
     * @param record the bytes of one record, not copied
     * @param typed whether the record begins with its type
     */
    public RecordReader(byte[] record, boolean typed) {
        in = new DataInputStream(new ByteArrayInputStream(record));
        size = record.length;
        type = typed ? u8() : 0;
    }

    /** The type of the record; 0 if it has none. */
    public int type() {
        return type;
    }

    private <T> T step(Step<T> step) {
        try {
            return step.run();
        } catch (IOException e) {
            throw new MalformedRecordException(STEP, "type " + type + " is cut short");
        }
    }

    /** Whether there are bytes that were not read: fields of a newer form of the record. */
    public boolean hasMore() {
        return step(in::available) > 0;
    }

    /** One unsigned byte. */
    public int u8() {
        return step(in::readUnsignedByte);
    }

    /** Four bytes, signed. */
    public int i32() {
        return step(in::readInt);
    }

    /** Two bytes, signed. */
    public int i16() {
        return step(() -> (int) in.readShort());
    }

    /** Eight bytes, signed. */
    public long i64() {
        return step(in::readLong);
    }

    /** Eight bytes, IEEE 754. */
    public double f64() {
        return step(in::readDouble);
    }

    /** A number of 0 or more that was written as a variable number of bytes. */
    public long varint() {
        var value = 0L;
        for (var shift = 0; shift < Long.SIZE - 1; shift += VARINT_SHIFT) {
            var next = u8();
            value |= (long) (next & VARINT_BITS) << shift;
            if (next <= VARINT_BITS) {
                return value;
            }
        }
        throw new MalformedRecordException(STEP, "type " + type + " has a varint out of bounds");
    }

    /** A varint that must fit in 32 bits. */
    public int varint32() {
        var value = varint();
        if (value > Integer.MAX_VALUE) {
            throw new MalformedRecordException(
                    STEP, "type " + type + " has a varint out of bounds");
        }
        return (int) value;
    }

    /** Text in UTF-8 behind its length as a varint. */
    public String shortText() {
        return new String(bytes(boundedCount("length", varint())), StandardCharsets.UTF_8);
    }

    /** A number of elements as a varint, then each of them. */
    public <T> List<T> shortList(Function<RecordReader, T> elementReader) {
        return elements(boundedCount("count", varint()), elementReader);
    }

    /** One byte, 0 or 1. */
    public boolean flag() {
        return step(in::readBoolean);
    }

    /** A length in bytes, then text in UTF-8. */
    public String text() {
        return new String(blob(), StandardCharsets.UTF_8);
    }

    /** A length, then as many bytes. */
    public byte[] blob() {
        return bytes(boundedCount("length", i32()));
    }

    private byte[] bytes(int count) {
        var value = new byte[count];
        step(
                () -> {
                    in.readFully(value);
                    return value;
                });
        return value;
    }

    /** A number of elements, then each of them. */
    public <T> List<T> list(Function<RecordReader, T> elementReader) {
        return elements(boundedCount("count", i32()), elementReader);
    }

    private <T> List<T> elements(int count, Function<RecordReader, T> elementReader) {
        var elements = new ArrayList<T>(count);
        for (var i = 0; i < count; i++) {
            elements.add(elementReader.apply(this));
        }
        return elements;
    }

    /** A number of texts, then each of them. */
    public List<String> texts() {
        return list(RecordReader::text);
    }

    /** No length or count in a record can be larger than the record. */
    private int boundedCount(String what, long count) {
        if (count < 0 || count > size) {
            throw new MalformedRecordException(
                    STEP, "type " + type + " has a " + what + " out of bounds");
        }
        return (int) count;
    }
}
