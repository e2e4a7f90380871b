package martenloom.core.chain;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Base64;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import martenloom.common.codec.RecordWriter;
import martenloom.common.jobs.Job;
import martenloom.common.jobs.JobCodec;
import martenloom.core.state.ClusterState;
import martenloom.core.state.Command.MarkDeparting;
import martenloom.core.state.Command.ReplaceConfiguration;
import martenloom.core.state.Command.SubmitJob;
import martenloom.core.state.Command.Urgency;
import martenloom.core.state.ResultCode;
import martenloom.core.state.StampedCommand;

/**
 * A seeded simulation of a chain: delays, losses, cut links, crashes in the middle of a sync, wiped
 * disks, graceful shutdowns, and machines that are replaced by others with new addresses. It checks
 * with every acknowledgement that a base revision has one winner. All draws come from one source,
 * so that a seed gives the same run each time.
 */
final class ChainSimulation {
    static final long SECOND_US = 1_000_000;

    private static final long STEP_US = 5_000;
    private static final long TICK_US = 50_000;
    private static final int MINIMUM_ROSTER_SIZE = 3;
    private static final int FIRST_HOST = 10;

    private static final int MIN_SYNC_US = 1_000;
    private static final int SYNC_SPREAD_US = 5_000;
    private static final int SLOW_SYNC_SPREAD_US = 3_000_000;
    private static final int ONE_SLOW_SYNC_IN = 40;

    private static final int MIN_DOWNTIME_US = 300_000;
    private static final int DOWNTIME_SPREAD_US = 2_000_000;

    private static final long JOB_RETRY_US = 1_000_000;
    private static final long LEAVE_REQUEST_INTERVAL_US = 200_000;
    private static final long LEAVE_URGENT_AFTER_US = 3_600_000;
    private static final long GRACE_PERIOD_US = 7_000_000;
    private static final long FIRST_LEAVE_REQUEST = 1_000_000_000;

    private static final String BACKEND =
            "{\"Name\":\"plain\",\"HealthPath\":\"/h\",\"MaxConnections\":60,\"WarmupS\":0,"
                    + "\"WarmupPerS\":0}";

    private final Random random;
    private final LossyNetwork network;
    private final Map<String, SimulatedMember> members = new TreeMap<>();
    private final Set<String> destroyed = new HashSet<>();

    /** The requests by their numbers, and the configurations acknowledged by their revisions. */
    private final Map<Long, StampedCommand> requests = new HashMap<>();

    private final Map<Long, String> acknowledged = new TreeMap<>();
    private final Map<String, Long> receivedBytes = new TreeMap<>();
    private long nowUs = SECOND_US;
    private long lastRequest;
    private boolean hasSlowDisks = true;
    private int configurations;
    private int addresses;

    /** The member whose disk was lost and that has not learned the state again; empty if none. */
    private String wiped = "";

    private int terminatedAtGraceEnd;

    /** Machines of which the first ones are the founders; the others are still to join. */
    ChainSimulation(long seed, int machines, int founders) {
        random = new Random(seed);
        network = new LossyNetwork(random);
        for (var i = 0; i < machines; i++) {
            add();
        }
        var founding = List.copyOf(members.keySet()).subList(0, founders);
        var state =
                new PersistentMemberState(Ballot.ZERO, Ballot.ZERO, ClusterState.founded(founding));
        founding.forEach(address -> member(address).putOnDisk(state));
        members.values().forEach(this::start);
    }

    // ---- what a test looks at

    long nowUs() {
        return nowUs;
    }

    LossyNetwork network() {
        return network;
    }

    /** All machines in the order of their addresses, also those that are down. */
    List<SimulatedMember> members() {
        return List.copyOf(members.values());
    }

    SimulatedMember member(String address) {
        return members.get(address);
    }

    Set<String> addresses() {
        return members.keySet();
    }

    List<SimulatedMember> heads() {
        return members.values().stream().filter(SimulatedMember::isHead).toList();
    }

    ChainMember head() {
        return heads().stream().findFirst().orElseThrow().chain();
    }

    /** The roster that the head knows to be committed. */
    List<String> roster() {
        return head().committed().roster().members();
    }

