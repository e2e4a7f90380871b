package martenloom.core.tally;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import martenloom.common.codec.RecordReader;
import martenloom.common.fleet.RecordType;

/**
 * Tallies at several daemons on one thread: a network with delays and cuts, disks that lose what
 * was not synced, and callers that send the same add to one daemon after another. Notes what was
 * sent and acknowledged, and checks every total against it. The seed determines all.
 */
final class TallySimulation {
    static final int MERGE_MS = 3_000;
    private static final int ZONES = 6;
    private static final int REGIONS = 3;
    private static final int CALLER_PATIENCE_MS = 1_000;
    private static final int TRIES = 4;
    private static final int MOST_DELAY_MS = 35;
    private static final int TICK_MS = 50;

    /** So few adds to a tally that one that is lost cannot hide behind others. */
    private static final int ADDS_OF_TALLY = 5;

    private final Random random;
    private final CopyRequirement requirement;
    private final Mutant mutant;
    private final Map<String, Node> nodes = new TreeMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Set<String> cutLinks = new HashSet<>();
    private final Map<String, Long> lastDelivery = new HashMap<>();

    /** What may count, and what was acknowledged with the time of it. */
    private final Map<String, Integer> possible = new HashMap<>();

    private final Map<String, Long> acknowledged = new HashMap<>();
    private long nowMs;
    private long eventsMade;
    private long lastTroubleMs;
    private int adds;

    /** A fault put in by hand, as it would show at the daemons. */
    enum Mutant {
        NONE,

        /** A write is reported before it is synced. */
        REPORTED_BEFORE_SYNC,

        /** An id that was taken some seconds ago is not known any more. */
        ID_FORGOTTEN,

        /** Adds of another daemon count beside the own ones of the same id. */
        SUMS_ADDED
    }

