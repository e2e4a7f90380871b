package martenloom.core.chain;

import static org.junit.jupiter.api.Assertions.assertTrue;

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
import java.util.TreeSet;
import java.util.stream.Collectors;
import martenloom.core.state.ClusterState;
import martenloom.core.state.Command.MarkDeparting;
import martenloom.core.state.Command.ReplaceConfiguration;
import martenloom.core.state.Command.Urgency;
import martenloom.core.state.ResultCode;
import martenloom.core.state.StampedCommand;

/**
 * A seeded world for chains: delays, drops, cuts, crashes in the middle of a sync, wiped disks,
 * orderly leaves, and machines that are replaced by others with new addresses. It checks with every
 * answer that a base has one winner.
 */
final class ChainWorld {
    private static final long LEAVE_AGAIN_US = 200_000;
    private static final long GRACE_US = 7_000_000;
    private static final long LEAVE_WAITS_US = 3_600_000;
    private static final long LEAVE_ORDERS = 1_000_000_000;
    static final long NEVER = Long.MAX_VALUE;

    private record Mail(long at, int n, String from, String to, byte[] record) {}

    static final class Node {
        final String ip;
        Optional<PersistentMemberState> disk = Optional.empty();
        Optional<ChainMember> core = Optional.empty();
        private Optional<ChainEffect.PersistState> syncing = Optional.empty();
        private long syncedAt;
        long upAt;

        /** While it leaves: when it was told to, and what becomes of it then. */
        private long leaveSinceUs;

        private long leaveAskedUs;
        private boolean leaveTaken;
        private boolean forGood;

        private Node(String ip) {
            this.ip = ip;
        }

        boolean leaving() {
            return leaveSinceUs > 0;
        }

        private boolean mayEnd(long now) {
            var c = core.orElseThrow();
            return (leaveTaken || c.role() == MemberRole.LEARNER) && c.mayTerminate(now);
        }

        /** Whether the state is left to others, so that the disk may go. */
        private boolean someoneStays() {
            var state = core.orElseThrow().committed();
            return !state.roster().departed().containsAll(state.roster().members());
        }
    }

    final Random rnd;
    final Map<String, Node> nodes = new TreeMap<>();
    final Set<String> removed = new TreeSet<>();
    final Set<String> cut = new HashSet<>();
    final Map<Long, String> acked = new TreeMap<>();
    private final PriorityQueue<Mail> mails =
            new PriorityQueue<>(
                    Comparator.<Mail>comparingLong(m -> m.at).thenComparingInt(m -> m.n));
    private final Map<Long, StampedCommand> asked = new HashMap<>();
    long now = 1_000_000;
    private int mailN;
    private long order;
    double drop;
    boolean slow = true;
    private int bodies;
    private int addresses;
    private String wiped = "";

    /** Bytes of records that reached a machine. */
    final Map<String, Long> receivedBytes = new TreeMap<>();

    /** How many left in order, and how many only because their grace had ended. */
    int leftInOrder;

    int leftAtGraceEnd;

    ChainWorld(long seed, int members, int seedMembers) {
        rnd = new Random(seed);
        for (var i = 0; i < members; i++) {
            add();
        }
        var seeds = List.copyOf(nodes.keySet()).subList(0, seedMembers);
        seeds.forEach(
                s ->
                        nodes.get(s).disk =
                                Optional.of(
                                        new PersistentMemberState(
                                                Ballot.ZERO,
                                                Ballot.ZERO,
                                                ClusterState.founded(seeds))));
        nodes.values().forEach(this::boot);
    }

    private Node add() {
        var ip = "10.0.0." + (10 + addresses++);
        var n = new Node(ip);
        nodes.put(ip, n);
        return n;
    }

    /** A machine with an empty disk at an address that was never used. */
    Node addMachine() {
        var n = add();
        boot(n);
        return n;
    }