    boolean hasRosterOf(int size) {
        return heads().stream()
                .anyMatch(head -> head.chain().committed().roster().members().size() == size);
    }

    /**
     * Whether one head has all machines in its chain, its roster is just these, and none is marked
     * as departed.
     */
    boolean isComplete() {
        var heads = heads();
        if (heads.size() != 1) {
            return false;
        }
        var chain = heads.get(0).chain();
        var roster = chain.committed().roster();
        return Set.copyOf(chain.chain()).equals(members.keySet())
                && Set.copyOf(roster.members()).equals(members.keySet())
                && roster.departed().isEmpty();
    }

    int acknowledgedCount() {
        return acknowledged.size();
    }

    long newestAcknowledgedRevision() {
        return Collections.max(acknowledged.keySet());
    }

    String acknowledgedConfiguration(long revision) {
        return acknowledged.get(revision);
    }

    /** Bytes of messages that reached a machine. */
    long receivedBytes(String address) {
        return receivedBytes.getOrDefault(address, 0L);
    }

    /** Bytes of messages that reached these machines. */
    long receivedBytes(Collection<SimulatedMember> machines) {
        return machines.stream().mapToLong(machine -> receivedBytes(machine.address())).sum();
    }

    /** How many shutdowns ended only because the grace period had run out. */
    int terminatedAtGraceEnd() {
        return terminatedAtGraceEnd;
    }

    // ---- machines

    private SimulatedMember add() {
        var member = new SimulatedMember("10.0.0." + (FIRST_HOST + addresses++));
        members.put(member.address(), member);
        return member;
    }

    /** A machine with an empty disk at an address that was never used. */
    SimulatedMember addMachine() {
        var member = add();
        start(member);
        return member;
    }

    private void start(SimulatedMember member) {
        var chain =
                new ChainMember(
                        member.address(),
                        random.nextLong(),
                        member.disk(),
                        Comparator.naturalOrder(),
                        nowUs);
        chain.setMinimumRosterSize(MINIMUM_ROSTER_SIZE);
        member.start(chain);
    }

    /** The process ends at once; a write under way may or may not have reached the disk. */
    void crash(SimulatedMember member) {
        if (member.pendingWrite().isPresent() && random.nextBoolean()) {
            member.putOnDisk(member.pendingWrite().get().memberState());
        }
        member.stop();
        member.restartAt(nowUs + MIN_DOWNTIME_US + random.nextInt(DOWNTIME_SPREAD_US));
    }

    void crashAndWipe(SimulatedMember member) {
        crash(member);
        member.eraseDisk();
        wiped = member.address();
    }

    /** The machine and its disk are gone for good. */
    void destroy(SimulatedMember member) {
        member.stop();
        members.remove(member.address());
        destroyed.add(member.address());
        if (wiped.equals(member.address())) {
            wiped = "";
        }
    }

    /** As at SIGTERM; the machine starts again after its process ended, or is gone for good. */
    void shutDown(SimulatedMember member, boolean forGood) {
        if (member.isUp() && !member.isLeaving()) {
            member.beginLeaving(nowUs, forGood);
        }
    }

    private void stepLeaving(SimulatedMember member) {
        var mayTerminate = member.mayTerminate(nowUs);
        if (mayTerminate || member.leavingForUs(nowUs) > GRACE_PERIOD_US) {
            terminatedAtGraceEnd += mayTerminate ? 0 : 1;
            var diskMayGo = mayTerminate && member.leavesStateToOthers();
            crash(member);
            if (member.leavesForGood() && diskMayGo) {
                destroy(member);
                addMachine();
            }
        } else if (member.takeLeaveRequest(nowUs, LEAVE_REQUEST_INTERVAL_US)) {
            requestLeave(member);
        }
    }

    private void requestLeave(SimulatedMember member) {
        var head = Optional.ofNullable(members.get(member.chain().head()));
        if (head.isEmpty()
                || !head.get().isUp()
                || network.isCut(member.address(), head.get().address())) {
            return;
        }
        var isUrgent = member.leavingForUs(nowUs) >= LEAVE_URGENT_AFTER_US;
        var command =
                new MarkDeparting(
                        member.address(), isUrgent ? Urgency.IMMEDIATE : Urgency.CAN_WAIT);
        submit(head.get(), FIRST_LEAVE_REQUEST + ++lastRequest, StampedCommand.of(command));
    }

