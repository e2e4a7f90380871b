package martenloom.core.chain;

import static martenloom.core.chain.ChainSimulation.SECOND_US;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Injects faults into a simulated chain: delays, losses, cut links, crashes in the middle of a
 * sync, one wiped disk at a time, graceful shutdowns, and replacements by new addresses, one or two
 * at a time. Whatever was acknowledged must be there in the end, a base has one winner, two views
 * never both acknowledge, and the roster ends as the machines that are there.
 */
final class ChainFaultInjectionTest {
    private static final int MEMBERS = 5;
    private static final int FOUNDERS = 3;
    private static final int STEPS_TO_GROW = 8_000;
    private static final int STEPS_OF_FAULTS = 12_000;
    private static final int STEPS_TO_CALM_DOWN = 3_000;
    private static final int ONE_CHANGE_IN = 20;
    private static final int ONE_FAULT_IN = 200;

    private static ChainSimulation grownChain(long seed) {
        var simulation = new ChainSimulation(seed, MEMBERS, FOUNDERS);
        simulation.runSteps(STEPS_TO_GROW, () -> simulation.hasRosterOf(MEMBERS));
        return simulation;
    }

    /** Submits a change each second until one is acknowledged, for five seconds at most. */
    private static boolean acknowledgesAChange(ChainSimulation simulation) {
        var before = simulation.acknowledgedCount();
        var sinceUs = simulation.nowUs();
        simulation.runSteps(
                1000,
                () -> {
                    var isDone = simulation.acknowledgedCount() > before;
                    if (!isDone && (simulation.nowUs() - sinceUs) % SECOND_US == 0) {
                        simulation.submitChange();
                    }
                    return isDone;
                });
        return simulation.acknowledgedCount() > before;
    }

    @Test
    void aMemberCutOffKnowsThatItIsStale() {
        var simulation = grownChain(99);
        var follower =
                simulation.members().stream()
                        .filter(member -> !member.isHead())
                        .findFirst()
                        .orElseThrow();
        simulation
                .addresses()
                .forEach(other -> simulation.network().cut(follower.address(), other));
        var cutAtUs = simulation.nowUs();
        while (simulation.nowUs() < cutAtUs + 6 * SECOND_US) {
            simulation.step();
            var nowUs = simulation.nowUs();
            assertTrue(
                    follower.chain().stalenessUs(nowUs) > nowUs - cutAtUs - SECOND_US / 2,
                    "elections in vain prove nothing");
        }
    }

    /** A head and one follower are cut off together: the head's heartbeats prove no majority. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void theFollowerOfACutOffHeadKnowsThatItIsStale(long seed) {
        var simulation = new ChainSimulation(seed, MEMBERS, FOUNDERS);
        simulation.useFastDisks();
        simulation.runUntil("grown", 40 * SECOND_US, simulation::isComplete);
        simulation.run(2 * SECOND_US);
        var pair = simulation.head().chain().subList(0, 2);
        simulation.network().cut(pair, simulation.addresses());
        var cutAtUs = simulation.nowUs();
        while (simulation.nowUs() < cutAtUs + 6 * SECOND_US) {
            simulation.step();
            for (var address : pair) {
                var stalenessUs =
                        simulation.member(address).chain().stalenessUs(simulation.nowUs());
                assertTrue(
                        stalenessUs >= simulation.nowUs() - cutAtUs,
                        address + " takes itself for " + stalenessUs + " us old");
            }
        }
    }

    /**
     * Two members that are long gone: while four must stay nobody is removed; when three are
     * enough, both are, one by one.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void absentMembersAreRemovedOneAtATimeAndNeverBelowWhatIsNeeded(long seed) {
        var simulation = grownChain(seed);
        simulation.heal();
        simulation.run(10 * SECOND_US);
        assertTrue(
                simulation.members().stream().allMatch(SimulatedMember::hasLearned),
                "who is new has learned");
        simulation.members().forEach(member -> member.chain().setMinimumRosterSize(4));
        var absent =
                simulation.members().stream().filter(member -> !member.isHead()).limit(2).toList();
        for (var member : absent) {
            simulation.crash(member);
            member.stayDown();
        }
        simulation.run(ChainMember.REMOVE_ABSENT_AFTER_US - 5 * SECOND_US);
        assertEquals(MEMBERS, simulation.roster().size(), "not before its time");
        simulation.run(ChainMember.REMOVE_ABSENT_AFTER_US + 5 * SECOND_US);
        assertEquals(MEMBERS, simulation.roster().size(), "three in the chain are fewer than four");
        simulation.members().stream()
                .filter(SimulatedMember::isUp)
                .forEach(member -> member.chain().setMinimumRosterSize(3));
        simulation.run(2 * ChainMember.REMOVE_ABSENT_AFTER_US);
        var roster = simulation.roster();
        assertEquals(3, roster.size(), "both are removed, one after the other");
        assertTrue(absent.stream().noneMatch(member -> roster.contains(member.address())));
        absent.forEach(member -> member.restartAt(simulation.nowUs()));
        simulation.runSteps(4000, () -> simulation.hasRosterOf(MEMBERS));
        assertTrue(simulation.hasRosterOf(MEMBERS), "who comes back is added again");
        assertTrue(acknowledgesAChange(simulation));
    }

    @ParameterizedTest
    @ValueSource(
            longs = {
                1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23,
                24
            })
    void whatWasAcknowledgedStays(long seed) {
        var simulation = grownChain(seed);
        assertTrue(simulation.hasRosterOf(MEMBERS), "the chain grows to all its members");
        var faults = new FaultInjector(simulation);
        for (var i = 0; i < STEPS_OF_FAULTS; i++) {
            simulation.step();
            if (simulation.oneIn(ONE_CHANGE_IN)) {
                simulation.submitChange();
            }
            if (simulation.oneIn(ONE_FAULT_IN)) {
                faults.inject();
            }
        }
        simulation.heal();
        simulation.runSteps(STEPS_TO_CALM_DOWN, () -> false);
        simulation.runUntil("complete again", 15 * SECOND_US, simulation::isComplete);
        assertEquals(1, simulation.heads().size(), "one head when calm");
        assertTrue(simulation.acknowledgedCount() > 0, "something was acknowledged");
        assertHoldsTheNewest(simulation);
        assertTrue(acknowledgesAChange(simulation), "a calm chain acknowledges");
    }

    private static void assertHoldsTheNewest(ChainSimulation simulation) {
        var held = simulation.head().committed().configuration();
        var newest = simulation.newestAcknowledgedRevision();
        assertTrue(
                held.revision() >= newest,
                "revision " + held.revision() + " is behind the acknowledged " + newest);
        if (held.revision() == newest) {
            assertEquals(simulation.acknowledgedConfiguration(newest), held.json());
        }
        for (var member : simulation.members()) {
            assertEquals(
                    held.revision(),
                    member.chain().committed().configuration().revision(),
                    "all members know the newest");
        }
    }
}
