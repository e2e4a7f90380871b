package martenloom.common.codec;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import martenloom.common.error.MartenloomException;
import martenloom.common.golden.GoldenBytes;
import martenloom.common.link.RequestId;
import org.junit.jupiter.api.Test;

/** The recorded bytes of every kind of field, and the faults of torn records. */
final class CodecGoldenTest {
    private final GoldenBytes golden = new GoldenBytes("codec.txt");

    private static byte[] everyField() {
        return new RecordWriter(200)
                .u8(255)
                .i32(-2)
                .i16(-1)
                .i16(1234)
                .i16(70_000)
                .i64(Long.MIN_VALUE + 1)
                .f64(0.75)
                .flag(true)
                .flag(false)
                .text("grün")
                .blob(new byte[] {1, 2, 3})
                .raw(new byte[] {9})
                .texts(List.of("one", ""))
                .list(List.of(5, 6), RecordWriter::i32)
                .bytes();
    }

    private static byte[] requestId() {
        var out = new RecordWriter();
        new RequestId(-7, 8).write(out);
        return out.bytes();
    }

    private String fault(byte[] record) {
        var in = new RecordReader(record, true);
        return assertThrows(MartenloomException.class, in::text).getMessage();
    }

    @Test
    void fieldsAreEncodedAsRecorded() {
        golden.check("every-field", everyField());
        golden.check("request-id", requestId());
    }

    @Test
    void recordedFieldsAreDecoded() {
        var in = new RecordReader(golden.bytes("every-field"), true);
        assertEquals(200, in.type());
        assertEquals(255, in.u8());
        assertEquals(-2, in.i32());
        assertEquals(0, in.i16());
        assertEquals(1234, in.i16());
        assertEquals(32_767, in.i16());
        assertEquals(Long.MIN_VALUE + 1, in.i64());
        assertEquals(0.75, in.f64());
        assertTrue(in.flag());
        assertTrue(!in.flag());
        assertEquals("grün", in.text());
        assertArrayEquals(new byte[] {1, 2, 3}, in.blob());
        assertEquals(9, in.u8());
        assertEquals(List.of("one", ""), in.texts());
        assertEquals(List.of(5, 6), in.list(RecordReader::i32));
        var id = RequestId.read(new RecordReader(golden.bytes("request-id"), false));
        assertEquals(new RequestId(-7, 8), id);
    }

    @Test
    void tornRecordsAreFaultsWithRecordedTexts() {
        var whole = new RecordWriter(61).text("word").bytes();
        golden.check("fault.short-length", utf8(fault(Arrays.copyOf(whole, 3))));
        golden.check(
                "fault.length-out-of-bounds", utf8(fault(new RecordWriter(61).i32(99).bytes())));
        golden.check("fault.negative-length", utf8(fault(new RecordWriter(61).i32(-1).bytes())));
        golden.check("fault.cut-text", utf8(fault(new RecordWriter(61).i32(4).u8(1).bytes())));
        var in = new RecordReader(new RecordWriter(62).i32(99).bytes(), true);
        golden.check(
                "fault.count-out-of-bounds",
                utf8(assertThrows(MartenloomException.class, in::texts).getMessage()));
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
