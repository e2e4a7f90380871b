package martenloom.core.chain;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import martenloom.core.state.ClusterState;
import martenloom.core.state.EncodedState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Jobs whose contents are too large for the records of the chain, under faults. */
final class ContentExchangeTest {
    private static final long SECOND_US = 1_000_000;
    private static final int JOBS = 40;
    private static final int BODY_BYTES = 100_000;

    /** What a record may hold beside one content. */
    private static final int MAX_RECORD_BYTES = BODY_BYTES + 50_000;

    private static ChainSimulation withJobs(long seed) {
        var simulation = new ChainSimulation(seed, 3, 3);
        simulation.runUntil("one head", 10 * SECOND_US, simulation::isComplete);
        for (var i = 0; i < JOBS; i++) {
            simulation.keepJob("job-" + i, BODY_BYTES, 20 * SECOND_US);
        }
        simulation.runUntil("one head", 10 * SECOND_US, simulation::isComplete);
        return simulation;
    }

    private static void assertSame(ClusterState expected, ClusterState actual) {
        assertArrayEquals(expected.bytes(), actual.bytes());
    }

    /** Guards against a member that can never be taught a state larger than a record. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aMemberThatLostItsDiskIsTaughtAllContentsInRecordsOfBoundedSize(long seed) {
        var simulation = withJobs(seed);
        simulation.network().setLossProbability(0.02);
        var wiped =
                simulation.members().stream()
                        .filter(member -> !member.isHead())
                        .findFirst()
                        .orElseThrow();
        simulation.crashAndWipe(wiped);
        simulation.runUntil(
                "taught",
                60 * SECOND_US,
                () ->
                        wiped.hasLearned()
                                && simulation.isComplete()
                                && !simulation.heads().isEmpty()
                                && wiped.chain().memberState().state().edition()
                                        == simulation.head().committed().edition());
        assertSame(simulation.head().committed(), wiped.chain().memberState().state());
        assertTrue(
                simulation.network().largestRecord() < MAX_RECORD_BYTES,
                "largest record " + simulation.network().largestRecord());
    }

    /** Guards against a core that rests while a member fetches what it lacks. */
    @Test
    void changesAreAcknowledgedWhileAMemberIsTaught() {
        var simulation = withJobs(4);
        simulation.useFastDisks();
        var newcomer = simulation.addMachine();
        while (!newcomer.hasLearned()) {
            simulation.runUntilAcknowledged(4 * SECOND_US);
        }
        simulation.runUntil("complete", 30 * SECOND_US, simulation::isComplete);
        assertEquals(JOBS, newcomer.chain().memberState().state().jobs().byId().size());
    }

    /** Guards against writes whose size grows with what is kept. */
    @Test
    void theBytesOfAStateDoNotGrowWithItsContents() {
        var simulation = withJobs(5);
        var state = simulation.head().committed();
        var encoded = EncodedState.of(state);
        assertEquals(JOBS, encoded.contents().size());
        assertTrue(encoded.bytes().length < JOBS * 200, "bytes " + encoded.bytes().length);
        assertSame(state, encoded.decode());
        var named = new EncodedState(encoded.bytes(), encoded.references(), Map.of());
        assertEquals(JOBS, named.missing().size());
        assertEquals(
                List.of(),
                named.resolved(digest -> Optional.of(encoded.contents().get(digest))).missing());
    }
}
