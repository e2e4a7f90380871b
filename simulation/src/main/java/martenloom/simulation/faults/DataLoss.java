package martenloom.simulation.faults;

import martenloom.simulation.disk.SimulatedDisk;

/** What a disk loses when the process of its machine ends. */
enum DataLoss {
    NONE {
        @Override
        void applyTo(SimulatedDisk disk) {
            // The process alone has ended: the kernel still writes what it was given.
        }
    },
    UNSYNCED {
        @Override
        void applyTo(SimulatedDisk disk) {
            disk.losePower();
        }
    },
    NEWEST_FILE {
        @Override
        void applyTo(SimulatedDisk disk) {
            disk.losePower();
            disk.tearNewestVersion();
        }
    },
    EVERYTHING {
        @Override
        void applyTo(SimulatedDisk disk) {
            disk.wipe();
        }
    };

    abstract void applyTo(SimulatedDisk disk);
}
