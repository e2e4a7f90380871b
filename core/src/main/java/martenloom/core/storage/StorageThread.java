package martenloom.core.storage;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import martenloom.common.error.StorageException;
import martenloom.common.log.RingLog;

/**
 * The one thread on which a store writes, so that a stalled disk never stops the reactor. Tasks run
 * in the order in which they were handed over. Thread-safe.
 */
final class StorageThread {
    private static final long RETRY_PAUSE_MS = 100;

    private final ExecutorService executor;

    /** A thread of this name, which ends with the process. */
    StorageThread(String name) {
        executor =
                Executors.newSingleThreadExecutor(
                        task -> {
                            var thread = new Thread(task, name);
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    /** Runs a task once. */
    void execute(Runnable task) {
        executor.execute(task);
    }

    /** Runs a task again and again for as long as the disk refuses. */
    void executeUntilWritten(Runnable task) {
        executor.execute(
                () -> {
                    while (!tryToRun(task)) {
                        pause();
                    }
                });
    }

    private static boolean tryToRun(Runnable task) {
        try {
            task.run();
            return true;
        } catch (StorageException e) {
            RingLog.error("store: " + e.getMessage());
            return false;
        }
    }

    private static void pause() {
        try {
            Thread.sleep(RETRY_PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until all tasks handed over so far have run, or until the timeout. */
    void await(long timeoutMs) {
        try {
            executor.submit(() -> {}).get(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            RingLog.debug(
                    "store: the last version is not written: " + e.getClass().getSimpleName());
        }
    }
}
