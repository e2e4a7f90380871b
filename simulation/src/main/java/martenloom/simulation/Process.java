package martenloom.simulation;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.error.MartenloomException;
import martenloom.common.fleet.RecordType;
import martenloom.core.chain.Ballot;
import martenloom.core.chain.ChainEffect;
import martenloom.core.chain.ChainMember;
import martenloom.core.chain.MemberRole;
import martenloom.core.chain.PersistentMemberState;
import martenloom.core.lease.RoleLeaseService;
import martenloom.core.state.ClusterState;
import martenloom.core.state.Command;
import martenloom.core.state.Command.MarkDeparting;
import martenloom.core.state.Command.Urgency;
import martenloom.core.state.ResultCode;
import martenloom.core.state.StampedCommand;
import martenloom.core.storage.VersionedStore;

/**
 * One life of a core member: the chain, the store and the hand-over of orders, with the simulated
 * world around them.
 */
final class Process {
    private static final long TICK_US = 50_000;
    private static final long LATE_US = 5_000;
    private static final long HELLO_US = 500_000;

    /** As the core daemon has it with a grace period of 8 s. */
    private static final long LEAVE_URGENT_US = 3_600_000;

    private static final long LEAVE_AGAIN_US = 200_000;
    private static final long DISK_RETRY_US = 100_000;
    private static final long API_PATIENCE_US = 850_000;
    private static final long API_PAUSE_US = 60_000;
    private static final int MOST_DISK_STEPS = 12;

    private final Machine machine;
    private final Environment environment;
    private final VersionedStore disk;
    private final ChainMember chain;
    private final OrderForwarder orders;
    private final LeaseForwarder leases;
    private final RoleLeaseService duties;
    private final Set<String> dials = new TreeSet<>();
    private final Deque<ChainEffect.PersistState> stores = new ArrayDeque<>();
    private final Map<Object, Long> readyAtUs = new IdentityHashMap<>();
    private final long startedUs;
    private boolean running = true;
    private boolean leaving;
    private boolean leaveTaken;
    private long leaveSinceUs;
    private long frozenUntilUs;

    Process(Machine machine, Environment environment, boolean bootstrap) {
        this.machine = machine;
        this.environment = environment;
        startedUs = nowUs();
        disk = new VersionedStore(machine.disk());
        var seeds = environment.seeds();
        var kept = disk.load().map(PersistentMemberState::decode);
        if (kept.isEmpty() && bootstrap && seeds.contains(address())) {
            kept =
                    Optional.of(
                            new PersistentMemberState(
                                    Ballot.ZERO, Ballot.ZERO, ClusterState.founded(seeds)));
            disk.write(kept.get().encode());
        }
        chain =
                new ChainMember(
                        address(),
                        environment.disks().any(),
                        kept,
                        Comparator.naturalOrder(),
                        nowUs());
        orders = new OrderForwarder(this, environment.disks().any());
        duties =
                new RoleLeaseService(
                        chain,
                        (change, reply) ->
                                orders.askHere(
                                        change,
                                        (status, text) ->
                                                reply.accept(ResultCode.ofNumber(status), text)),
                        this::nowUs);
        leases = new LeaseForwarder(this, duties);
        chain.setMinimumRosterSize(environment.leastRoster());
        kept.ifPresent(k -> k.state().roster().members().forEach(this::dial));
        seeds.forEach(this::dial);
        after(environment.disks().between(0, TICK_US), this::tick);
        after(environment.disks().between(0, HELLO_US), this::hello);
    }

    String address() {
        return machine.address();
    }

    ChainMember chain() {
        return chain;
    }

    long nowUs() {
        return environment.agenda().nowUs();
    }

    long startedUs() {
        return startedUs;
    }

    boolean frozen() {
        return nowUs() < frozenUntilUs;
    }

    void freeze(long us) {
        frozenUntilUs = Math.max(frozenUntilUs, nowUs() + us);
    }

    // ---- what reaches the process

    /**
     * Runs an action in this life, once the process is awake. What comes from one source, such as a
     * connection, keeps its order; after a pause the process gets to its sources in any order.
     */
    void whenAwake(Object source, Runnable action) {
        if (!running) {
            return;
        }
        var readyUs = readyUs(source);
        if (readyUs > nowUs()) {
            environment.agenda().at(readyUs, () -> whenAwake(source, action));
            return;
        }
        action.run();
        carryOut();
    }

    private long readyUs(Object source) {
        var readyUs = readyAtUs.getOrDefault(source, 0L);
        if (frozen() && readyUs < frozenUntilUs) {
            readyUs = frozenUntilUs + environment.disks().between(0, LATE_US);
            readyAtUs.put(source, readyUs);
        }
        return readyUs;
    }

    void after(long us, Runnable action) {
        environment.agenda().after(us, () -> whenAwake(new Object(), action));
    }

    private void tick() {
        dials.addAll(chain.committed().roster().members());
        dials.remove(address());
        environment.network().maintain(this, dials);
        chain.setKnownMembers(dials);
        chain.onTick(nowUs());
        carryOut();
        duties.tick(nowUs());
        after(TICK_US, this::tick);
    }

    /** Members make themselves known to those they have dialed. */
    private void hello() {
        var record = new RecordWriter(RecordType.HELLO).text(address()).bytes();
        dials.forEach(other -> environment.network().send(this, other, record));
        after(HELLO_US, this::hello);
    }

    /** A connection of this member was taken in by the other end. */
    void onConnected(String other) {
        environment
                .network()
                .send(this, other, new RecordWriter(RecordType.HELLO).text(address()).bytes());
    }