    private void boot(Node n) {
        n.core =
                Optional.of(
                        new ChainMember(
                                n.ip, rnd.nextLong(), n.disk, Comparator.naturalOrder(), now));
        n.core.get().setMinimumRosterSize(3);
        n.leaveSinceUs = 0;
        n.leaveTaken = false;
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

    /** The machine and its disk are gone for good. */
    void remove(Node n) {
        n.core = Optional.empty();
        n.syncing = Optional.empty();
        nodes.remove(n.ip);
        removed.add(n.ip);
        if (wiped.equals(n.ip)) {
            wiped = "";
        }
    }

    /** As at SIGTERM; the machine starts again after it has ended, or is gone for good. */
    void leave(Node n, boolean forGood) {
        if (n.core.isPresent() && !n.leaving()) {
            n.leaveSinceUs = now;
            n.leaveAskedUs = 0;
            n.forGood = forGood;
            n.core.get().startLeaving(now);
        }
    }

    private void stepLeaving(Node n) {
        var inOrder = n.mayEnd(now);
        if (inOrder || now - n.leaveSinceUs > GRACE_US) {
            leftInOrder += inOrder ? 1 : 0;
            leftAtGraceEnd += inOrder ? 0 : 1;
            var diskMayGo = inOrder && n.someoneStays();
            crash(n, false);
            if (n.forGood && diskMayGo) {
                remove(n);
                addMachine();
            }
            return;
        }
        if (now - n.leaveAskedUs > LEAVE_AGAIN_US) {
            n.leaveAskedUs = now;
            var to =
                    Optional.ofNullable(nodes.get(n.core.get().head()))
                            .filter(h -> h.core.isPresent() && !cut.contains(n.ip + ">" + h.ip));
            to.ifPresent(
                    h -> {
                        var urgency =
                                now - n.leaveSinceUs < LEAVE_WAITS_US
                                        ? Urgency.CAN_WAIT
                                        : Urgency.IMMEDIATE;
                        var c = StampedCommand.of(new MarkDeparting(n.ip, urgency));
                        asked.put(LEAVE_ORDERS + ++order, c);
                        h.core.get().submit(now, LEAVE_ORDERS + order, c);
                        carryOut(h);
                    });
        }
    }

    private void carryOut(Node n) {
        for (var l = n.core.get().drainEffects(); !l.isEmpty(); l = n.core.get().drainEffects()) {
            for (var c : l) {
                if (c instanceof ChainEffect.SendMessage s && nodes.containsKey(s.to())) {
                    post(n.ip, s);
                } else if (c instanceof ChainEffect.PersistState s) {
                    n.syncing = Optional.of(s);
                    n.syncedAt =
                            now
                                    + 1000
                                    + rnd.nextInt(slow && rnd.nextInt(40) == 0 ? 3_000_000 : 5000);
                } else if (c instanceof ChainEffect.CompleteRequest a
                        && a.request() >= 0
                        && a.code() == ResultCode.OK) {
                    answered(a.request());
                }
            }
        }
    }

    private void post(String from, ChainEffect.SendMessage s) {
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

    private void answered(long number) {
        var command = asked.get(number).command();
        if (command instanceof MarkDeparting departing) {
            Optional.ofNullable(nodes.get(departing.member()))
                    .filter(Node::leaving)
                    .ifPresent(n -> n.leaveTaken = true);
        }
        if (!(command instanceof ReplaceConfiguration c)) {
            return;
        }
        var before = Optional.ofNullable(acked.put(c.baseRevision() + 1, c.json()));
        assertTrue(
                before.isEmpty() || before.get().equals(c.json()),
                "two changes on base " + c.baseRevision() + " were both acknowledged");
    }

    void ask() {
        ask("");
    }

    /** A change that holds these routes, on top of what one head knows. */
    void ask(String routes) {
        var l = heads();
        if (l.isEmpty()) {
            return;
        }
        var n = l.get(rnd.nextInt(l.size()));
        var base = n.core.get().committed().configuration().revision();
        var c =
                StampedCommand.of(
                        new ReplaceConfiguration(
                                base,
                                "{\"Revision\":"
                                        + (base + 1)
                                        + ",\"Routes\":["
                                        + routes
                                        + "],\"Backends\":["
                                        + (routes.isEmpty()
                                                ? ""
                                                : "{\"Name\":\"plain\",\"HealthPath\":\"/h\",\"MaxConnections\":60,\"WarmupS\":0,\"WarmupPerS\":0}")
                                        + "],\"Note\":"
                                        + bodies++
                                        + "}"));
        asked.put(++order, c);
        n.core.get().submit(now, order, c);
        carryOut(n);
    }

    void step() {
        now += 5_000;
        while (!mails.isEmpty() && mails.peek().at <= now) {
            var m = mails.poll();
            var n = nodes.get(m.to);
            if (n != null && n.core.isPresent() && !cut.contains(m.from + ">" + m.to)) {
                receivedBytes.merge(m.to, (long) m.record.length, Long::sum);
                n.core.get().onMessage(now, m.from, m.record);
                carryOut(n);
            }
        }
        List.copyOf(nodes.values()).forEach(this::step);
        if (!wiped.isEmpty()
                && nodes.get(wiped).core.isPresent()
                && nodes.get(wiped).core.get().role() != MemberRole.LEARNER) {
            wiped = "";
        }
    }

    private void step(Node n) {
        if (n.core.isEmpty() && now >= n.upAt) {
            boot(n);
        }
        if (n.core.isPresent() && n.syncing.isPresent() && now >= n.syncedAt) {
            var s = n.syncing.get();
            n.syncing = Optional.empty();
            n.disk = Optional.of(s.memberState());
            n.core.get().onPersisted(now, s.token());
            carryOut(n);
        }
        if (n.core.isPresent() && now % 50_000 == 0) {
            n.core.get()
                    .setKnownMembers(nodes.keySet().stream().filter(x -> !x.equals(n.ip)).toList());
            n.core.get().onTick(now);
            carryOut(n);
        }
        if (n.core.isPresent() && n.leaving()) {
            stepLeaving(n);
        }
    }

    /**
     * Whether one more disk may be lost: all are up and know the state, and nobody that is gone
     * still counts.
     */
    boolean mayLoseADisk() {
        return wiped.isEmpty()
                && nodes.values().stream()
                        .allMatch(
                                n ->
                                        n.core.isPresent()
                                                && !n.leaving()
                                                && n.core.get().role() != MemberRole.LEARNER
                                                && n
                                                        .core
                                                        .get()
                                                        .memberState()
                                                        .state()
                                                        .roster()
                                                        .members()
                                                        .stream()
                                                        .noneMatch(removed::contains)
                                                && n.core.get()
                                                        .memberState()
                                                        .state()
                                                        .roster()
                                                        .members()
                                                        .contains(n.ip));
    }

    void trouble() {
        var ips = List.copyOf(nodes.keySet());
        var n = nodes.get(ips.get(rnd.nextInt(ips.size())));
        switch (rnd.nextInt(9)) {
            case 0 -> {
                if (n.core.isPresent()) {
                    crash(n, rnd.nextBoolean() && mayLoseADisk());
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
                    List.copyOf(nodes.values())
                            .forEach(
                                    x -> {
                                        if (x.core.isPresent() && rnd.nextInt(3) > 0) {
                                            crash(x, false);
                                        }
                                    });
            case 5 -> leave(n, rnd.nextBoolean());
            case 6 -> {
                leave(n, true);
                leave(nodes.get(ips.get(rnd.nextInt(ips.size()))), true);
            }
            case 7 -> {
                if (mayLoseADisk()) {
                    remove(n);
                    addMachine();
                }
            }
            default -> drop = 0;
        }
    }

    boolean grown(int members) {
        return heads().stream()
                .anyMatch(n -> n.core.get().committed().roster().members().size() == members);
    }

    List<Node> heads() {
        return nodes.values().stream()
                .filter(n -> n.core.isPresent() && n.core.get().isHead())
                .toList();
    }

    ChainMember head() {
        return heads().stream().findFirst().orElseThrow().core.orElseThrow();
    }

    void heal() {
        cut.clear();
        drop = 0;
        slow = false;
    }

    /**
     * Runs until a condition holds, and says after how long; fails when it does not within the time
     * given.
     */
    long until(String what, long withinUs, java.util.function.BooleanSupplier holds) {
        var since = now;
        while (!holds.getAsBoolean()) {
            assertTrue(
                    now - since < withinUs,
                    () -> what + " not within " + withinUs / 1000 + " ms; " + this);
            step();
        }
        return now - since;
    }

    void run(long us) {
        for (var end = now + us; now < end; ) {
            step();
        }
    }

    /**
     * Whether one head has all machines in its chain, its roster is just these, and none is marked
     * as gone.
     */
    boolean whole() {
        var h = heads();
        if (h.size() != 1) {
            return false;
        }
        var c = h.get(0).core.get();
        var state = c.committed();
        return Set.copyOf(c.chain()).equals(nodes.keySet())
                && Set.copyOf(state.roster().members()).equals(nodes.keySet())
                && state.roster().departed().isEmpty();
    }

    /** Asks until a change is acknowledged, and says after how long. */
    long untilAcknowledged(long withinUs) {
        var before = acked.size();
        var since = now;
        return until(
                "acknowledged",
                withinUs,
                () -> {
                    if ((now - since) % 50_000 == 0) {
                        ask();
                    }
                    return acked.size() > before;
                });
    }

    @Override
    public String toString() {
        return nodes.values().stream()
                .map(
                        n ->
                                n.ip
                                        + " "
                                        + n.core.map(
                                                        c ->
                                                                c.role()
                                                                        + " chain "
                                                                        + c.chain()
                                                                        + " roster "
                                                                        + c.memberState()
                                                                                .state()
                                                                                .roster()
                                                                                .members()
                                                                        + " departed "
                                                                        + c.memberState()
                                                                                .state()
                                                                                .roster()
                                                                                .departed())
                                                .orElse("down"))
                .collect(Collectors.joining("\n", "\n", ""));
    }
}