    // ---- requests

    /** A copy of a leave request arrives late, when its sender has come back. */
    void submitLateLeave(SimulatedMember member) {
        var command = new MarkDeparting(member.address(), Urgency.IMMEDIATE);
        submit(heads().get(0), ++lastRequest, StampedCommand.of(command));
    }

    void submitChange() {
        submitChange("");
    }

    /** A configuration that holds these routes, on top of the one that some head knows. */
    void submitChange(String routes) {
        var heads = heads();
        if (heads.isEmpty()) {
            return;
        }
        var head = heads.get(random.nextInt(heads.size()));
        var base = head.chain().committed().configuration().revision();
        var json =
                String.format(
                        "{\"Revision\":%d,\"Routes\":[%s],\"Backends\":[%s],\"Note\":%d}",
                        base + 1, routes, routes.isEmpty() ? "" : BACKEND, configurations++);
        submit(head, ++lastRequest, StampedCommand.of(new ReplaceConfiguration(base, json)));
    }

    /** Submits a job whose request has a body of this size, to a head if there is one. */
    void submitJob(String id, int bodyBytes) {
        if (heads().isEmpty()) {
            return;
        }
        var body = new byte[bodyBytes];
        new Random(id.hashCode()).nextBytes(body);
        var job = new Job();
        job.setId(id);
        job.setRegion("north");
        job.setBody(body);
        job.setDigest(id);
        job.setDeadlineUs(Long.MAX_VALUE / 2);
        var out = new RecordWriter();
        JobCodec.write(job, out);
        var command = new SubmitJob(id, Base64.getEncoder().encodeToString(out.bytes()));
        submit(heads().get(0), ++lastRequest, StampedCommand.of(command).stampedAt(nowUs));
    }

    /** Submits a job until some head knows it as kept. */
    void keepJob(String id, int bodyBytes, long withinUs) {
        var sinceUs = nowUs;
        runUntil(
                "kept",
                withinUs,
                () -> {
                    if ((nowUs - sinceUs) % JOB_RETRY_US == 0) {
                        submitJob(id, bodyBytes);
                    }
                    return heads().stream()
                            .anyMatch(head -> head.chain().committed().jobs().find(id).isPresent());
                });
    }

    private void submit(SimulatedMember head, long request, StampedCommand command) {
        requests.put(request, command);
        head.chain().submit(nowUs, request, command);
        carryOutEffects(head);
    }

    private void onAcknowledged(long request) {
        var command = requests.get(request).command();
        if (command instanceof MarkDeparting departing) {
            Optional.ofNullable(members.get(departing.member()))
                    .filter(SimulatedMember::isLeaving)
                    .ifPresent(SimulatedMember::onLeaveAcknowledged);
        } else if (command instanceof ReplaceConfiguration change) {
            var winner =
                    Optional.ofNullable(acknowledged.put(change.baseRevision() + 1, change.json()));
            assertTrue(
                    winner.isEmpty() || winner.get().equals(change.json()),
                    "two changes on base " + change.baseRevision() + " were both acknowledged");
        }
    }

    // ---- time

    void step() {
        nowUs += STEP_US;
        for (var due = network.nextDue(nowUs); due.isPresent(); due = network.nextDue(nowUs)) {
            deliver(due.get());
        }
        members().forEach(this::step);
        if (!wiped.isEmpty() && member(wiped).hasLearned()) {
            wiped = "";
        }
    }

    private void deliver(LossyNetwork.Delivery delivery) {
        var to = Optional.ofNullable(members.get(delivery.to())).filter(SimulatedMember::isUp);
        if (to.isPresent()) {
            receivedBytes.merge(delivery.to(), (long) delivery.record().length, Long::sum);
            to.get().chain().onMessage(nowUs, delivery.from(), delivery.record());
            carryOutEffects(to.get());
        }
    }

