package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import martenloom.launcher.harness.TestCluster;
import martenloom.launcher.harness.TestConfiguration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Edges that start after a zone was taken back, whose replicas may be cold. */
final class ReturnedZoneTest {
    private static final String LONG_WARMUP =
            TestConfiguration.of(3).replace("\"WarmupS\":1.0", "\"WarmupS\":20.0");

    /** Guards against a burst to cold replicas by an edge that has not seen the evacuation. */
    @Test
    void anEdgeThatStartsAfterTheReturnHoldsItsReplicasForCold(@TempDir Path dir) {
        try (var cluster =
                TestCluster.in(dir)
                        .configuration(LONG_WARMUP)
                        .replica("i-n", "model", 0)
                        .replica("i-s", "model", 1)
                        .edges(0)
                        .start()) {
            cluster.askUntil(cluster.edge(0), "replicas", "i-s");
            for (var order : new String[] {"start", "finish"}) {
                assertEquals(
                        200, cluster.control().postUntilSettled("/evacuations/south-b/" + order));
            }
            cluster.startEdge(3);
            cluster.awaitReady(3);
            for (var edge : new int[] {0, 3}) {
                var shown = cluster.askUntil(cluster.edge(edge), "replicas", "i-s");
                shown.lines()
                        .forEach(
                                line -> {
                                    if (line.startsWith("i-s")) {
                                        assertTrue(line.endsWith(" warming"), line);
                                    } else {
                                        assertFalse(line.endsWith(" warming"), line);
                                    }
                                });
            }
        }
    }
}
