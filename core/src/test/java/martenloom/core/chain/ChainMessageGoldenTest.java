package martenloom.core.chain;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import martenloom.common.jobs.JobPart;
import martenloom.core.golden.GoldenFile;
import martenloom.core.state.ClusterState;
import martenloom.core.state.Command.SetReplicaCount;
import martenloom.core.state.ContentReference;
import martenloom.core.state.EncodedState;
import martenloom.core.state.StampedCommand;
import org.junit.jupiter.api.Test;

/** Holds the wire form of every message between members of the chain. */
final class ChainMessageGoldenTest {
    private static final String MESSAGES = "chain-messages.txt";
    private static final Ballot OLDER = new Ballot(11, "10.0.0.1");
    private static final Ballot NEWER = new Ballot(12, "10.1.0.1");
    private static final List<String> CHAIN = List.of("10.1.0.1", "10.0.0.1", "10.2.0.1");
    private static final long EDITION = 5_000_000_001L;
    private static final EncodedState STATE = EncodedState.of(ClusterState.founded(CHAIN));
    private static final EncodedState NO_STATE = EncodedState.NONE;

    /** Each message by its name in the recorded file. */
    private static Map<String, ChainMessage> messages() {
        var messages = new LinkedHashMap<String, ChainMessage>();
        putElectionMessages(messages);
        putReplicationMessages(messages);
        putMessagesOfAHead(messages);
        putContentMessages(messages);
        return messages;
    }

    private static void putElectionMessages(Map<String, ChainMessage> messages) {
        messages.put("prepare", new ElectionMessage.Prepare(NEWER, OLDER, EDITION, OLDER));
        messages.put(
                "prepare, nothing released",
                new ElectionMessage.Prepare(NEWER, OLDER, EDITION, Ballot.ZERO));
        messages.put("answer to prepare, refused", new ElectionMessage.PromiseRejected(NEWER, 13));
        messages.put(
                "answer to prepare, promised",
                new ElectionMessage.Promise(NEWER, false, OLDER, EDITION, STATE));
        messages.put(
                "answer to prepare, promised by a leaver without the state",
                new ElectionMessage.Promise(NEWER, true, OLDER, EDITION, NO_STATE));
        messages.put(
                "answer to prepare, learner",
                new ElectionMessage.LearnerOffer(NEWER, 0x8123_4567_89ab_cdefL));
    }

    private static void putReplicationMessages(Map<String, ChainMessage> messages) {
        messages.put(
                "pass",
                new ReplicationMessage.ReplicateState(view(), OLDER, List.of(), EDITION, STATE));
        messages.put(
                "pass with learners and holders",
                new ReplicationMessage.ReplicateState(
                        viewWithLearners(),
                        OLDER,
                        List.of("10.0.0.1", "10.2.0.1"),
                        EDITION,
                        STATE));
        messages.put(
                "pass without the state",
                new ReplicationMessage.ReplicateState(
                        view(), OLDER, List.of("10.2.0.1"), EDITION, NO_STATE));
        messages.put("step", new ReplicationMessage.AppendCommand(view(), EDITION, change()));
        messages.put(
                "step with learners",
                new ReplicationMessage.AppendCommand(viewWithLearners(), EDITION, change()));
        messages.put("answer to pass", new ReplicationMessage.ReplicationAck(NEWER, EDITION));
        messages.put("answer to pass, refused", new ElectionMessage.BallotRejected(OLDER, 12));
    }

    private static void putMessagesOfAHead(Map<String, ChainMessage> messages) {
        messages.put(
                "heartbeat", new HeartbeatMessage.Heartbeat(NEWER, 77, CHAIN, EDITION, 1_000_000));
        messages.put("answer to heartbeat", new HeartbeatMessage.HeartbeatAck(NEWER, 77));
        messages.put(
                "news", new AnnouncementMessage.ViewAnnouncement(NEWER, CHAIN, EDITION, 1_000_000));
        messages.put("answer to news", new AnnouncementMessage.JoinRequest(13));
        messages.put("pull", new AnnouncementMessage.SnapshotRequest(EDITION));
        messages.put("answer to pull", new AnnouncementMessage.SnapshotResponse(STATE));
        messages.put("handover", new ElectionMessage.HeadHandover(NEWER));
    }