    void onRecord(SimulatedNetwork.Connection by, byte[] record) {
        var in = new RecordReader(record, true);
        switch (in.type()) {
            case RecordType.HELLO -> {
                dial(in.text());
                by.answer(new RecordWriter(RecordType.KNOWN_PEERS).texts(members()).bytes());
            }
            case RecordType.KNOWN_PEERS -> in.texts().forEach(this::dial);
            case RecordType.ORDER_REQUEST -> orders.onAsk(by, in);
            case RecordType.ORDER_RESPONSE -> orders.onAnswer(by, in);
            case RecordType.LEASE_REQUEST -> leases.onWant(by, in);
            case RecordType.LEASE_GRANT -> leases.onGrant(by, in);
            default -> chain.onMessage(nowUs(), by.peerOf(this).address(), record);
        }
    }

    /** The roster and who is reached beside it. */
    private Set<String> members() {
        var members = new TreeSet<>(chain.committed().roster().members());
        dials.stream().filter(d -> connection(d).isPresent()).forEach(members::add);
        members.add(address());
        return members;
    }

    void onClosed(SimulatedNetwork.Connection connection) {
        orders.onClosed(connection);
    }

    /** A candidate that has made this member its home wants a lease. */
    void onWish(String key, String holder, long stampUs, LeaseForwarder.Grantee grantee) {
        leases.want(key, holder, stampUs, grantee);
    }

    // ---- leaving in order

    /** SIGTERM: leaves the chain in order, and ends when the chain can do without this member. */
    void leave(Runnable end) {
        if (!leaving) {
            leaving = true;
            leaveSinceUs = nowUs();
            chain.startLeaving(nowUs());
            leaveStep(end);
        }
    }

    private void leaveStep(Runnable end) {
        if (mayEnd()) {
            end.run();
            return;
        }
        var urgent = nowUs() - leaveSinceUs >= LEAVE_URGENT_US;
        var urgency = urgent ? Urgency.IMMEDIATE : Urgency.CAN_WAIT;
        var order = StampedCommand.of(new MarkDeparting(address(), urgency));
        orders.forward(order, (status, text) -> leaveTaken |= status == 200);
        after(LEAVE_AGAIN_US, () -> leaveStep(end));
    }

    private boolean mayEnd() {
        var told = leaveTaken || chain.role() == MemberRole.LEARNER;
        return told && chain.mayTerminate(nowUs());
    }

    // ---- orders of callers

    /**
     * An order of a caller, as the control API takes it: tried again for a while when there is no
     * head.
     */
    void onOrder(Command change, Reply reply) {
        if (leaving) {
            reply.accept(Reply.UNAVAILABLE, "this daemon is leaving");
            return;
        }
        order(chain.committed().accepted(change), nowUs(), reply);
    }

    private void order(StampedCommand change, long sinceUs, Reply reply) {
        orders.forward(
                change,
                (status, text) -> {
                    if (status == Reply.UNAVAILABLE && nowUs() - sinceUs < API_PATIENCE_US) {
                        after(API_PAUSE_US, () -> order(change, sinceUs, reply));
                    } else {
                        var unclear = status == ResultCode.STALE_ORDER.number();
                        reply.accept(unclear ? Reply.UNAVAILABLE : status, text);
                    }
                });
    }

    // ---- what the process does

    private void dial(String other) {
        if (!other.equals(address())) {
            dials.add(other);
        }
    }

    /** The open connection that this member has dialed to another. */
    Optional<SimulatedNetwork.Connection> connection(String other) {
        return environment.network().connection(this, other);
    }

    void send(String to, byte[] record) {
        dial(to);
        environment.network().send(this, to, record);
    }

    private void carryOut() {
        for (var effects = chain.drainEffects();
                !effects.isEmpty();
                effects = chain.drainEffects()) {
            effects.forEach(this::carryOut);
        }
    }

    private void carryOut(ChainEffect effect) {
        if (effect instanceof ChainEffect.SendMessage send) {
            send(send.to(), send.record());
        } else if (effect instanceof ChainEffect.PersistState store) {
            stores.add(store);
            if (stores.size() == 1) {
                beginStore();
            }
        } else if (effect instanceof ChainEffect.CompleteRequest answer) {
            if (answer.code() == ResultCode.OK) {
                environment.invariants().acknowledged(chain.view(), address(), startedUs);
            }
            orders.onChainAnswer(answer);
        } else if (effect instanceof ChainEffect.StateCommitted committed) {
            environment.invariants().committed(address(), committed.state());
        }
    }

    // ---- the disk

    private void beginStore() {
        environment.agenda().after(machine.syncUs(), this::finishStore);
    }

    /** The disk works on while the process is frozen; the process learns of it when it is awake. */
    private void finishStore() {
        if (!running) {
            return;
        }
        if (machine.stalledUntilUs() > nowUs()) {
            environment.agenda().at(machine.stalledUntilUs(), this::finishStore);
            return;
        }
        var store = stores.peek();
        try {
            disk.write(store.memberState().encode());
        } catch (MartenloomException refused) {
            environment.agenda().after(DISK_RETRY_US, this::finishStore);
            return;
        }
        stores.poll();
        if (!stores.isEmpty()) {
            beginStore();
        }
        whenAwake(disk, () -> chain.onPersisted(nowUs(), store.token()));
    }

    /** Ends this life; a write under way ends between any two of its steps. */
    void end(Randomness random) {
        running = false;
        if (stores.isEmpty()) {
            return;
        }
        machine.disk().endAfter(random.below(MOST_DISK_STEPS));
        try {
            disk.write(stores.peek().memberState().encode());
        } catch (SimulatedDisk.Ended | MartenloomException unfinished) {
            // This is what was to be brought about: the write stays as it is.
        }
    }
}
