package martenloom.core.chain;

import static martenloom.core.chain.ChainSimulation.SECOND_US;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A member that was away while many changes were made, and a new one, catch up in time, and with
 * the bytes of one state.
 */
final class CatchUpTest {
    private static final long CATCH_UP_US = 4 * SECOND_US;
    private static final int ROUTES = 2000;

    private static String route(int number) {
        return "{\"Name\":\"r"
                + number
                + "\",\"Hostname\":\"cluster.example\",\"PathPrefix\":\"/"
                + number
                + "/\",\"RouteType\":\"idempotent\",\"TimeoutMs\":8000,\"TargetLatencyMs\":2000,"
                + "\"Priority\":0,\"Backend\":\"plain\",\"MaxAttempts\":2,"
                + "\"SessionAffinity\":false,\"Resumable\":false,\"TargetGapMs\":800,"
                + "\"AllowedRegions\":[]}";
    }

    private static void change(ChainSimulation simulation, String routes) {
        var before = simulation.acknowledgedCount();
        simulation.submitChange(routes);
        simulation.runUntil(
                "acknowledged", 5 * SECOND_US, () -> simulation.acknowledgedCount() > before);
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 300, 3000})
    void aMemberCatchesUpInTimeAfterAnyNumberOfChanges(int changes) {
        var simulation = new ChainSimulation(changes, 3, 3);
        simulation.useFastDisks();
        simulation.runUntil("one head", 5 * SECOND_US, simulation::isComplete);
        var away =
                simulation.members().stream()
                        .filter(member -> !member.isHead())
                        .findFirst()
                        .orElseThrow();
        simulation.crash(away);
        away.stayDown();
        simulation.runUntilAcknowledged(5 * SECOND_US);
        simulation.run(2 * SECOND_US);
        for (var i = 2; i < changes; i++) {
            change(simulation, "");
        }
        change(
                simulation,
                IntStream.range(0, ROUTES)
                        .mapToObj(CatchUpTest::route)
                        .collect(Collectors.joining(",")));
        var state = simulation.head().committed();
        var routes =
                state.configuration()
                        .routingText()
                        .lines()
                        .filter(line -> line.contains("/"))
                        .count();
        assertTrue(routes >= ROUTES, "all routes are in it: " + routes);
        var stateBytes = state.bytes().length;
        away.restartAt(simulation.nowUs());
        assertCatchesUp(simulation, away, stateBytes, "restarted member after " + changes);
        var newcomer = simulation.addMachine();
        assertCatchesUp(simulation, newcomer, stateBytes, "new member after " + changes);
    }

    private static void assertCatchesUp(
            ChainSimulation simulation, SimulatedMember behind, int stateBytes, String what) {
        var others = simulation.members().stream().filter(member -> member != behind).toList();
        var before = simulation.receivedBytes(behind.address());
        var othersBefore = simulation.receivedBytes(others);
        var tookUs =
                simulation.runUntil(
                        "caught up",
                        CATCH_UP_US,
                        () ->
                                simulation.isComplete()
                                        && behind.chain().committed().edition()
                                                == simulation.head().committed().edition());
        var bytes = simulation.receivedBytes(behind.address()) - before;
        var elsewhere = simulation.receivedBytes(others) - othersBefore;
        System.out.printf(
                "catch-up of a %s changes: %d ms, %d bytes of a state of %d, the others %d%n",
                what, tookUs / 1000, bytes, stateBytes, elsewhere);
        assertTrue(bytes < 3L * stateBytes, bytes + " bytes for a state of " + stateBytes);
        assertTrue(
                elsewhere < stateBytes, "who holds the state is given only its name: " + elsewhere);
    }
}
