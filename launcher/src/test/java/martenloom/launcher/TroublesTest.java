package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import martenloom.launcher.harness.StandInReplica;
import martenloom.launcher.harness.TestCluster;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Replicas that fail in part while they say that they are well, that forget idle connections, and
 * disks that refuse.
 */
final class TroublesTest {
    @TempDir Path dir;

    private static int ran(StandInReplica r, String prefix) {
        return (int) r.heads.keySet().stream().filter(k -> k.startsWith(prefix)).count();
    }

    @Test
    void aReplicaThatFailsForSomeCallersIsPutAsideByRealAnswersAndComesBack() {
        try (var t = new TestCluster(dir, 81, 3)) {
            var all =
                    List.of(
                            t.replica("i-a", "plain", 0),
                            t.replica("i-b", "plain", 0),
                            t.replica("i-c", "plain", 0));
            t.replica("i-m", "model", 0);
            t.startEdge(0);
            assertEquals(
                    200,
                    t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
            t.awaitReady(0);
            t.askUntil(t.edge(0), "replicas", "i-c");
            for (var i = 0; i < 20; i++) {
                assertEquals(200, t.request(0, "/safe/x", "w" + i, "", "").status);
            }
            var ill = all.stream().max(Comparator.comparingInt(StandInReplica::ranAll)).get();
            ill.mode = StandInReplica.Mode.FLAKY;
            ill.fails = a -> a.startsWith("some");
            var failed = 0;
            for (var i = 0; i < 40; i++) {
                failed += t.request(0, "/once/x", "some" + i, "", "").status == 200 ? 0 : 1;
            }
            assertTrue(failed >= 3 && failed < 12, failed + " of 40 failed before it was ejected");
            assertTrue(t.ask(t.edge(0), "log").contains("replica " + ill.id + " is ejected"));
            assertTrue(ran(ill, "some") < 12);
            ill.mode = StandInReplica.Mode.WELL;
            all.stream().filter(r -> r != ill).forEach(r -> r.mode = StandInReplica.Mode.NOT_RUN);
            var back = false;
            for (var i = 0; i < 20_000 && !back; i++) {
                back = t.request(0, "/safe/x", "back" + i, "", "").status == 200;
            }
            assertTrue(back, "it comes back");
            for (var r : all) {
                r.mode = StandInReplica.Mode.FLAKY;
                r.fails = a -> a.startsWith("all");
            }
            for (var i = 0; i < 30; i++) {
                t.request(0, "/once/x", "all" + i, "", "");
            }
            assertEquals(
                    30,
                    all.stream().mapToInt(r -> ran(r, "all")).sum(),
                    "never are all of them ejected");
        }
    }

    @Test
    void aForgottenConnectionIsNoReasonToRunTwice() {
        try (var t = new TestCluster(dir, 82, 3)) {
            var a = t.replica("i-a", "plain", 0);
            t.replica("i-m", "model", 0);
            t.startEdge(0);
            assertEquals(
                    200,
                    t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
            t.awaitReady(0);
            assertEquals(200, t.request(0, "/safe/x", "f0", "", "").status);
            a.mode = StandInReplica.Mode.FORGETS;
            assertEquals(
                    502,
                    t.request(0, "/once/x", "f1", "", "").status,
                    "it went out on a connection used just now and may have run");
            assertEquals(0, a.ran("f1"));
            assertEquals(200, t.request(0, "/safe/x", "f2", "", "").status);
            var r = t.request(0, "/safe/x", "f3", "", "");
            assertEquals(200, r.status, "what may be repeated is sent again");
            assertEquals(1, a.ran("f3"));
            for (var i = 0; i < 10; i++) {
                var x = t.request(0, "/once/x", "g" + i, "", "");
                assertTrue(a.ran("g" + i) <= 1 && (x.status == 200) == (a.ran("g" + i) == 1));
            }
        }
    }

    @Test
    void aRefusalThatComesTwiceIsNotTakenForTheAnswerToTheNextSend() {
        try (var t = new TestCluster(dir, 84, 3)) {
            var a = t.replica("i-a", "plain", 0);
            t.replica("i-m", "model", 0);
            t.startEdge(0);
            assertEquals(
                    200,
                    t.order(
                            "POST /configuration/replace",
                            "0",
                            TestCluster.configuration(
                                    3,
                                    ","
                                            + TestCluster.route(
                                                    "thrice",
                                                    "/thrice/",
                                                    "non_idempotent",
                                                    "plain",
                                                    3,
                                                    false,
                                                    ""))));
            t.awaitReady(0);
            a.mode = StandInReplica.Mode.REFUSAL_TWICE;
            for (var i = 0; i < 5; i++) {
                assertEquals(200, t.request(0, "/thrice/x", "d" + i, "", "").status);
                assertEquals(1, a.ran("d" + i));
            }
        }
    }

    @Test
    void aMemberWhoseDiskIsFullStepsAsideAndComesBack() {
        try (var t = new TestCluster(dir, 83, 3)) {
            assertEquals(
                    200,
                    t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
            var head =
                    t.askUntil(t.core(0), "chain", "head 127")
                            .replaceAll("(?s).*head (\\S+) .*", "$1");
            var i = head.equals(t.core(0)) ? 0 : head.equals(t.core(1)) ? 1 : 2;
            t.fullDisks.add(i);
            assertEquals(
                    200,
                    t.order("POST /configuration/replace", "3", TestCluster.configuration(5, "")),
                    "the others go on");
            var other = t.core((i + 1) % 3);
            var c = t.ask(other, "chain");
            assertFalse(
                    c.replaceAll("(?s).*chain \\[(.*?)\\].*", "$1").contains(head),
                    "no acknowledgement by way of a disk that refuses: " + c);
            t.fullDisks.remove(i);
            assertTrue(t.askUntil(head, "chain", "mode FOLLOWING").contains("mode FOLLOWING"));
            assertTrue(t.askUntil(head, "configuration", "revision 5").contains("revision 5"));
        }
    }
}
