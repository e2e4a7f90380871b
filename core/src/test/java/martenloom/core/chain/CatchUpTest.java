package martenloom.core.chain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A member that was away while many changes were made, and a new one, are level in time, and with
 * one state's bytes.
 */
final class CatchUpTest {
    private static final long CATCH_UP_US = 4_000_000;
    private static final int ROUTES = 2000;

    private static String route(int i) {
        return "{\"Name\":\"r"
                + i
                + "\",\"Hostname\":\"cluster.example\",\"PathPrefix\":\"/"
                + i
                + "/\",\"RouteType\":\"idempotent\",\"TimeoutMs\":8000,\"TargetLatencyMs\":2000,"
                + "\"Priority\":0,\"Backend\":\"plain\",\"MaxAttempts\":2,\"SessionAffinity\":false,\"Resumable\":false,\"TargetGapMs\":800,\"AllowedRegions\":[]}";
    }

    private static long change(ChainWorld w, String routes) {
        var before = w.acked.size();
        w.ask(routes);
        return w.until("acknowledged", 5_000_000, () -> w.acked.size() > before);
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 300, 3000})
    void aMemberIsLevelInTimeAfterAnyNumberOfChanges(int changes) {
        var w = new ChainWorld(changes, 3, 3);
        w.slow = false;
        w.until("one head", 5_000_000, w::whole);
        var away =
                w.nodes.values().stream()
                        .filter(n -> !n.core.get().isHead())
                        .findFirst()
                        .orElseThrow();
        w.crash(away, false);
        away.upAt = ChainWorld.NEVER;
        w.untilAcknowledged(5_000_000);
        w.run(2_000_000);
        for (var i = 2; i < changes; i++) {
            change(w, "");
        }
        change(
                w,
                IntStream.range(0, ROUTES)
                        .mapToObj(CatchUpTest::route)
                        .collect(Collectors.joining(",")));
        var state = w.head().committed();
        assertEquals(
                ROUTES,
                state.configuration().routingText().lines().filter(l -> l.contains("/")).count()
                                >= ROUTES
                        ? ROUTES
                        : 0,
                "all routes are in it");
        var size = state.bytes().length;
        away.upAt = w.now;
        level(w, away, "restarted", changes, size);
        level(w, w.addMachine(), "new", changes, size);
    }

    private static void level(ChainWorld w, ChainWorld.Node n, String kind, int changes, int size) {
        var before = w.receivedBytes.getOrDefault(n.ip, 0L);
        var others =
                w.nodes.values().stream()
                        .filter(x -> x != n)
                        .mapToLong(x -> w.receivedBytes.getOrDefault(x.ip, 0L))
                        .sum();
        var took =
                w.until(
                        "level",
                        CATCH_UP_US,
                        () ->
                                w.whole()
                                        && n.core.get().committed().edition()
                                                == w.head().committed().edition());
        var bytes = w.receivedBytes.get(n.ip) - before;
        var elsewhere =
                w.nodes.values().stream()
                                .filter(x -> x != n)
                                .mapToLong(x -> w.receivedBytes.get(x.ip))
                                .sum()
                        - others;
        System.out.println(
                "catch-up of a "
                        + kind
                        + " member after "
                        + changes
                        + " changes: "
                        + took / 1000
                        + " ms, "
                        + bytes
                        + " bytes of a state of "
                        + size
                        + ", the others "
                        + elsewhere);
        assertTrue(bytes < 3L * size, bytes + " bytes for a state of " + size);
        assertTrue(elsewhere < size, "who holds the state is given only its name: " + elsewhere);
    }
}
