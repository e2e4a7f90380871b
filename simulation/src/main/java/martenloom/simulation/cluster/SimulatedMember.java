package martenloom.simulation.cluster;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.core.chain.Ballot;
import martenloom.core.chain.ChainEffect;
import martenloom.core.chain.ChainMember;
import martenloom.core.chain.PersistentMemberState;
import martenloom.core.driver.MemberStateStore;
import martenloom.core.lease.RoleLeaseService;
import martenloom.core.state.ClusterState;
import martenloom.core.state.Command;
import martenloom.core.storage.VersionedStore;
import martenloom.simulation.engine.RandomStream;
import martenloom.simulation.history.CommandReply;
import martenloom.simulation.network.NetworkEndpoint;
import martenloom.simulation.network.SimulatedConnection;

/**
 * One run of a core member's process: the daemon's chain, store and lease service, surrounded by
 * the simulated network, disk and clock. It begins with the constructor and ends with {@link #end};
 * a restart makes another object.
 */
public final class SimulatedMember implements NetworkEndpoint, MemberApi {
    private static final long TICK_US = 50_000;
    private static final long HELLO_US = 500_000;

    private final String address;
    private final MemberEnvironment environment;
    private final SimulatedProcess process;
    private final ChainMember chain;
    private final StateWriter writer;
    private final CommandForwarder forwarder;
    private final CommandApi commands;
    private final RoleLeaseService leaseService;
    private final LeaseForwarder leases;
    private final GracefulShutdown shutdown;

    /** The members that this one keeps connections to. */
    private final Set<String> peers = new TreeSet<>();

    private final long startedUs;

    /**
     * @param bootstrap whether a founder with an empty disk founds the chain
     */
    SimulatedMember(SimulatedMachine machine, MemberEnvironment environment, boolean bootstrap) {
        address = machine.address();
        this.environment = environment;
        startedUs = nowUs();
        var random = environment.random();
        process = new SimulatedProcess(environment.events(), random, this::carryOutEffects);
        var store = new MemberStateStore(new VersionedStore(machine.disk()));
        var seeds = environment.seedAddresses();
        var persisted = store.load();
        if (persisted.isEmpty() && bootstrap && seeds.contains(address)) {
            persisted = Optional.of(foundingState(seeds));
            store.write(persisted.get());
        }
        chain =
                new ChainMember(
                        address, random.any(), persisted, Comparator.naturalOrder(), nowUs());
        writer = new StateWriter(machine, environment.events(), store, this::onPersisted);
        forwarder = new CommandForwarder(this, random.any());
        commands = new CommandApi(this, forwarder);
        leaseService =
                new RoleLeaseService(
                        chain,
                        (command, reply) ->
                                forwarder.submitLocally(
                                        command, done -> reply.accept(done.code(), done.text())),
                        this::nowUs);
        leases = new LeaseForwarder(this, leaseService);
        shutdown = new GracefulShutdown(this, forwarder);
        chain.setMinimumRosterSize(environment.minimumRosterSize());
        persisted.ifPresent(found -> found.state().roster().members().forEach(this::addPeer));
        seeds.forEach(this::addPeer);
        after(random.between(0, TICK_US), this::tick);
        after(random.between(0, HELLO_US), this::sayHello);
    }

    private static PersistentMemberState foundingState(List<String> founders) {
        return new PersistentMemberState(Ballot.ZERO, Ballot.ZERO, ClusterState.founded(founders));
    }

    @Override
    public String address() {
        return address;
    }

    /** The code under test. */
    public ChainMember chain() {
        return chain;
    }

    long nowUs() {
        return environment.events().nowUs();
    }

    /** Whether this member heads a chain of all members of a cluster of the given size. */
    public boolean headsAll(int members) {
        return chain.isHead()
                && chain.chain().size() == members
                && chain.committed().roster().members().size() == members;
    }

    /** The edition that this member has committed last. */
    public long committedEdition() {
        return chain.committed().edition();
    }

    /** The state of the chain in one line, for the report of a violation. */
    public String describe() {
        return address
                + " "
                + chain.role().label()
                + " view "
                + chain.view()
                + " edition "
                + committedEdition()
                + " roster "
                + chain.memberState().state().roster().members()
                + "; ";
    }

    // ---- the process

    /** Makes the process stand still for a while. */
    public void freeze(long durationUs) {
        process.freeze(durationUs);
    }

    @Override
    public boolean isFrozen() {
        return process.isFrozen();
    }

