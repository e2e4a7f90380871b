package martenloom.simulation.cluster;

import java.util.List;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.engine.RandomStream;
import martenloom.simulation.history.InvariantChecker;
import martenloom.simulation.network.SimulatedNetwork;

/** What a simulated process is given from outside. */
public interface MemberEnvironment {
    EventQueue agenda();

    SimulatedNetwork network();

    RandomStream disks();

    InvariantChecker invariants();

    /** Addresses that the settings file of a starting machine names. */
    List<String> seeds();

    /** The fewest members that bear what is to be borne. */
    int leastRoster();
}
