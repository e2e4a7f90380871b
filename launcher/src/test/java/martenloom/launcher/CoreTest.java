package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import martenloom.launcher.harness.StandInReplica;
import martenloom.launcher.harness.TestCluster;
import martenloom.launcher.harness.TestHttpClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The control plane as whole programs with real files: races, restarts, a wiped disk, growth,
 * drains.
 */
final class CoreTest {
    /** Thawed members agree on a view again and prove it within this time. */
    private static final long BACK_IN_CONTACT_NS = 10_000_000_000L;

    @TempDir Path dir;

    @Test
    void acknowledgedConfigurationsOutliveEverything() {
        try (var t = new TestCluster(dir, 72, 3)) {
            assertEquals(
                    200,
                    t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
            assertEquals(
                    200,
                    t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")),
                    "the same again");
            var extra =
                    "," + TestCluster.route("late", "/late/", "idempotent", "plain", 1, false, "");
            var x =
                    CompletableFuture.supplyAsync(
                            () ->
                                    t.operator(
                                                    0,
                                                    "POST /configuration/replace",
                                                    "3",
                                                    TestCluster.configuration(5, ""))
                                            .status);
            var y =
                    CompletableFuture.supplyAsync(
                            () ->
                                    t.operator(
                                                    1,
                                                    "POST /configuration/replace",
                                                    "3",
                                                    TestCluster.configuration(6, extra))
                                            .status);
            var won = (x.join() == 200 ? 1 : 0) + (y.join() == 200 ? 1 : 0);
            assertEquals(1, won, x.join() + " and " + y.join());
            var rev = x.join() == 200 ? 5 : 6;
            assertEquals(
                    400,
                    t.order(
                            "POST /configuration/replace",
                            "" + rev,
                            TestCluster.configuration(9, "").replace("8000", "0")));
            assertEquals(
                    400,
                    t.order(
                            "POST /configuration/replace",
                            "" + rev,
                            TestCluster.configuration(2, "")));
            assertEquals(
                    412,
                    t.order("POST /configuration/replace", "3", TestCluster.configuration(11, "")));
            assertEquals(
                    200,
                    t.order(
                            "POST /configuration/update",
                            "" + rev,
                            "{\"Revision\":20,\"Upsert\":{\"Routes\":["
                                    + extra.substring(1)
                                    + "]}}"));
            for (var i = 0; i < 3; i++) {
                t.kill(t.core(i));
            }
            t.startCore(0, false);
            t.wipe(1);
            t.startCore(1, false);
            assertEquals(
                    503,
                    t.operator(0, "GET /configuration/describe", "", "").status,
                    "one kept disk and a wiped one are no majority");
            t.startCore(2, false);
            assertTrue(
                    t.askUntil(t.core(1), "chain", "mode FOLLOWING").contains("FOLLOWING")
                            || t.ask(t.core(1), "chain").contains("HEADING"),
                    "the wiped one learns and serves again");
            var d = t.operator(1, "GET /configuration/describe", "", "");
            for (var i = 0; i < 50 && d.status != 200; i++) {
                d = t.operator(1, "GET /configuration/describe", "", "");
            }
            assertTrue(
                    d.body.contains("\"Revision\":20") && d.body.contains("\"late\""),
                    d.status + d.body);
        }
    }

    @Test
    void theCoreGrowsToAllItsDaemonsAndOutlivesItsHead() {
        try (var t = new TestCluster(dir, 73, 5)) {
            assertEquals(
                    200,
                    t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
            var c = t.askUntil(t.core(0), "chain", t.core(4) + "]\n");
            for (var i = 0; i < 5; i++) {
                assertTrue(c.contains(t.core(i)), c);
            }
            var head = c.replaceAll("(?s).*head (\\S+) .*", "$1");
            t.kill(head);
            var other = head.equals(t.core(1)) ? 2 : 1;
            var ok = 0;
            for (var i = 0; i < 50 && ok != 200; i++) {
                ok =
                        t.operator(
                                        other,
                                        "POST /configuration/replace",
                                        "3",
                                        TestCluster.configuration(4, ""))
                                .status;
            }
            assertEquals(200, ok);
        }
    }

    @Test
    void aDrainingReplicaGetsNothingMoreAndALateBeatIsDropped() {
        try (var t = new TestCluster(dir, 74, 3)) {
            var a = t.replica("i-a", "plain", 0);
            var b = t.replica("i-b", "plain", 0);
            t.replica("i-m", "model", 0);
            t.startEdge(0);
            assertEquals(
                    200,
                    t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
            t.awaitReady(0);
            t.mute(a);
            var late = a.beat("ready", 0);
            assertEquals(200, t.beat(a, "draining", 0));
            t.askUntil(t.edge(0), "replicas", "draining");
            TestHttpClient.call(
                    t.control(0),
                    "POST /instances/i-a/heartbeat HTTP/1.1\r\nHost: c\r\nConnection: close\r\n",
                    late);
            for (var i = 0; i < 10; i++) {
                assertEquals(
                        "seal-i-b",
                        t.request(0, "/safe/x", "d" + i, "", "").fields.get("X-Server-Seal"));
            }
            assertTrue(
                    t.ask(t.core(0), "replicas")
                            .contains("i-a plain " + a.address + " north-a draining"));
            assertEquals(0, b.ran("none"));
        }
    }

    @Test
    void aReplicaThatIsDeregisteredFirstGetsNothingMoreFromAnyEdge() {
        try (var t = new TestCluster(dir, 94, 3)) {
            var leaving = t.replica("i-a", "plain", 0);
            t.replica("i-b", "plain", 0);
            t.replica("i-m", "model", 0);
            t.startEdge(0);
            t.startEdge(1);
            assertEquals(
                    200,
                    t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
            t.awaitReady(0, 1);
            t.mute(leaving);
            assertEquals(200, t.operator(0, "POST /instances/i-a/deregister", "", "").status);
            assertEquals(200, t.operator(1, "POST /instances/i-unknown/deregister", "", "").status);
            for (var core = 0; core < 3; core++) {
                assertTrue(
                        t.askUntil(t.core(core), "replicas", "i-unknown")
                                .matches("(?s).*i-a plain \\S+ \\S+ gone.*i-unknown\\s+gone.*"),
                        t.ask(t.core(core), "replicas"));
                var late = leaving.beat("ready", 0);
                TestHttpClient.call(
                        t.control(core),
                        "POST /instances/i-a/heartbeat HTTP/1.1\r\n"
                                + "Host: c\r\n"
                                + "Connection: close\r\n",
                        late);
                TestHttpClient.call(
                        t.control(core),
                        "POST /instances/i-unknown/heartbeat HTTP/1.1\r\n"
                                + "Host: c\r\n"
                                + "Connection: close\r\n",
                        late);
            }
            for (var edge = 0; edge < 2; edge++) {
                var known = t.ask(t.edge(edge), "replicas");
                for (var i = 0; i < 200 && known.contains("i-a "); i++) {
                    known = t.ask(t.edge(edge), "replicas");
                }
                assertFalse(known.contains("i-a ") || known.contains("i-unknown"), known);
                assertEquals(
                        "seal-i-b",
                        t.request(edge, "/safe/x", "g" + edge, "", "").fields.get("X-Server-Seal"));
            }
            t.kill(t.core(2));
            t.startCore(2, false);
            assertTrue(
                    t.askUntil(t.core(2), "replicas", "i-unknown").contains("i-unknown"),
                    "known again after a restart");
        }
    }

    @Test
    void aDaemonThatReachesNoMajorityAcknowledgesNoDrain() {
        try (var t = new TestCluster(dir, 96, 3)) {
            var leaving = t.replica("i-a", "plain", 0);
            t.mute(leaving);
            assertEquals(
                    200,
                    t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
            assertEquals(200, t.beat(leaving, "ready", 0));
            assertTrue(t.askUntil(t.core(0), "chain", "head 127").contains("head 127"));
            t.freeze(t.core(1));
            t.freeze(t.core(2));
            assertEquals(503, drain(t, leaving), "nobody else knows of it");
            assertEquals(503, t.operator(0, "POST /instances/i-a/deregister", "", "").status);
            t.thaw(t.core(1));
            t.thaw(t.core(2));
            var status = 503;
            var end = System.nanoTime() + BACK_IN_CONTACT_NS;
            while (status == 503 && System.nanoTime() < end) {
                status = drain(t, leaving);
            }
            assertEquals(200, status);
            assertTrue(
                    t.ask(t.core(1), "replicas").contains("gone")
                            || t.ask(t.core(2), "replicas").contains("gone"));
        }
    }

    private static int drain(TestCluster t, StandInReplica replica) {
        var call =
                "POST /instances/"
                        + replica.id
                        + "/heartbeat HTTP/1.1\r\nHost: c\r\nConnection: close\r\n";
        return TestHttpClient.call(t.control(0), call, replica.beat("draining", 0)).status;
    }

    @Test
    void anEvacuationIsOrderedAtAnyDaemonAndOrderedAgain() {
        try (var t = new TestCluster(dir, 95, 3)) {
            assertEquals(
                    200,
                    t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
            for (var round = 0; round < 3; round++) {
                for (var core = 0; core < 3; core++) {
                    assertEquals(
                            200,
                            t.operator(core, "POST /evacuations/south-b/start", "", "").status,
                            "start at " + core + " in round " + round);
                }
                assertTrue(t.askUntil(t.core(1), "evacuations", "south-b").contains("south-b"));
                for (var core = 2; core >= 0; core--) {
                    assertEquals(
                            200,
                            t.operator(core, "POST /evacuations/south-b/finish", "", "").status,
                            "finish at " + core + " in round " + round);
                }
            }
            for (var core = 0; core < 3; core++) {
                assertEquals("", t.ask(t.core(core), "evacuations"));
            }
        }
    }

    @Test
    void lookupListsNearReadyEdgesAndEdgesServeWithoutTheCore() {
        try (var t = new TestCluster(dir, 75, 3)) {
            t.replica("i-a", "plain", 0);
            t.replica("i-m", "model", 0);
            t.startEdge(0);
            t.startEdge(1);
            assertEquals(
                    200,
                    t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
            t.awaitReady(0, 1);
            t.askUntil(t.core(1), "members", t.edge(1) + " edge1 south-b ready");
            var l =
                    t.operator(
                            1,
                            "GET /lookup?Name=cluster.example&Region=south&Zone=south-b",
                            "",
                            "");
            assertEquals("{\"Addresses\":[\"" + t.front(1) + "\"],\"TtlS\":4.0}", l.body);
            for (var i = 0; i < 3; i++) {
                t.kill(t.core(i));
            }
            assertEquals(200, t.request(0, "/safe/x", "n1", "", "").status);
            assertEquals(200, t.request(1, "/safe/x", "n2", "", "").status);
            t.mute(t.replicas.get(0));
            t.kill(t.edge(0));
            t.kill(t.edge(1));
            for (var i = 0; i < 3; i++) {
                t.startCore(i, false);
            }
            t.startEdge(0);
            t.awaitReady(0);
            assertTrue(
                    t.ask(t.edge(0), "counters").contains("edges 2"),
                    "shares are divided by the most edges ever known");
            assertEquals(
                    200,
                    t.request(0, "/safe/x", "n3", "", "").status,
                    "a replica is remembered without a new beat");
        }
    }

    @Test
    void anOverloadedRegionReportsAndOthersKeepTheState() {
        try (var t = new TestCluster(dir, 76, 3)) {
            t.replica("i-a", "plain", 0);
            var m = t.replica("i-m", "model", 0);
            t.startEdge(0);
            t.startEdge(1);
            assertEquals(
                    200,
                    t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
            t.awaitReady(0, 1);
            assertTrue(
                    t.askUntil(t.edge(0), "leases", "north/m grant 1").contains("north/m grant 1"));
            m.mode = StandInReplica.Mode.SILENT;
            var pool = Executors.newCachedThreadPool();
            for (var i = 0; i < 12; i++) {
                var id = "big" + i;
                pool.execute(
                        () ->
                                t.request(
                                        0,
                                        "/o/stream",
                                        id,
                                        "X-Model: m\r\n"
                                                + "X-Token-Usage: 30000,40\r\n"
                                                + "X-Prompt-Prefix: aa"
                                                + id
                                                + ":30000\r\n",
                                        "p"));
            }
            var o = t.askUntil(t.edge(1), "overload", "north/m ACTIVE");
            assertTrue(
                    o.contains("north/m ACTIVE")
                            && o.contains("reporter " + t.edge(0))
                            && o.contains("sequence 1.")
                            && o.contains("algorithm loss"),
                    o);
            for (var i = 0; i < 6; i++) {
                var id = "away" + i;
                pool.execute(
                        () ->
                                t.request(
                                        1,
                                        "/r/stream",
                                        id,
                                        "X-Model: m\r\nX-Token-Usage: 10,40\r\n",
                                        "p"));
            }
            var sel = t.askUntil(t.edge(1), "overload", "selected 1 ");
            assertTrue(sel.matches("(?s).*considered [1-9].*selected [1-9].*"), sel);
            pool.shutdownNow();
        }
    }

    @Test
    void aDutyHasOneHolderAndASuccessorWithAHigherGrant() {
        try (var t = new TestCluster(dir, 78, 3)) {
            t.replica("i-a", "plain", 0);
            t.replica("i-m", "model", 0);
            t.startEdge(0);
            t.startEdge(3);
            assertEquals(
                    200,
                    t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
            t.awaitReady(0, 3);
            var l = t.askUntil(t.core(0), "leases", "north/m grant 1");
            var holder = l.replaceAll("(?s).*north/m grant 1 holder ([0-9.]+)#.*", "$1");
            var other = holder.equals(t.edge(0)) ? t.edge(3) : t.edge(0);
            assertTrue(t.askUntil(holder, "leases", "north/m grant 1").contains("north/m grant 1"));
            assertFalse(
                    t.ask(other, "leases").contains("north/m"), "the other claimant has nothing");
            t.kill(holder);
            assertTrue(t.askUntil(other, "leases", "north/m grant 2").contains("north/m grant 2"));
            for (var i = 0; i < 3; i++) {
                t.kill(t.core(i));
            }
            assertTrue(
                    t.askUntil(other, "leases", "left 0 ms").contains("left 0 ms"),
                    "without the core the lease ends");
        }
    }

    @Test
    void aLeavingEdgeFinishesWhatItHasAndIsLookedUpNoMore() throws Exception {
        try (var t = new TestCluster(dir, 79, 3)) {
            var a = t.replica("i-a", "plain", 0);
            t.replica("i-m", "model", 0);
            var n = t.startEdge(0);
            t.startEdge(3);
            assertEquals(
                    200,
                    t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
            t.awaitReady(0, 3);
            t.askUntil(t.core(0), "members", t.edge(3) + " edge3 north-a ready");
            a.workMs = 1200;
            var in = CompletableFuture.supplyAsync(() -> t.request(0, "/once/x", "inhand", "", ""));
            t.askUntil(t.edge(0), "counters", "in-hand 1");
            var gone = CompletableFuture.runAsync(n::shutDown);
            t.askUntil(t.core(0), "members", "leaving");
            var l =
                    t.operator(
                            0,
                            "GET /lookup?Name=cluster.example&Region=north&Zone=north-a",
                            "",
                            "");
            assertEquals("{\"Addresses\":[\"" + t.front(3) + "\"],\"TtlS\":4.0}", l.body);
            assertEquals(200, in.join().status);
            assertEquals(
                    503,
                    TestHttpClient.call(
                                    t.edge(0) + ":" + TestCluster.READY,
                                    "GET /readyz HTTP/1.1\r\nHost: e\r\nConnection: close\r\n",
                                    "")
                            .status);
            gone.get(10, TimeUnit.SECONDS);
        }
    }
}
