package martenloom.simulation.cluster;

import java.util.List;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.engine.RandomStream;
import martenloom.simulation.history.InvariantChecker;
import martenloom.simulation.network.SimulatedNetwork;

/** What a simulated member is given from outside. */
interface MemberEnvironment {
    EventQueue events();

    SimulatedNetwork network();

    /** The random choices of machines, disks and processes. */
    RandomStream random();

    InvariantChecker invariants();

    /** The addresses that the settings file of a starting machine names. */
    List<String> seedAddresses();

    /** The size below which the roster must not shrink. */
    int minimumRosterSize();
}
