package martenloom.common.clock;

import io.activej.eventloop.Eventloop;
import martenloom.common.log.RingLog;

/**
 * The steady clock in whole microseconds, and the reactors and timers that run by it. A reactor
 * uses the steady clock too, so that no jump of the time of day moves a deadline.
 */
public final class Clocks {
    private static final long NS_PER_US = 1000;
    private static final long NS_PER_MS = 1_000_000;
    private static final long US_PER_MS = 1000;

    /** Added to the time of a reactor, whose zero must lie far back. */
    private static final long REACTOR_OFFSET_MS = 1_000_000_000_000L;

    private Clocks() {}

    /** The steady time in microseconds; its zero is arbitrary. Thread-safe. */
    public static long nowUs() {
        return System.nanoTime() / NS_PER_US;
    }

    /** A reactor whose thread has this name. */
    public static Eventloop reactor(String name) {
        return Eventloop.builder()
                .withThreadName(name)
                .withTimeProvider(() -> System.nanoTime() / NS_PER_MS + REACTOR_OFFSET_MS)
                .withFatalErrorHandler((error, context) -> onFatalError(name, error))
                .build();
    }

    /**
     * An exception is logged, and the reactor goes on. After an error of the virtual machine
     * nothing can be relied on, so it goes to the handler of uncaught exceptions.
     */
    private static void onFatalError(String reactor, Throwable error) {
        if (error instanceof VirtualMachineError || error instanceof LinkageError) {
            var thread = Thread.currentThread();
            thread.getUncaughtExceptionHandler().uncaughtException(thread, error);
        } else {
            RingLog.error("fatal at " + reactor, error);
        }
    }

    /** Runs a task once on the reactor thread after a delay in microseconds. */
    public static ReactorTimer after(Eventloop loop, long delayUs, Runnable task) {
        return new ReactorTimer(loop, delayUs, task);
    }

    /**
     * Runs a task on the reactor thread again and again, with a pause in microseconds before each
     * run. An exception of one run is logged and does not keep the next from coming.
     */
    @SuppressWarnings("IllegalCatch") // whatever fails in one run, the periodic task goes on
    public static void every(Eventloop loop, long pauseUs, Runnable task) {
        loop.schedule(
                loop.currentTimeMillis() + Math.max(1, pauseUs / US_PER_MS),
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        RingLog.error("timers", e);
                    }
                    every(loop, pauseUs, task);
                });
    }
}
