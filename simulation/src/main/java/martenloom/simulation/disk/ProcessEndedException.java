package martenloom.simulation.disk;

/** The simulated process ended inside an operation of its disk. */
public final class ProcessEndedException extends RuntimeException {
    private static final long serialVersionUID = 1;

    ProcessEndedException() {
        super("the process ended inside an operation of the disk", null, false, false);
    }
}