    void after(long delayUs, Runnable action) {
        process.after(delayUs, action);
    }

    /** SIGTERM: leaves the chain, then calls back. */
    public void shutDown(Runnable onEnd) {
        process.run(onEnd, () -> shutdown.start(onEnd));
    }

    boolean isLeaving() {
        return shutdown.isStarted();
    }

    /** SIGKILL: a write in progress ends between any two of its steps. */
    void end(RandomStream random) {
        process.end();
        writer.end(random);
    }

    private void tick() {
        peers.addAll(chain.committed().roster().members());
        peers.remove(address);
        environment.network().maintain(this, peers);
        chain.setKnownMembers(peers);
        chain.onTick(nowUs());
        carryOutEffects();
        leaseService.tick(nowUs());
        after(TICK_US, this::tick);
    }

    // ---- peers

    /** Members make themselves known to those that they have dialed. */
    private void sayHello() {
        peers.forEach(this::sendHello);
        after(HELLO_US, this::sayHello);
    }

    private void sendHello(String peer) {
        var record = new RecordWriter(RecordType.HELLO).text(address).bytes();
        environment.network().send(this, peer, record);
    }

    private void addPeer(String other) {
        if (!other.equals(address)) {
            peers.add(other);
        }
    }

    /** The roster and who is reached beside it. */
    private Set<String> knownMembers() {
        var members = new TreeSet<>(chain.committed().roster().members());
        peers.stream().filter(peer -> connection(peer).isPresent()).forEach(members::add);
        members.add(address);
        return members;
    }

    /** The open connection that this member has dialed to another. */
    Optional<SimulatedConnection> connection(String other) {
        return environment.network().connection(this, other);
    }

    @Override
    public void onConnected(String listener) {
        process.run(listener, () -> sendHello(listener));
    }

    @Override
    public void onClosed(SimulatedConnection connection) {
        process.run(connection, () -> forwarder.onClosed(connection));
    }

    @Override
    public void onRecord(SimulatedConnection connection, byte[] record) {
        process.run(connection, () -> take(connection, record));
    }

    private void take(SimulatedConnection connection, byte[] record) {
        var in = new RecordReader(record, true);
        switch (in.type()) {
            case RecordType.HELLO -> {
                addPeer(in.text());
                connection.answer(
                        new RecordWriter(RecordType.KNOWN_PEERS).texts(knownMembers()).bytes());
            }
            case RecordType.KNOWN_PEERS -> in.texts().forEach(this::addPeer);
            case RecordType.ORDER_REQUEST -> forwarder.onRequest(connection, in);
            case RecordType.ORDER_RESPONSE -> forwarder.onResponse(connection, in);
            case RecordType.LEASE_REQUEST -> leases.onRequest(connection, in);
            case RecordType.LEASE_GRANT -> leases.onGrant(connection, in);
            default -> chain.onMessage(nowUs(), connection.peerOf(this).address(), record);
        }
    }

    // ---- clients

    @Override
    public void submit(Object client, Command command, ReplyCallback callback) {
        process.run(client, () -> commands.submit(command, callback));
    }

    @Override
    public void requestLease(Object client, LeaseRequest request, LeaseGrantCallback callback) {
        process.run(client, () -> leases.request(request, callback));
    }

    // ---- effects of the chain

    private void carryOutEffects() {
        for (var effects = chain.drainEffects();
                !effects.isEmpty();
                effects = chain.drainEffects()) {
            effects.forEach(this::carryOut);
        }
    }

    private void carryOut(ChainEffect effect) {
        if (effect instanceof ChainEffect.SendMessage send) {
            addPeer(send.to());
            environment.network().send(this, send.to(), send.record());
        } else if (effect instanceof ChainEffect.PersistState write) {
            writer.enqueue(write);
        } else if (effect instanceof ChainEffect.CompleteRequest answer) {
            complete(answer);
        } else if (effect instanceof ChainEffect.StateCommitted committed) {
            environment.invariants().onCommitted(address, committed.state());
        }
    }

    private void complete(ChainEffect.CompleteRequest answer) {
        var reply = new CommandReply(answer.code(), answer.text());
        if (reply.isSuccess()) {
            environment.invariants().onAcknowledged(chain.view(), address, startedUs);
        }
        forwarder.onCompleted(answer.request(), reply);
    }

    private void onPersisted(long token) {
        process.run(writer, () -> chain.onPersisted(nowUs(), token));
    }
}
