package martenloom.core.chain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import martenloom.core.state.CoreState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Storms over the chain and its view: a seeded world with delays, drops, cuts, crashes in the
 * middle of a sync, and one wiped disk at a time. Whatever was acknowledged must be there in the
 * end, a base has one winner, and two views never both acknowledge.
 */
final class ChainStormTest {
    private static final int N = 5;

    private record Mail(long at, int n, String from, String to, byte[] record) {}

    private static final class Node {
        final String ip;
        Optional<ChainCore.MemberState> disk = Optional.empty();
        Optional<ChainCore> core = Optional.empty();
        Optional<ChainCore.Store> syncing = Optional.empty();
        long syncedAt;
        long upAt;

        Node(String ip) {
            this.ip = ip;
        }
    }

    private static final class World {
        final Random rnd;
        final Map<String, Node> nodes = new TreeMap<>();
        final PriorityQueue<Mail> mails =
                new PriorityQueue<>(
                        Comparator.<Mail>comparingLong(m -> m.at).thenComparingInt(m -> m.n));
        final Set<String> cut = new HashSet<>();
        final Map<Long, CoreState.Change> asked = new HashMap<>();
        final Map<Long, String> acked = new TreeMap<>();
        final Map<Long, Long> winners = new HashMap<>();
        long now = 1_000_000;
        int mailN;
        long request;
        double drop;
        boolean slow = true;
        int bodies;
        String wiped = "";

        World(long seed) {
            rnd = new Random(seed);
            for (var i = 0; i < N; i++) {
                nodes.put("10.0.0." + i, new Node("10.0.0." + i));
            }
            var seeds = List.copyOf(nodes.keySet()).subList(0, 3);
            seeds.forEach(
                    s ->
                            nodes.get(s).disk =
                                    Optional.of(
                                            new ChainCore.MemberState(
                                                    ChainCore.Ballot.ZERO,
                                                    ChainCore.Ballot.ZERO,
                                                    CoreState.founded(seeds))));
            nodes.values().forEach(this::boot);
        }

        void boot(Node n) {
            n.core =
                    Optional.of(
                            new ChainCore(
                                    n.ip, rnd.nextLong(), n.disk, Comparator.naturalOrder(), now));
            n.core.get().onKnown(nodes.keySet().stream().filter(x -> !x.equals(n.ip)).toList());
        }

        void crash(Node n, boolean wipe) {
            if (n.syncing.isPresent() && rnd.nextBoolean()) {
                n.disk = Optional.of(n.syncing.get().memberState());
            }
            n.syncing = Optional.empty();
            n.core = Optional.empty();
            n.upAt = now + 300_000 + rnd.nextInt(2_000_000);
            if (wipe) {
                n.disk = Optional.empty();
                wiped = n.ip;
            }
        }

        void carryOut(Node n) {
            for (var l = n.core.get().drain(); !l.isEmpty(); l = n.core.get().drain()) {
                for (var c : l) {
                    if (c instanceof ChainCore.Send s && nodes.containsKey(s.to())) {
                        post(n.ip, s);
                    } else if (c instanceof ChainCore.Store s) {
                        n.syncing = Optional.of(s);
                        n.syncedAt =
                                now
                                        + 1000
                                        + rnd.nextInt(
                                                slow && rnd.nextInt(40) == 0 ? 3_000_000 : 5000);
                    } else if (c instanceof ChainCore.Answer a
                            && a.request() >= 0
                            && a.status() == 200) {
                        answered(a.request());
                    }
                }
            }
        }

        void post(String from, ChainCore.Send s) {
            if (rnd.nextDouble() < drop || cut.contains(from + ">" + s.to())) {
                return;
            }
            mails.add(
                    new Mail(
                            now + 500 + rnd.nextInt(rnd.nextInt(20) == 0 ? 400_000 : 40_000),
                            mailN++,
                            from,
                            s.to(),
                            s.record()));
        }

        void answered(long request) {
            var c = asked.get(request);
            if (c.act != CoreState.Act.REPLACE) {
                return;
            }
            var before = Optional.ofNullable(acked.put(c.base + 1, c.body));
            assertTrue(
                    before.isEmpty() || before.get().equals(c.body),
                    "two changes on base " + c.base + " were both acknowledged");
        }

