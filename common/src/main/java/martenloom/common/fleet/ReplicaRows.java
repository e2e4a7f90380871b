package martenloom.common.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.error.MalformedRecordException;

/**
 * Several replicas in short rows: the names of services and zones are written once, and numbers
 * take as few bytes as they need. Some 40 bytes a replica, where {@link ReplicaRecord#write} takes
 * 110.
 */
public final class ReplicaRows {
    private static final int DRAINING_FLAG = 1;
    private static final int ENDED_FLAG = 2;
    private static final int UNREACHABLE_FLAG = 4;
    private static final int DEADLINE_FLAG = 8;

    private ReplicaRows() {}

    /**
     * Writes rows and returns the writer.
     *
     * @param nowUs the time to which the written ages and remaining times refer
     */
    public static RecordWriter write(
            Collection<ReplicaRecord> replicas, RecordWriter out, long nowUs) {
        var names = new LinkedHashMap<String, Integer>();
        for (var replica : replicas) {
            names.putIfAbsent(replica.service(), names.size());
            names.putIfAbsent(replica.zone(), names.size());
        }
        out.shortList(names.keySet(), RecordWriter::shortText);
        return out.shortList(
                replicas, (writer, replica) -> writeRow(replica, names, writer, nowUs));
    }

    private static void writeRow(
            ReplicaRecord replica, Map<String, Integer> names, RecordWriter out, long nowUs) {
        var hasDeadline = replica.drainDeadlineUs() != ReplicaRecord.NO_DEADLINE;
        out.shortText(replica.id())
                .varint(names.get(replica.service()))
                .varint(names.get(replica.zone()))
                .shortText(replica.address())
                .varint(replica.capacity())
                .varint(replica.sequence())
                .u8(
                        (replica.draining() ? DRAINING_FLAG : 0)
                                | (replica.ended() ? ENDED_FLAG : 0)
                                | (replica.unreachable() ? UNREACHABLE_FLAG : 0)
                                | (hasDeadline ? DEADLINE_FLAG : 0))
                .varint(replica.warmFromUs() - nowUs)
                .varint(nowUs - replica.lastHeartbeatUs());
        if (hasDeadline) {
            out.varint(replica.drainDeadlineUs() - nowUs);
        }
    }

    /**
     * Reads what {@link #write} wrote.
     *
     * @param nowUs the time of this daemon's clock at which the rows were written
     */
    public static List<ReplicaRecord> read(RecordReader in, long nowUs) {
        var names = new ArrayList<>(in.shortList(RecordReader::shortText));
        return in.shortList(row -> readRow(row, names, nowUs));
    }

    private static ReplicaRecord readRow(RecordReader in, List<String> names, long nowUs) {
        var replica = new ReplicaRecord();
        replica.setId(in.shortText());
        replica.setService(name(names, in.varint32()));
        replica.setZone(name(names, in.varint32()));
        replica.setAddress(in.shortText());
        replica.setCapacity(in.varint32());
        replica.setSequence(in.varint());
        var flags = in.u8();
        replica.setDraining((flags & DRAINING_FLAG) != 0);
        replica.setEnded((flags & ENDED_FLAG) != 0);
        replica.setUnreachable((flags & UNREACHABLE_FLAG) != 0);
        replica.setWarmFromUs(nowUs + in.varint());
        replica.setLastHeartbeatUs(nowUs - in.varint());
        if ((flags & DEADLINE_FLAG) != 0) {
            replica.setDrainDeadlineUs(nowUs + in.varint());
        }
        return replica;
    }

    private static String name(List<String> names, int index) {
        if (index >= names.size()) {
            throw new MalformedRecordException("read replicas", "a name is out of bounds");
        }
        return names.get(index);
    }
}
