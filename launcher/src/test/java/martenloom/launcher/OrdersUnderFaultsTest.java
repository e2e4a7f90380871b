package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import martenloom.launcher.harness.TestCluster;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * An operator empties zones and takes them back while core daemons are killed and frozen, one at a
 * time and in series. Many orders have a copy that arrives late: at a daemon that was frozen, or on
 * a connection that the test holds back, new or kept, its end behind its bytes. At every pause the
 * zones are as the last acknowledged orders say.
 *
 * <p>A seed gives the orders, the faults and the copies; the clocks are real. More seeds and other
 * lengths: {@code -Dorders.seed=N -Dorders.seeds=N -Dorders.rounds=N}.
 */
final class OrdersUnderFaultsTest {
    private static final int CORES = 3;
    private static final List<String> ZONES = List.of("north-a", "south-b");
    private static final int ORDERS_A_ROUND = 6;
    private static final int USUAL_ROUNDS = 3;

    /** One order in so many asks for what is so already. */
    private static final int REPETITION_ONE_IN = 4;

    /** One order in so many has no copy that is held back. */
    private static final int COPY_MISSING_ONE_IN = 4;

    private static final int CALLER_PATIENCE_MS = 1_000;
    private static final int MOST_TRIES = 40;
    private static final int LATEST_COPY_MS = 9_000;
    private static final int MOST_END_BEHIND_MS = 250;
    private static final int LONGEST_FAULT_MS = 3_000;

    @TempDir private Path dir;

    /** The zones that the last acknowledged orders left evacuated. */
    private final Set<String> evacuated = new TreeSet<>();

    private final List<CompletableFuture<Void>> lateCopies = new ArrayList<>();
    private Random random;
    private TestCluster cluster;
    private int delivered;

    @Test
    void acknowledgedOrdersHoldWhateverComesLate() throws IOException {
        var first = Integer.getInteger("orders.seed", 1);
        for (var seed = first; seed < first + Integer.getInteger("orders.seeds", 1); seed++) {
            random = new Random(seed);
            delivered = 0;
            evacuated.clear();
            try (var started = TestCluster.in(dir.resolve("seed" + seed)).start()) {
                cluster = started;
                play(seed);
            }
        }
    }

    private void play(int seed) {
        var orders = 0;
        for (var round = 0; round < Integer.getInteger("orders.rounds", USUAL_ROUNDS); round++) {
            for (var i = 0; i < ORDERS_A_ROUND; i++) {
                var fault =
                        random.nextInt(3) > 0 ? beginFault() : CompletableFuture.runAsync(() -> {});
                var zone = ZONES.get(random.nextInt(ZONES.size()));
                var reverses = random.nextInt(REPETITION_ONE_IN) > 0;
                order(zone, evacuated.contains(zone) != reverses, seed);
                orders++;
                fault.join();
            }
            lateCopies.forEach(CompletableFuture::join);
            lateCopies.clear();
            assertZones("seed " + seed + ", round " + round);
        }
        System.out.println(
                "seed " + seed + ": " + orders + " orders, " + delivered + " late copies");
    }

    private void assertZones(String when) {
        for (var core = 0; core < CORES; core++) {
            var shown = cluster.askUntil(cluster.core(core), "evacuations", this::isAsOrdered);
            assertTrue(
                    isAsOrdered(shown),
                    when + ": ordered " + evacuated + ", core " + core + " has " + shown);
        }
    }

    private boolean isAsOrdered(String shown) {
        return ZONES.stream().allMatch(zone -> shown.contains(zone) == evacuated.contains(zone));
    }

    /** Freezes or kills a daemon for a while; the future ends when it is back. */
    private CompletableFuture<Void> beginFault() {
        var core = random.nextInt(CORES);
        var freezes = random.nextBoolean();
        return cluster.interruptCore(core, freezes, random.nextInt(LONGEST_FAULT_MS));
    }

    private static Executor after(int delayMs) {
        return CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS);
    }

    /** Gives an order as an operator does, at one daemon after another until it is acknowledged. */
    private void order(String zone, boolean start, int seed) {
        var call = "POST /evacuations/" + zone + (start ? "/start" : "/finish");
        if (random.nextInt(COPY_MISSING_ONE_IN) > 0) {
            holdBackCopy(call);
        }
        var status = 0;
        for (var i = 0; i < MOST_TRIES && status != 200; i++) {
            status = tryOnce(random.nextInt(CORES), call);
        }
        assertEquals(200, status, "seed " + seed + ": " + call);
        if (start) {
            evacuated.add(zone);
        } else {
            evacuated.remove(zone);
        }
    }

    private int tryOnce(int core, String call) {
        try (var connection = cluster.control().connect(core)) {
            connection.setTimeout(CALLER_PATIENCE_MS);
            connection.send(call);
            return connection.receive().status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** A copy whose bytes reach a daemon later, over a connection that is opened now. */
    private void holdBackCopy(String call) {
        var core = random.nextInt(CORES);
        var kept = random.nextBoolean();
        var arrives = after(CALLER_PATIENCE_MS + random.nextInt(LATEST_COPY_MS));
        var endBehindMs = random.nextInt(MOST_END_BEHIND_MS);
        try {
            var connection = cluster.control().connect(core);
            if (kept) {
                connection.setTimeout(CALLER_PATIENCE_MS);
                connection.send("GET /configuration/describe");
                connection.receive();
            }
            lateCopies.add(
                    CompletableFuture.runAsync(
                            () -> {
                                try (connection) {
                                    connection.setTimeout(LATEST_COPY_MS);
                                    connection.send(call);
                                    var end = connection.endAfter(endBehindMs);
                                    connection.receive();
                                    end.join();
                                } catch (IOException e) {
                                    return; // the daemon was killed meanwhile
                                }
                            },
                            arrives));
            delivered++;
        } catch (IOException e) {
            return; // the daemon is down or frozen
        }
    }
}
