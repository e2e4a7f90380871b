package martenloom.core.chain;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import martenloom.core.state.ClusterState;
import martenloom.core.state.Command.GrantLease;
import martenloom.core.state.StampedCommand;
import org.junit.jupiter.api.Test;

/**
 * The wire form of the chain's messages, and what a member does with a state that is only named.
 */
final class ChainMessageTest {
    private static final Ballot FIRST = new Ballot(3, "a");
    private static final Ballot SECOND = new Ballot(4, "b");
    private static final ChainView VIEW = new ChainView(SECOND, List.of("b", "c"), Map.of("c", 9L));
    private static final StampedCommand CHANGE = StampedCommand.of(new GrantLease("d", 7, "x"));

    @Test
    void eachMessageIsReadAsItWasWritten() {
        var all =
                List.of(
                        new ElectionMessage.Prepare(SECOND, FIRST, 5, FIRST),
                        new ElectionMessage.PromiseRejected(SECOND, 8),
                        new ElectionMessage.Promise(SECOND, true, FIRST, 5, new byte[] {1, 2}),
                        new ElectionMessage.LearnerOffer(SECOND, 77),
                        new ReplicationMessage.ReplicateState(
                                VIEW, FIRST, List.of("c"), 5, new byte[] {3}),
                        new ReplicationMessage.AppendCommand(VIEW, 6, CHANGE),
                        new ReplicationMessage.ReplicationAck(SECOND, 6),
                        new ElectionMessage.BallotRejected(SECOND, 9),
                        new HeartbeatMessage.Heartbeat(SECOND, 12, List.of("b", "c"), 6, 1000),
                        new HeartbeatMessage.HeartbeatAck(SECOND, 12),
                        new AnnouncementMessage.ViewAnnouncement(
                                SECOND, List.of("b", "c"), 6, 1000),
                        new AnnouncementMessage.JoinRequest(4),
                        new AnnouncementMessage.SnapshotRequest(6),
                        new AnnouncementMessage.SnapshotResponse(new byte[] {4}),
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

    /**
     * A member that holds the edition, but from another view, has another state and must not take
     * it.
     */
    @Test
    void aStateThatIsOnlyNamedIsTakenByItsHolderAlone() {
        var state = ClusterState.founded(List.of("b", "c"));
        assertEquals(1, storesAfterNaming(FIRST, state));
        assertEquals(0, storesAfterNaming(new Ballot(2, "a"), state));
    }

    private static long storesAfterNaming(Ballot acceptedIn, ClusterState state) {
        var kept = Optional.of(new PersistentMemberState(FIRST, acceptedIn, state));
        var member = new ChainMember("c", 1, kept, Comparator.naturalOrder(), 0);
        var view = new ChainView(SECOND, List.of("b", "c"), Map.of());
        var pass =
                new ReplicationMessage.ReplicateState(
                        view, FIRST, List.of("c"), state.edition(), new byte[0]);
        member.onMessage(10, "b", ChainMessageCodec.encode(pass));
        return member.drainEffects().stream()
                .filter(c -> c instanceof ChainEffect.PersistState)
                .count();
    }

    /** The view that the promise was for may need the leaver: it must not end on older news. */
    @Test
    void aPromiseTakesBackTheReleaseOfALeaver() {
        var kept =
                new PersistentMemberState(
                        FIRST, FIRST, ClusterState.founded(List.of("a", "b", "c")));
        var member = new ChainMember("c", 1, Optional.of(kept), Comparator.naturalOrder(), 0);
        member.startLeaving(10);
        member.onMessage(
                20,
                "b",
                bytes(new AnnouncementMessage.ViewAnnouncement(SECOND, List.of("b", "a"), 0, 0)));
        assertTrue(member.mayTerminate(30));
        member.drainEffects();
        var next = new Ballot(5, "a");
        member.onMessage(40, "a", bytes(new ElectionMessage.Prepare(next, FIRST, 0, Ballot.ZERO)));
        carryOutStores(member, 50);
        assertFalse(member.mayTerminate(60));
        member.onMessage(
                70,
                "a",
                bytes(new AnnouncementMessage.ViewAnnouncement(next, List.of("a", "b"), 0, 0)));
        assertTrue(member.mayTerminate(80), "the new view does without it");
    }

    /** Its promise was forgotten with its disk: it is a learner, and no part of the majority. */
    @Test
    void whoPromisedAndWasWipedDoesNotCountInTheBid() {
        var kept =
                new PersistentMemberState(
                        FIRST, FIRST, ClusterState.founded(List.of("a", "b", "c")));
        var bidder = new ChainMember("a", 1, Optional.of(kept), Comparator.naturalOrder(), 0);
        bidder.onTick(2_000_000);
        assertEquals(MemberRole.CANDIDATE, bidder.role());
        carryOutStores(bidder, 2_001_000);
        var ballot = bidder.memberState().promised();
        var promise = new ElectionMessage.Promise(ballot, false, FIRST, 0, new byte[0]);
        var learner = new ElectionMessage.LearnerOffer(ballot, 77);
        bidder.onMessage(2_002_000, "b", bytes(promise));
        bidder.onMessage(2_003_000, "b", bytes(learner));
        bidder.onMessage(2_004_000, "b", bytes(promise));
        bidder.onTick(2_500_000);
        assertEquals(MemberRole.CANDIDATE, bidder.role(), "one promise of three is no majority");
        bidder.onMessage(2_600_000, "c", bytes(promise));
        assertEquals(MemberRole.ACTIVATING_VIEW, bidder.role());
        assertEquals(List.of("a", "c", "b"), bidder.chain());
    }

    /** Bids that cannot form a view would only take back the promises that another one needs. */
    @Test
    void whoFindsItselfOutsideTheNewestRosterStopsBiddingForAWhile() {
        var kept =
                new PersistentMemberState(
                        FIRST, FIRST, ClusterState.founded(List.of("a", "b", "c")));
        var outsider = new ChainMember("a", 1, Optional.of(kept), Comparator.naturalOrder(), 0);
        outsider.onTick(2_000_000);
        carryOutStores(outsider, 2_001_000);
        var ballot = outsider.memberState().promised();
        var newer = ClusterState.founded(List.of("b", "c", "d")).bytes();
        var promise = new ElectionMessage.Promise(ballot, false, SECOND, 1, newer);
        outsider.onMessage(2_002_000, "b", bytes(promise));
        assertEquals(MemberRole.IDLE, outsider.role());
        outsider.onTick(4_900_000);
        assertEquals(MemberRole.IDLE, outsider.role());
        outsider.onTick(6_500_000);
        assertEquals(MemberRole.CANDIDATE, outsider.role(), "the roster may never have counted");
    }

    private static byte[] bytes(ChainMessage message) {
        return ChainMessageCodec.encode(message);
    }

    private static void carryOutStores(ChainMember member, long t) {
        for (var command : member.drainEffects()) {
            if (command instanceof ChainEffect.PersistState store) {
                member.onPersisted(t, store.token());
            }
        }
    }
}
