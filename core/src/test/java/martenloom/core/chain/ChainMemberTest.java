package martenloom.core.chain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import martenloom.core.state.ClusterState;
import martenloom.core.state.EncodedState;
import org.junit.jupiter.api.Test;

/** What one member answers to messages, without a chain around it. */
final class ChainMemberTest {
    private static final Ballot FIRST = new Ballot(3, "a");
    private static final Ballot SECOND = new Ballot(4, "b");

    /**
     * A member that holds the edition, but from another view, has another state and must not take
     * it.
     */
    @Test
    void aStateThatIsOnlyNamedIsTakenByItsHolderAlone() {
        var state = ClusterState.founded(List.of("b", "c"));
        assertEquals(1, writesAfterNaming(FIRST, state));
        assertEquals(0, writesAfterNaming(new Ballot(2, "a"), state));
    }

    private static long writesAfterNaming(Ballot acceptedIn, ClusterState state) {
        var kept = Optional.of(new PersistentMemberState(FIRST, acceptedIn, state));
        var member = new ChainMember("c", 1, kept, Comparator.naturalOrder(), 0);
        var view = new ChainView(SECOND, List.of("b", "c"), Map.of());
        var message =
                new ReplicationMessage.ReplicateState(
                        view, FIRST, List.of("c"), state.edition(), EncodedState.NONE);
        member.onMessage(10, "b", ChainMessageCodec.encode(message));
        return member.drainEffects().stream()
                .filter(effect -> effect instanceof ChainEffect.PersistState)
                .count();
    }

    /**
     * The view that the promise was for may need the leaver: it must not end on an older
     * announcement.
     */
    @Test
    void aPromiseRevokesTheReleaseOfALeaver() {
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
        finishWrites(member, 50);
        assertFalse(member.mayTerminate(60));
        member.onMessage(
                70,
                "a",
                bytes(new AnnouncementMessage.ViewAnnouncement(next, List.of("a", "b"), 0, 0)));
        assertTrue(member.mayTerminate(80), "the new view does without it");
    }

    /** Its promise was forgotten with its disk: it is a learner, and no part of the majority. */
    @Test
    void whoPromisedAndWasWipedDoesNotCountInTheElection() {
        var kept =
                new PersistentMemberState(
                        FIRST, FIRST, ClusterState.founded(List.of("a", "b", "c")));
        var candidate = new ChainMember("a", 1, Optional.of(kept), Comparator.naturalOrder(), 0);
        candidate.onTick(2_000_000);
        assertEquals(MemberRole.CANDIDATE, candidate.role());
        finishWrites(candidate, 2_001_000);
        var ballot = candidate.memberState().promised();
        var promise = new ElectionMessage.Promise(ballot, false, FIRST, 0, EncodedState.NONE);
        var learner = new ElectionMessage.LearnerOffer(ballot, 77);
        candidate.onMessage(2_002_000, "b", bytes(promise));
        candidate.onMessage(2_003_000, "b", bytes(learner));
        candidate.onMessage(2_004_000, "b", bytes(promise));
        candidate.onTick(2_500_000);
        assertEquals(MemberRole.CANDIDATE, candidate.role(), "one promise of three is no majority");
        candidate.onMessage(2_600_000, "c", bytes(promise));
        assertEquals(MemberRole.ACTIVATING_VIEW, candidate.role());
        assertEquals(List.of("a", "c", "b"), candidate.chain());
    }

    /**
     * Candidacies that cannot form a view would only take back the promises that another one needs.
     */
    @Test
    void whoFindsItselfOutsideTheNewestRosterStandsForNoElectionForAWhile() {
        var kept =
                new PersistentMemberState(
                        FIRST, FIRST, ClusterState.founded(List.of("a", "b", "c")));
        var outsider = new ChainMember("a", 1, Optional.of(kept), Comparator.naturalOrder(), 0);
        outsider.onTick(2_000_000);
        finishWrites(outsider, 2_001_000);
        var ballot = outsider.memberState().promised();
        var newer = EncodedState.of(ClusterState.founded(List.of("b", "c", "d")));
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

    private static void finishWrites(ChainMember member, long nowUs) {
        for (var effect : member.drainEffects()) {
            if (effect instanceof ChainEffect.PersistState write) {
                member.onPersisted(nowUs, write.token());
            }
        }
    }
}
