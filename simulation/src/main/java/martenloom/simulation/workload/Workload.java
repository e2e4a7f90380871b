package martenloom.simulation.workload;

import java.util.List;
import martenloom.simulation.cluster.MemberDirectory;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.engine.RandomStream;
import martenloom.simulation.history.InvariantChecker;

/**
 * All clients of a simulated day: operators that race on the configuration, readers, operators that
 * evacuate zones, candidates for one lease, and clients that submit jobs. Each draws from a random
 * stream of its own.
 */
public final class Workload {
    private static final List<String> OPERATORS = List.of("a", "b");
    private static final List<String> READERS = List.of("c", "d");
    private static final List<String> ZONES = List.of("north-1", "south-1");
    private static final List<String> CANDIDATES =
            List.of("10.9.0.1#1", "10.9.0.2#1", "10.9.0.3#1");
    private static final List<String> SUBMITTERS = List.of("e", "f");
    private static final String ROLE = "scale/north";

    private final long seed;
    private final EventQueue events;
    private final MemberDirectory members;
    private final InvariantChecker invariants;
    private final RetryingClient client;
    private final List<ConfigurationOperator> operators;

    /** Clients that do nothing before their start. */
    public Workload(
            long seed, EventQueue events, MemberDirectory members, InvariantChecker invariants) {
        this.seed = seed;
        this.events = events;
        this.members = members;
        this.invariants = invariants;
        client = new RetryingClient(events, RandomStream.of(seed, "callers"), members);
        operators = OPERATORS.stream().map(this::operator).toList();
    }

    private ConfigurationOperator operator(String name) {
        return new ConfigurationOperator(
                name,
                client,
                events,
                RandomStream.of(seed, "operator " + name),
                invariants.configurations());
    }

    /** Starts all clients; they go on until the day ends. */
    public void start() {
        operators.forEach(ConfigurationOperator::start);
        READERS.forEach(this::startReader);
        ZONES.forEach(this::startEvacuations);
        CANDIDATES.forEach(this::startCandidate);
        SUBMITTERS.forEach(this::startSubmitter);
    }

    private void startReader(String name) {
        var random = RandomStream.of(seed, "reader " + name);
        new ConfigurationReader(client, events, random, invariants.configurations()).start();
    }

    private void startEvacuations(String zone) {
        var random = RandomStream.of(seed, zone);
        new EvacuationOperator(zone, client, events, random, invariants.evacuations()).start();
    }

    private void startCandidate(String name) {
        var random = RandomStream.of(seed, name);
        new LeaseCandidate(ROLE, name, events, random, members, invariants.leases()).start();
    }

    private void startSubmitter(String name) {
        var random = RandomStream.of(seed, "submitter " + name);
        new JobSubmitter(name, client, events, random, invariants.jobs()).start();
    }

    /** Lets one operator replace the configuration so many times without a pause. */
    public void storm(int operator, int count) {
        operators.get(operator % operators.size()).storm(count);
    }

    /** Makes requests and replies get lost or come late, or not any longer. */
    public void setLossy(boolean lossy) {
        client.setLossy(lossy);
    }
}