    private static void putContentMessages(Map<String, ChainMessage> messages) {
        var named =
                new EncodedState(
                        STATE.bytes(),
                        List.of(new ContentReference("job-1", JobPart.RESULT, "00ff")),
                        Map.of());
        messages.put(
                "promise, naming contents",
                new ElectionMessage.Promise(NEWER, false, OLDER, EDITION, named));
        messages.put(
                "pass, naming contents",
                new ReplicationMessage.ReplicateState(
                        view(), OLDER, List.of("10.2.0.1"), EDITION, named));
        messages.put(
                "answer to pull, naming contents", new AnnouncementMessage.SnapshotResponse(named));
        messages.put(
                "request for contents", new ContentMessage.ContentRequest(List.of("00ff", "11")));
        messages.put("content", new ContentMessage.ContentResponse(new byte[] {1, 2, 3}));
    }

    private static ChainView view() {
        return new ChainView(NEWER, CHAIN, Map.of());
    }

    private static ChainView viewWithLearners() {
        var learners = new TreeMap<String, Long>();
        learners.put("10.0.0.1", 9L);
        learners.put("10.2.0.1", -9L);
        return new ChainView(NEWER, CHAIN, learners);
    }

    private static StampedCommand change() {
        return StampedCommand.of(new SetReplicaCount("north/m", 4, 6, "1\nn2"))
                .stampedAt(1_234_567)
                .surveyed("survey");
    }

    @Test
    void everyKindOfMessageIsRecorded() {
        assertEquals(
                ChainMessageKinds.all(),
                messages().values().stream().map(Object::getClass).collect(Collectors.toSet()));
    }

    @Test
    void messagesAreWrittenAsRecorded() {
        var written = new LinkedHashMap<String, byte[]>();
        messages().forEach((name, message) -> written.put(name, ChainMessageCodec.encode(message)));
        GoldenFile.assertRecorded(GoldenFile.read(MESSAGES), written);
    }

    @Test
    void recordedMessagesAreReadAndWrittenAgain() {
        var recorded = GoldenFile.read(MESSAGES);
        messages()
                .forEach(
                        (name, message) -> {
                            var read = ChainMessageCodec.decode(recorded.get(name)).orElseThrow();
                            assertEquals(message.getClass(), read.getClass(), name);
                            GoldenFile.assertSameBytes(
                                    name, recorded.get(name), ChainMessageCodec.encode(read));
                        });
    }

    @Test
    void fieldsOfRecordedMessagesAreRead() {
        assertEquals(new ElectionMessage.Prepare(NEWER, OLDER, EDITION, OLDER), read("prepare"));
        assertEquals(
                new ElectionMessage.PromiseRejected(NEWER, 13), read("answer to prepare, refused"));
        assertEquals(
                new ElectionMessage.LearnerOffer(NEWER, 0x8123_4567_89ab_cdefL),
                read("answer to prepare, learner"));
        var promised = (ElectionMessage.Promise) read("answer to prepare, promised");
        assertEquals(OLDER, promised.accepted());
        assertEquals(EDITION, promised.edition());
        assertArrayEquals(STATE.bytes(), promised.state().bytes());
        var pass = (ReplicationMessage.ReplicateState) read("pass with learners and holders");
        assertEquals(viewWithLearners(), pass.view());
        assertEquals(List.of("10.0.0.1", "10.2.0.1"), pass.holders());
        assertEquals(OLDER, pass.basis());
        assertArrayEquals(STATE.bytes(), pass.state().bytes());
        var step = (ReplicationMessage.AppendCommand) read("step with learners");
        assertEquals(viewWithLearners(), step.view());
        assertEquals(EDITION, step.edition());
        assertEquals(change(), step.command());
        assertEquals(
                new HeartbeatMessage.Heartbeat(NEWER, 77, CHAIN, EDITION, 1_000_000),
                read("heartbeat"));
        assertEquals(
                new AnnouncementMessage.ViewAnnouncement(NEWER, CHAIN, EDITION, 1_000_000),
                read("news"));
        assertEquals(
                new ElectionMessage.BallotRejected(OLDER, 12), read("answer to pass, refused"));
        assertEquals(new ElectionMessage.HeadHandover(NEWER), read("handover"));
    }

    private static ChainMessage read(String name) {
        return ChainMessageCodec.decode(GoldenFile.read(MESSAGES).get(name)).orElseThrow();
    }
}
