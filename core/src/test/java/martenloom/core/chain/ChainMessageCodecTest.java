package martenloom.core.chain;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import martenloom.core.state.Command.GrantLease;
import martenloom.core.state.EncodedState;
import martenloom.core.state.StampedCommand;
import org.junit.jupiter.api.Test;

/** The form of the chain's messages on the wire. */
final class ChainMessageCodecTest {
    private static final Ballot FIRST = new Ballot(3, "a");
    private static final Ballot SECOND = new Ballot(4, "b");
    private static final ChainView VIEW = new ChainView(SECOND, List.of("b", "c"), Map.of("c", 9L));
    private static final StampedCommand CHANGE = StampedCommand.of(new GrantLease("d", 7, "x"));

    private static EncodedState state(int... values) {
        var bytes = new byte[values.length];
        for (var i = 0; i < values.length; i++) {
            bytes[i] = (byte) values[i];
        }
        return new EncodedState(bytes, List.of(), Map.of());
    }

    @Test
    void eachMessageIsReadAsItWasWritten() {
        var all =
                List.of(
                        new ElectionMessage.Prepare(SECOND, FIRST, 5, FIRST),
                        new ElectionMessage.PromiseRejected(SECOND, 8),
                        new ElectionMessage.Promise(SECOND, true, FIRST, 5, state(1, 2)),
                        new ElectionMessage.LearnerOffer(SECOND, 77),
                        new ReplicationMessage.ReplicateState(
                                VIEW, FIRST, List.of("c"), 5, state(3)),
                        new ReplicationMessage.AppendCommand(VIEW, 6, CHANGE),
                        new ReplicationMessage.ReplicationAck(SECOND, 6),
                        new ElectionMessage.BallotRejected(SECOND, 9),
                        new HeartbeatMessage.Heartbeat(SECOND, 12, List.of("b", "c"), 6, 1000),
                        new HeartbeatMessage.HeartbeatAck(SECOND, 12),
                        new AnnouncementMessage.ViewAnnouncement(
                                SECOND, List.of("b", "c"), 6, 1000),
                        new AnnouncementMessage.JoinRequest(4),
                        new AnnouncementMessage.SnapshotRequest(6),
                        new AnnouncementMessage.SnapshotResponse(state(4)),
                        new ContentMessage.ContentRequest(List.of("00ff")),
                        new ContentMessage.ContentResponse(new byte[] {5}),
                        new ElectionMessage.HeadHandover(SECOND));
        assertEquals(
                ChainMessageKinds.all(),
                all.stream().map(Object::getClass).collect(Collectors.toSet()));
        for (var message : all) {
            var bytes = ChainMessageCodec.encode(message);
            assertTrue(bytes[0] <= ChainMember.HIGHEST_MESSAGE_TYPE);
            var read = ChainMessageCodec.decode(bytes).orElseThrow();
            assertEquals(message.getClass(), read.getClass());
            assertArrayEquals(bytes, ChainMessageCodec.encode(read));
        }
        assertTrue(ChainMessageCodec.decode(new byte[] {40, 1, 2}).isEmpty(), "not the chain's");
    }
}