        void ask() {
            var l =
                    nodes.values().stream()
                            .filter(n -> n.core.isPresent() && n.core.get().heading())
                            .toList();
            if (l.isEmpty()) {
                return;
            }
            var n = l.get(rnd.nextInt(l.size()));
            var base = n.core.get().committed().revision;
            var c =
                    new CoreState.Change(
                            CoreState.Act.REPLACE,
                            base,
                            "",
                            "{\"Revision\":"
                                    + (base + 1)
                                    + ",\"Routes\":[],\"Backends\":[],\"Note\":"
                                    + bodies++
                                    + "}");
            asked.put(++request, c);
            n.core.get().onAsk(now, request, c);
            carryOut(n);
        }

        void step() {
            now += 5_000;
            while (!mails.isEmpty() && mails.peek().at <= now) {
                var m = mails.poll();
                var n = nodes.get(m.to);
                if (n.core.isPresent() && !cut.contains(m.from + ">" + m.to)) {
                    n.core.get().onRecord(now, m.from, m.record);
                    carryOut(n);
                }
            }
            for (var n : nodes.values()) {
                if (n.core.isEmpty() && now >= n.upAt) {
                    boot(n);
                }
                if (n.core.isPresent() && n.syncing.isPresent() && now >= n.syncedAt) {
                    var s = n.syncing.get();
                    n.syncing = Optional.empty();
                    n.disk = Optional.of(s.memberState());
                    n.core.get().onStored(now, s.token());
                    carryOut(n);
                }
                if (n.core.isPresent() && now % 50_000 == 0) {
                    n.core.get().onTick(now);
                    carryOut(n);
                }
            }
            if (!wiped.isEmpty()
                    && nodes.get(wiped).core.isPresent()
                    && nodes.get(wiped).core.get().mode() != ChainCore.Mode.LEARNING) {
                wiped = "";
            }
        }

        void trouble() {
            var ips = List.copyOf(nodes.keySet());
            var n = nodes.get(ips.get(rnd.nextInt(N)));
            switch (rnd.nextInt(6)) {
                case 0 -> {
                    if (n.core.isPresent()) {
                        crash(
                                n,
                                wiped.isEmpty()
                                        && rnd.nextBoolean()
                                        && nodes.values().stream()
                                                .allMatch(
                                                        x ->
                                                                x.core.isPresent()
                                                                        && x.core.get().mode()
                                                                                != ChainCore.Mode
                                                                                        .LEARNING));
                    }
                }
                case 1 -> {
                    for (var x : ips) {
                        cut.add(n.ip + ">" + x);
                        if (rnd.nextBoolean()) {
                            cut.add(x + ">" + n.ip);
                        }
                    }
                }
                case 2 -> cut.clear();
                case 3 -> drop = rnd.nextDouble() * 0.2;
                case 4 ->
                        nodes.values()
                                .forEach(
                                        x -> {
                                            if (x.core.isPresent() && rnd.nextInt(3) > 0) {
                                                crash(x, false);
                                            }
                                        });
                default -> drop = 0;
            }
        }

        boolean grown() {
            return nodes.values().stream()
                    .anyMatch(
                            n ->
                                    n.core.isPresent()
                                            && n.core.get().heading()
                                            && n.core.get().committed().roster.size() == N);
        }

        ChainCore head() {
            return nodes.values().stream()
                    .flatMap(n -> n.core.stream())
                    .filter(ChainCore::heading)
                    .findFirst()
                    .orElseThrow();
        }

        void heal() {
            cut.clear();
            drop = 0;
            slow = false;
        }
    }

    @Test
    void aMemberCutOffKnowsThatItIsStale() {
        var w = new World(99);
        for (var i = 0; i < 8000 && !w.grown(); i++) {
            w.step();
        }
        var n = w.nodes.values().stream().filter(x -> !x.core.get().heading()).findFirst().get();
        for (var x : w.nodes.keySet()) {
            w.cut.add(n.ip + ">" + x);
            w.cut.add(x + ">" + n.ip);
        }
        var t0 = w.now;
        while (w.now < t0 + 6_000_000) {
            w.step();
            assertTrue(
                    n.core.get().staleUs(w.now) > w.now - t0 - 500_000,
                    "bidding in vain is not news");
        }
    }