    private record Event(long atMs, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMs != other.atMs
                    ? Long.compare(atMs, other.atMs)
                    : Long.compare(number, other.number);
        }
    }

    /** One daemon with its disk; a new {@link TallyReplica} for each of its lives. */
    private final class Node implements TallyTransport, TallyStorage {
        private final String ip;
        private final Location location;
        private List<byte[]> durable = new ArrayList<>();
        private List<byte[]> unsynced = new ArrayList<>();
        private final Set<String> acknowledgedInCut = new HashSet<>();
        private final Map<String, Integer> acknowledgedInThisLife = new HashMap<>();
        private TallyReplica replica;
        private int life;
        private boolean up;

        Node(int number) {
            ip = "n" + number;
            var zone = number % ZONES;
            location = new Location("z" + zone, "r" + zone % REGIONS);
        }

        void start() {
            up = true;
            life++;
            acknowledgedInThisLife.clear();
            replica =
                    new TallyReplica(
                            location,
                            requirement,
                            Long.MAX_VALUE / 4,
                            this,
                            this,
                            random::nextLong);
            replica.open(List.copyOf(durable));
            repeat(life, (int) (TallyReplica.ROUND_US / 1000), now -> replica.onRound(now));
            repeat(life, TICK_MS, now -> replica.tick(now));
        }

        private void repeat(int inLife, int pauseMs, Consumer<Long> task) {
            if (up && life == inLife) {
                task.accept(nowMs * 1000);
                after(pauseMs, () -> repeat(inLife, pauseMs, task));
            }
        }

        void losePower() {
            up = false;
            unsynced.forEach(payload -> keepByChance(payload));
            unsynced = new ArrayList<>();
        }

        private void keepByChance(byte[] payload) {
            if (mutant != Mutant.REPORTED_BEFORE_SYNC && random.nextBoolean()) {
                durable.add(payload);
            }
        }

        /** The disk is empty; what was acknowledged here in an unfinished cut is not owed. */
        void loseDisk(boolean wasSettled) {
            durable = new ArrayList<>();
            unsynced = new ArrayList<>();
            if (!wasSettled) {
                acknowledgedInCut.forEach(acknowledged::remove);
            }
            acknowledgedInCut.clear();
        }

        @Override
        public Set<String> peers() {
            var peers = new TreeSet<>(nodes.keySet());
            peers.remove(ip);
            return peers;
        }

        @Override
        public void send(String to, byte[] record) {
            var link = ip + ">" + to;
            var atMs = nowMs + 1 + random.nextInt(MOST_DELAY_MS);
            var inOrderMs = Math.max(atMs, lastDelivery.getOrDefault(link, 0L));
            lastDelivery.put(link, inOrderMs);
            at(inOrderMs, () -> nodes.get(to).receive(ip, link, record));
        }

        private void receive(String from, String link, byte[] record) {
            if (up && nodes.get(from).up && !cutLinks.contains(link)) {
                replica.onRecord(from, new RecordReader(mutated(record), true));
            }
        }

        @Override
        public void rewrite(List<byte[]> payloads, Runnable done) {
            after(
                    2,
                    inThisLife(
                            () -> {
                                durable = new ArrayList<>(payloads);
                                unsynced = new ArrayList<>();
                                done.run();
                            }));
        }

        @Override
        public void append(byte[] payload, Consumer<Boolean> done) {
            unsynced.add(payload);
            if (mutant == Mutant.REPORTED_BEFORE_SYNC) {
                after(1, inThisLife(() -> done.accept(true)));
                after(MERGE_MS, inThisLife(() -> sync(payload)));
            } else {
                after(
                        1 + random.nextInt(3),
                        inThisLife(
                                () -> {
                                    sync(payload);
                                    done.accept(true);
                                }));
            }
        }

        private void sync(byte[] payload) {
            unsynced.remove(payload);
            durable.add(payload);
        }

        private Runnable inThisLife(Runnable action) {
            var inLife = life;
            return () -> {
                if (up && life == inLife) {
                    action.run();
                }
            };
        }
    }

    TallySimulation(long seed, int count, CopyRequirement requirement, Mutant mutant) {
        random = new Random(seed);
        this.requirement = requirement;
        this.mutant = mutant;
        for (var i = 0; i < count; i++) {
            var node = new Node(i);
            nodes.put(node.ip, node);
        }
        nodes.values().forEach(Node::start);
    }

    private byte[] mutated(byte[] record) {
        if (mutant != Mutant.SUMS_ADDED || record[0] != RecordType.TALLY_ADDS) {
            return record;
        }
        var batch = AddBatch.read(new RecordReader(record, true));
        var renamed = batch.adds().stream().map(add -> ofOrigin(add, batch.origin())).toList();
        return new TallyMessage.Adds(new AddBatch(batch.origin(), batch.first(), renamed)).encode();
    }

    private static TallyAdd ofOrigin(TallyAdd add, long origin) {
        return new TallyAdd(add.name(), add.id() + "@" + origin, add.change());
    }

    private String idAsKnown(String id) {
        return mutant == Mutant.ID_FORGOTTEN ? id + "/" + nowMs / MERGE_MS : id;
    }

    private boolean isSettled() {
        return cutLinks.isEmpty() && nowMs - lastTroubleMs > MERGE_MS;
    }

    private void at(long atMs, Runnable action) {
        events.add(new Event(atMs, eventsMade++, action));
    }

    private void after(long delayMs, Runnable action) {
        at(nowMs + delayMs, action);
    }

    /** Plays on until this time. */
    void playUntil(long untilMs) {
        while (!events.isEmpty() && events.peek().atMs <= untilMs) {
            var event = events.poll();
            nowMs = event.atMs;
            event.action.run();
        }
        nowMs = untilMs;
    }

    long nowMs() {
        return nowMs;
    }

    // ---- callers

    /** Adds at daemons chosen at random, and reads, until this time. */
    void callUntil(long untilMs, int pauseMs) {
        for (var atMs = nowMs; atMs < untilMs; atMs += pauseMs) {
            at(atMs, this::addSomewhere);
            at(atMs, () -> read(someNode()));
        }
    }

    private void addSomewhere() {
        tryToAdd("a" + adds++, 1 + random.nextInt(9), TRIES);
    }

    private void tryToAdd(String id, int change, int triesLeft) {
        if (triesLeft == 0) {
            return;
        }
        var node = someNode();
        var answered = new boolean[1];
        Runnable again =
                () -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        tryToAdd(id, change, triesLeft - 1);
                    }
                };
        after(CALLER_PATIENCE_MS, again);
        if (!node.up) {
            return;
        }
        var life = node.life;
        possible.put(id, change);
        node.replica.add(
                tallyOf(id),
                idAsKnown(id),
                change,
                outcome -> {
                    if (outcome == AddOutcome.COUNTED && node.life == life) {
                        answered[0] = true;
                        acknowledged.putIfAbsent(id, nowMs);
                        node.acknowledgedInThisLife.put(id, change);
                        if (!isSettled()) {
                            node.acknowledgedInCut.add(id);
                        }
                    } else {
                        after(1, again);
                    }
                });
    }

    private static String tallyOf(String id) {
        return "t" + Integer.parseInt(id.substring(1)) / ADDS_OF_TALLY;
    }

    /** The ids of adds to a tally. */
    private Set<String> of(String tally, Set<String> ids) {
        var ofTally = new HashSet<String>();
        var first = Integer.parseInt(tally.substring(1)) * ADDS_OF_TALLY;
        for (var number = first; number < first + ADDS_OF_TALLY; number++) {
            if (ids.contains("a" + number)) {
                ofTally.add("a" + number);
            }
        }
        return ofTally;
    }

    private Node someNode() {
        return List.copyOf(nodes.values()).get(random.nextInt(nodes.size()));
    }

    private void read(Node node) {
        if (!node.up || adds == 0) {
            return;
        }
        var tally = tallyOf("a" + random.nextInt(adds));
        node.replica.total(tally).ifPresent(total -> check(node, tally, total));
    }

    private void check(Node node, String tally, long total) {
        check(total <= sum(of(tally, possible.keySet())), node, tally + " is too high");
        var own = sum(of(tally, node.acknowledgedInThisLife.keySet()));
        check(total >= own, node, total + " lacks own adds of " + own);
        if (isSettled()) {
            var owed = sum(of(tally, acknowledgedBefore(nowMs - MERGE_MS)));
            check(total >= owed, node, tally + " is " + total + " and lacks adds of " + owed);
        }
    }

    private long sum(Set<String> ids) {
        return ids.stream().mapToLong(possible::get).sum();
    }

    private Set<String> acknowledgedBefore(long timeMs) {
        var ids = new HashSet<String>();
        acknowledged.forEach(
                (id, atMs) -> {
                    if (atMs <= timeMs) {
                        ids.add(id);
                    }
                });
        return ids;
    }

    private void check(boolean holds, Node node, String what) {
        if (!holds) {
            throw new AssertionError(
                    "at " + nowMs + " ms " + node.ip + " " + what + "\n" + node.replica.report());
        }
    }

    /** All adds that were acknowledged are there at all daemons, which have the same totals. */
    void checkEnd() {
        for (var first = 0; first < adds; first += ADDS_OF_TALLY) {
            var tally = tallyOf("a" + first);
            var totals = new HashSet<Long>();
            for (var node : nodes.values()) {
                var total = node.replica.total(tally);
                check(total.isPresent(), node, "tells no total");
                totals.add(total.getAsLong());
                var owed = sum(of(tally, acknowledged.keySet()));
                check(total.getAsLong() >= owed, node, tally + " lacks some of " + owed);
                var most = sum(of(tally, possible.keySet()));
                check(total.getAsLong() <= most, node, tally + " is too high");
            }
            if (totals.size() != 1) {
                throw new AssertionError("the daemons differ in " + tally + ": " + totals);
            }
        }
    }

    int acknowledgedAdds() {
        return acknowledged.size();
    }

    // ---- faults

    private void trouble() {
        lastTroubleMs = nowMs;
    }

    /**
     * Cuts one zone or one region from the others, both ways or one way, or two from each other.
     */
    void cut() {
        if (isSettled()) {
            nodes.values().forEach(node -> node.acknowledgedInCut.clear());
        }
        trouble();
        var domain = random.nextInt(3);
        var first = someNode().location;
        var second = someNode().location;
        var oneWay = random.nextInt(4) == 0;
        for (var from : nodes.values()) {
            for (var to : nodes.values()) {
                var out = isCut(domain, first, second, from.location, to.location);
                var back = isCut(domain, first, second, to.location, from.location);
                if (out || back && !oneWay) {
                    cutLinks.add(from.ip + ">" + to.ip);
                }
            }
        }
    }

    private static boolean isCut(
            int domain, Location first, Location second, Location from, Location to) {
        return switch (domain) {
            case 0 -> from.zone().equals(first.zone()) && !to.zone().equals(first.zone());
            case 1 -> from.region().equals(first.region()) && !to.region().equals(first.region());
            default ->
                    from.zone().equals(first.zone())
                            && to.zone().equals(second.zone())
                            && !first.zone().equals(second.zone());
        };
    }

    void heal() {
        trouble();
        cutLinks.clear();
    }

    /** A part of the links pass again, each in one way. */
    void healSome() {
        trouble();
        cutLinks.removeIf(link -> random.nextInt(3) == 0);
    }

    /** A daemon is replaced by one with an empty disk. */
    void replace() {
        var node = someNode();
        if (node.up) {
            var wasSettled = isSettled();
            trouble();
            node.losePower();
            node.loseDisk(wasSettled);
            after(500 + random.nextInt(2_000), () -> back(node));
        }
    }

    /** One daemon, or all, lose power and come back. */
    void losePower(boolean all, int downMs) {
        trouble();
        var chosen = all ? List.copyOf(nodes.values()) : List.of(someNode());
        for (var node : chosen) {
            if (node.up) {
                node.losePower();
                after(downMs, () -> back(node));
            }
        }
    }

    private void back(Node node) {
        trouble();
        node.start();
    }

    /** The disks that may be lost at once are lost, while all others lose power. */
    void loseDisks(CopyRequirement tolerated) {
        var wasSettled = isSettled();
        trouble();
        var lost = new HashSet<Node>();
        var first = someNode();
        switch (random.nextInt(3)) {
            case 0 -> {
                while (lost.size() < tolerated.machines()) {
                    lost.add(someNode());
                }
            }
            case 1 ->
                    nodes.values().stream()
                            .filter(node -> node.location.zone().equals(first.location.zone()))
                            .forEach(lost::add);
            default ->
                    nodes.values().stream()
                            .filter(node -> node.location.region().equals(first.location.region()))
                            .forEach(lost::add);
        }
        losePower(true, 500);
        lost.forEach(node -> node.loseDisk(wasSettled));
    }

    int below(int bound) {
        return random.nextInt(bound);
    }
}
