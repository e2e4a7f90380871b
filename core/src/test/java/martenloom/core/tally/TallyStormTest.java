package martenloom.core.tally;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import martenloom.core.tally.TallySimulation.Mutant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Days of cuts, losses of power and losses of disks over {@link TallySimulation}, and faults put in
 * by hand that such days have to find. {@code -Dtallies.seeds=300} plays more days.
 */
final class TallyStormTest {
    private static final int DAYS = Integer.getInteger("tallies.seeds", 15);
    private static final int MUTANT_DAYS = 300;
    private static final int PHASES = 6;
    private static final int SETTLED_MS = 2 * TallySimulation.MERGE_MS;
    private static final int CALL_PAUSE_MS = 40;
    private static final CopyRequirement TOLERATED = new CopyRequirement(2, 1, 1);

    private static void play(long seed, int nodes, CopyRequirement requirement, Mutant mutant) {
        var day = new TallySimulation(seed, nodes, requirement, mutant);
        day.playUntil(SETTLED_MS);
        for (var phase = 0; phase < PHASES; phase++) {
            playCut(day);
            playDiskLoss(day);
        }
        day.playUntil(day.nowMs() + SETTLED_MS);
        day.checkEnd();
        assertTrue(day.acknowledgedAdds() > PHASES, "adds were acknowledged");
    }

    /**
     * A cut, at times of minutes, with losses of power and a replacement on either side; it heals
     * at once or one way after the other. Then all settles.
     */
    private static void playCut(TallySimulation day) {
        var isLong = day.below(12) == 0;
        var lengthMs = isLong ? 60_000 + day.below(60_000) : 500 + day.below(8_000);
        day.callUntil(
                day.nowMs() + lengthMs + SETTLED_MS, isLong ? 8 * CALL_PAUSE_MS : CALL_PAUSE_MS);
        day.cut();
        day.playUntil(day.nowMs() + lengthMs / 3);
        day.losePower(day.below(4) == 0, 200 + day.below(2_000));
        day.playUntil(day.nowMs() + lengthMs / 3);
        if (day.below(3) == 0) {
            day.replace();
        }
        day.playUntil(day.nowMs() + lengthMs / 3);
        if (day.below(2) == 0) {
            day.healSome();
            day.playUntil(day.nowMs() + day.below(4_000));
        }
        day.heal();
        day.playUntil(day.nowMs() + SETTLED_MS);
    }

    /** Disks are lost in calm, at any moment between an add and its acknowledgement or after it. */
    private static void playDiskLoss(TallySimulation day) {
        day.callUntil(day.nowMs() + 1_000, 7);
        day.playUntil(day.nowMs() + 200 + day.below(900));
        day.loseDisks(TOLERATED);
        day.playUntil(day.nowMs() + SETTLED_MS);
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 9})
    void whatIsAcknowledgedOutlivesCutsAndLossesOnBothSides(int nodes) {
        for (var seed = 0; seed < DAYS; seed++) {
            var daySeed = seed;
            try {
                play(daySeed, nodes, TOLERATED, Mutant.NONE);
            } catch (AssertionError e) {
                throw new AssertionError("seed " + daySeed + ", " + nodes + " nodes", e);
            }
        }
    }

    private static void assertFound(CopyRequirement requirement, Mutant mutant) {
        assertThrows(
                AssertionError.class,
                () -> {
                    for (var seed = 0; seed < MUTANT_DAYS; seed++) {
                        play(seed, 6, requirement, mutant);
                    }
                });
    }

    @Test
    void anAcknowledgementByTheOwnDiskAloneIsFound() {
        assertFound(new CopyRequirement(0, 0, 0), Mutant.NONE);
    }

    @ParameterizedTest
    @EnumSource(value = Mutant.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void aFaultPutInByHandIsFound(Mutant mutant) {
        assertFound(TOLERATED, mutant);
    }
}
