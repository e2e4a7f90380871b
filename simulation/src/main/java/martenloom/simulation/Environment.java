package martenloom.simulation;

import java.util.List;

/** What a simulated process is given from outside. */
interface Environment {
    Agenda agenda();

    SimulatedNetwork network();

    Randomness disks();

    Invariants invariants();

    /** Addresses that the settings file of a starting machine names. */
    List<String> seeds();

    /** The fewest members that bear what is to be borne. */
    int leastRoster();
}
