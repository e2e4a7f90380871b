package martenloom.edge.jobs;

/** Runs tasks later, on the reactor thread. */
@FunctionalInterface
public interface Scheduler {
    /** Runs a task once, after this many microseconds. */
    void after(long delayUs, Runnable task);
}