    private void step(SimulatedMember member) {
        if (member.isDueToRestart(nowUs)) {
            start(member);
        }
        var written = member.finishWrite(nowUs);
        if (written.isPresent()) {
            member.chain().onPersisted(nowUs, written.get().token());
            carryOutEffects(member);
        }
        if (member.isUp() && nowUs % TICK_US == 0) {
            member.chain()
                    .setKnownMembers(
                            members.keySet().stream()
                                    .filter(address -> !address.equals(member.address()))
                                    .toList());
            member.chain().onTick(nowUs);
            carryOutEffects(member);
        }
        if (member.isUp() && member.isLeaving()) {
            stepLeaving(member);
        }
    }

    private void carryOutEffects(SimulatedMember member) {
        var effects = member.chain().drainEffects();
        while (!effects.isEmpty()) {
            effects.forEach(effect -> carryOut(member, effect));
            effects = member.chain().drainEffects();
        }
    }

    private void carryOut(SimulatedMember member, ChainEffect effect) {
        if (effect instanceof ChainEffect.SendMessage message) {
            if (members.containsKey(message.to())) {
                network.send(nowUs, member.address(), message.to(), message.record());
            }
        } else if (effect instanceof ChainEffect.PersistState write) {
            var isSlow = hasSlowDisks && random.nextInt(ONE_SLOW_SYNC_IN) == 0;
            var spreadUs = isSlow ? SLOW_SYNC_SPREAD_US : SYNC_SPREAD_US;
            member.beginWrite(write, nowUs + MIN_SYNC_US + random.nextInt(spreadUs));
        } else if (effect instanceof ChainEffect.CompleteRequest answer
                && answer.request() >= 0
                && answer.code() == ResultCode.OK) {
            onAcknowledged(answer.request());
        }
    }

    void run(long lengthUs) {
        for (var end = nowUs + lengthUs; nowUs < end; ) {
            step();
        }
    }

    /** Runs until a condition holds, or so many steps were made. */
    void runSteps(int most, BooleanSupplier condition) {
        for (var i = 0; i < most && !condition.getAsBoolean(); i++) {
            step();
        }
    }

    /**
     * Runs until a condition holds, and says after how long; fails when it does not within the time
     * given.
     */
    long runUntil(String what, long withinUs, BooleanSupplier condition) {
        var sinceUs = nowUs;
        while (!condition.getAsBoolean()) {
            assertTrue(
                    nowUs - sinceUs < withinUs,
                    () -> what + " not within " + withinUs / 1000 + " ms; " + this);
            step();
        }
        return nowUs - sinceUs;
    }

    /** Submits changes until one is acknowledged, and says after how long. */
    long runUntilAcknowledged(long withinUs) {
        var before = acknowledgedCount();
        var sinceUs = nowUs;
        return runUntil(
                "acknowledged",
                withinUs,
                () -> {
                    if ((nowUs - sinceUs) % TICK_US == 0) {
                        submitChange();
                    }
                    return acknowledgedCount() > before;
                });
    }

    // ---- draws and faults

    /** A draw that comes true once in so many times. */
    boolean oneIn(int times) {
        return random.nextInt(times) == 0;
    }

    boolean nextBoolean() {
        return random.nextBoolean();
    }

    int nextInt(int bound) {
        return random.nextInt(bound);
    }

    double nextDouble() {
        return random.nextDouble();
    }

    void useFastDisks() {
        hasSlowDisks = false;
    }

    void heal() {
        network.restoreAll();
        network.setLossProbability(0);
        useFastDisks();
    }

    /**
     * Whether one more disk may be lost: all are up and know the state, and nobody that is gone
     * still counts.
     */
    boolean mayLoseADisk() {
        return wiped.isEmpty() && members.values().stream().allMatch(this::isInGoodOrder);
    }

    private boolean isInGoodOrder(SimulatedMember member) {
        if (!member.hasLearned() || member.isLeaving()) {
            return false;
        }
        var roster = member.chain().memberState().state().roster().members();
        return roster.stream().noneMatch(destroyed::contains) && roster.contains(member.address());
    }

    @Override
    public String toString() {
        return members.values().stream()
                .map(SimulatedMember::toString)
                .collect(Collectors.joining("\n", "\n", ""));
    }
}