    /**
     * Two daemons that are long gone: while four must stay nobody is taken off; when three are
     * enough, both are, one by one.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aMemberLongGoneIsTakenOffOneAtATimeAndNeverBelowWhatIsNeeded(long seed) {
        var w = new World(seed);
        for (var i = 0; i < 8000 && !w.grown(); i++) {
            w.step();
        }
        w.heal();
        for (var i = 0; i < 2000; i++) {
            w.step();
        }
        assertTrue(
                w.nodes.values().stream()
                        .noneMatch(n -> n.core.get().mode() == ChainCore.Mode.LEARNING),
                "who is new has learned");
        w.nodes.values().forEach(n -> n.core.get().onLeastRoster(4));
        var gone = w.nodes.values().stream().filter(x -> !x.core.get().heading()).limit(2).toList();
        gone.forEach(
                n -> {
                    w.crash(n, false);
                    n.upAt = Long.MAX_VALUE;
                });
        var t0 = w.now;
        while (w.now < t0 + ChainCore.GONE_US - 5_000_000) {
            w.step();
        }
        assertEquals(N, w.head().committed().roster.size(), "not before its time");
        while (w.now < t0 + 2 * ChainCore.GONE_US) {
            w.step();
        }
        assertEquals(
                N, w.head().committed().roster.size(), "three in the chain are fewer than four");
        w.nodes.values().forEach(n -> n.core.ifPresent(c -> c.onLeastRoster(3)));
        while (w.now < t0 + 4 * ChainCore.GONE_US) {
            w.step();
        }
        var r = w.head().committed().roster;
        assertEquals(3, r.size(), "both are taken off, one after the other");
        assertTrue(gone.stream().noneMatch(n -> r.contains(n.ip)));
        gone.forEach(n -> n.upAt = w.now);
        for (var i = 0; i < 4000 && !w.grown(); i++) {
            w.step();
        }
        assertTrue(w.grown(), "who comes back is enrolled again");
        var before = w.acked.size();
        for (var i = 0; i < 1000 && w.acked.size() == before; i++) {
            if (i % 200 == 0) {
                w.ask();
            }
            w.step();
        }
        assertTrue(w.acked.size() > before);
    }

    @ParameterizedTest
    @ValueSource(
            longs = {
                1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23,
                24
            })
    void whatWasAcknowledgedStays(long seed) {
        var w = new World(seed);
        for (var i = 0; i < 8000 && !w.grown(); i++) {
            w.step();
        }
        assertTrue(w.grown(), "the core grows to all its daemons");
        for (var i = 0; i < 12_000; i++) {
            w.step();
            if (w.rnd.nextInt(20) == 0) {
                w.ask();
            }
            if (w.rnd.nextInt(200) == 0) {
                w.trouble();
            }
        }
        w.heal();
        for (var i = 0; i < 3000; i++) {
            w.step();
        }
        var heads =
                w.nodes.values().stream()
                        .filter(n -> n.core.isPresent() && n.core.get().heading())
                        .toList();
        assertEquals(1, heads.size(), "one head when calm");
        var s = heads.get(0).core.get().committed();
        assertFalse(w.acked.isEmpty(), "something was acknowledged");
        var newest = Collections.max(w.acked.keySet());
        assertTrue(
                s.revision >= newest,
                "revision " + s.revision + " is behind the acknowledged " + newest);
        if (s.revision == newest) {
            assertEquals(w.acked.get(newest), s.json);
        }
        w.nodes
                .values()
                .forEach(
                        n ->
                                assertEquals(
                                        s.revision,
                                        n.core.get().committed().revision,
                                        "all members know the newest"));
        var many = w.acked.size();
        for (var i = 0; i < 1000 && w.acked.size() == many; i++) {
            if (i % 200 == 0) {
                w.ask();
            }
            w.step();
        }
        assertTrue(w.acked.size() > many, "a calm chain acknowledges");
    }
}
