package martenloom.common.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HexFormat;
import java.util.List;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.error.MalformedRecordException;
import martenloom.common.golden.GoldenBytes;
import org.junit.jupiter.api.Test;

/** Short rows say what long rows say. */
final class ReplicaRowsTest {
    private static final long NOW_US = 5_000_000;

    private static ReplicaRecord replica(String id, String zone) {
        var replica = new ReplicaRecord();
        replica.setId(id);
        replica.setService("chat");
        replica.setAddress("10.1.0.9:8080");
        replica.setZone(zone);
        replica.setCapacity(32);
        replica.setSequence(300);
        replica.setLastHeartbeatUs(NOW_US - 400);
        replica.setWarmFromUs(NOW_US);
        return replica;
    }

    private static List<ReplicaRecord> replicas() {
        var warming = replica("replica-2", "south-b");
        warming.setWarmFromUs(NOW_US + 3_000_000);
        warming.setUnreachable(true);
        var draining = replica("replica-3", "north-a");
        draining.setDraining(true);
        draining.setDrainDeadlineUs(NOW_US + 2_000_000);
        var ended = replica("replica-4", "north-a");
        ended.setEnded(true);
        return List.of(replica("replica-1", "north-a"), warming, draining, ended);
    }

    private static String longRow(ReplicaRecord replica) {
        var out = new RecordWriter();
        replica.write(out, NOW_US);
        return HexFormat.of().formatHex(out.bytes());
    }

    @Test
    void shortRowsSayWhatLongRowsSay() {
        var bytes = ReplicaRows.write(replicas(), new RecordWriter(), NOW_US).bytes();
        var read = ReplicaRows.read(new RecordReader(bytes, false), NOW_US);
        assertEquals(
                replicas().stream().map(ReplicaRowsTest::longRow).toList(),
                read.stream().map(ReplicaRowsTest::longRow).toList());
    }

    @Test
    void rowsAreEncodedAsRecorded() {
        var golden = new GoldenBytes("replica-rows.txt");
        golden.check("rows", ReplicaRows.write(replicas(), new RecordWriter(), NOW_US).bytes());
        assertEquals(
                4, ReplicaRows.read(new RecordReader(golden.bytes("rows"), false), NOW_US).size());
    }

    @Test
    void aNameThatIsNotThereIsAnErrorOfTheRecord() {
        var bytes = new RecordWriter().varint(0).varint(1).shortText("i").varint(3).varint(0);
        assertThrows(
                MalformedRecordException.class,
                () -> ReplicaRows.read(new RecordReader(bytes.bytes(), false), NOW_US));
    }
}
