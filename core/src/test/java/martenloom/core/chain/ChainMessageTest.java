package martenloom.core.chain;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import martenloom.core.chain.ChainMember.Ballot;
import martenloom.core.chain.ChainMember.MemberState;
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
    private static final ChainMessage.View VIEW =
            new ChainMessage.View(SECOND, List.of("b", "c"), Map.of("c", 9L));
    private static final StampedCommand CHANGE = StampedCommand.of(new GrantLease("d", 7, "x"));

    @Test
    void eachMessageIsReadAsItWasWritten() {
        var all =
                List.of(
                        new ChainMessage.Prepare(SECOND, FIRST, 5, FIRST),
                        new ChainMessage.Refused(SECOND, 8),
                        new ChainMessage.Promised(SECOND, true, FIRST, 5, new byte[] {1, 2}),
                        new ChainMessage.Learner(SECOND, 77),
                        new ChainMessage.Pass(VIEW, FIRST, List.of("c"), 5, new byte[] {3}),
                        new ChainMessage.Step(VIEW, 6, CHANGE),
                        new ChainMessage.PassAck(SECOND, 6),
                        new ChainMessage.Nack(SECOND, 9),
                        new ChainMessage.Heartbeat(SECOND, 12, List.of("b", "c"), 6, 1000),
                        new ChainMessage.HeartbeatAck(SECOND, 12),
                        new ChainMessage.News(SECOND, List.of("b", "c"), 6, 1000),
                        new ChainMessage.Here(4),
                        new ChainMessage.Pull(6),
                        new ChainMessage.Snapshot(new byte[] {4}),
                        new ChainMessage.Handover(SECOND));
        assertEquals(
                ChainMessage.class.getPermittedSubclasses().length,
                all.stream().map(Object::getClass).distinct().count());
        for (var message : all) {
            var bytes = message.encode().bytes();
            assertTrue(bytes[0] <= ChainMember.LAST_TYPE);
            var read = ChainMessage.decode(bytes).orElseThrow();
            assertEquals(message.getClass(), read.getClass());
            assertArrayEquals(bytes, read.encode().bytes());
        }
        assertTrue(ChainMessage.decode(new byte[] {40, 1, 2}).isEmpty(), "not the chain's");
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
        var kept = Optional.of(new MemberState(FIRST, acceptedIn, state));
        var member = new ChainMember("c", 1, kept, Comparator.naturalOrder(), 0);
        var view = new ChainMessage.View(SECOND, List.of("b", "c"), Map.of());
        var pass = new ChainMessage.Pass(view, FIRST, List.of("c"), state.edition(), new byte[0]);
        member.onRecord(10, "b", pass.encode().bytes());
        return member.drain().stream().filter(c -> c instanceof ChainMember.Store).count();
    }

    /** The view that the promise was for may need the leaver: it must not end on older news. */
    @Test
    void aPromiseTakesBackTheReleaseOfALeaver() {
        var kept = new MemberState(FIRST, FIRST, ClusterState.founded(List.of("a", "b", "c")));
        var member = new ChainMember("c", 1, Optional.of(kept), Comparator.naturalOrder(), 0);
        member.onLeave(10);
        member.onRecord(20, "b", bytes(new ChainMessage.News(SECOND, List.of("b", "a"), 0, 0)));
        assertTrue(member.released(30));
        member.drain();
        var next = new Ballot(5, "a");
        member.onRecord(40, "a", bytes(new ChainMessage.Prepare(next, FIRST, 0, Ballot.ZERO)));
        carryOutStores(member, 50);
        assertFalse(member.released(60));
        member.onRecord(70, "a", bytes(new ChainMessage.News(next, List.of("a", "b"), 0, 0)));
        assertTrue(member.released(80), "the new view does without it");
    }

    /** Its promise was forgotten with its disk: it is a learner, and no part of the majority. */
    @Test
    void whoPromisedAndWasWipedDoesNotCountInTheBid() {
        var kept = new MemberState(FIRST, FIRST, ClusterState.founded(List.of("a", "b", "c")));
        var bidder = new ChainMember("a", 1, Optional.of(kept), Comparator.naturalOrder(), 0);
        bidder.onTick(2_000_000);
        assertEquals(ChainMember.Mode.BIDDING, bidder.mode());
        carryOutStores(bidder, 2_001_000);
        var ballot = bidder.memberState().promised;
        var promise = new ChainMessage.Promised(ballot, false, FIRST, 0, new byte[0]);
        var learner = new ChainMessage.Learner(ballot, 77);
        bidder.onRecord(2_002_000, "b", bytes(promise));
        bidder.onRecord(2_003_000, "b", bytes(learner));
        bidder.onRecord(2_004_000, "b", bytes(promise));
        bidder.onTick(2_500_000);
        assertEquals(
                ChainMember.Mode.BIDDING, bidder.mode(), "one promise of three is no majority");
        bidder.onRecord(2_600_000, "c", bytes(promise));
        assertEquals(ChainMember.Mode.STARTING, bidder.mode());
        assertEquals(List.of("a", "c", "b"), bidder.chain());
    }

    /** Bids that cannot form a view would only take back the promises that another one needs. */
    @Test
    void whoFindsItselfOutsideTheNewestRosterStopsBiddingForAWhile() {
        var kept = new MemberState(FIRST, FIRST, ClusterState.founded(List.of("a", "b", "c")));
        var outsider = new ChainMember("a", 1, Optional.of(kept), Comparator.naturalOrder(), 0);
        outsider.onTick(2_000_000);
        carryOutStores(outsider, 2_001_000);
        var ballot = outsider.memberState().promised;
        var newer = ClusterState.founded(List.of("b", "c", "d")).bytes();
        var promise = new ChainMessage.Promised(ballot, false, SECOND, 1, newer);
        outsider.onRecord(2_002_000, "b", bytes(promise));
        assertEquals(ChainMember.Mode.IDLE, outsider.mode());
        outsider.onTick(4_900_000);
        assertEquals(ChainMember.Mode.IDLE, outsider.mode());
        outsider.onTick(6_500_000);
        assertEquals(
                ChainMember.Mode.BIDDING, outsider.mode(), "the roster may never have counted");
    }

    private static byte[] bytes(ChainMessage message) {
        return message.encode().bytes();
    }

    private static void carryOutStores(ChainMember member, long t) {
        for (var command : member.drain()) {
            if (command instanceof ChainMember.Store store) {
                member.onStored(t, store.token());
            }
        }
    }
}
