package martenloom.simulation;

import java.util.List;

/** What a simulated process is given from outside. */
interface MemberEnvironment {
    EventQueue agenda();

    SimulatedNetwork network();

    RandomStream disks();

    InvariantChecker invariants();

    /** Addresses that the settings file of a starting machine names. */
    List<String> seeds();

    /** The fewest members that bear what is to be borne. */
    int leastRoster();
}
