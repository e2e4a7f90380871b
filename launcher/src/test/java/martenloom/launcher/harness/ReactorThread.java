package martenloom.launcher.harness;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.Selector;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import martenloom.common.clock.Clocks;

/**
 * A reactor and the daemon thread that runs it: what a process of its own is to a daemon in
 * production. Thread-safe.
 */
public final class ReactorThread {
    private static final long END_TIMEOUT_MS = 10_000;

    private final Eventloop reactor;
    private final Thread thread;

    /** What runs on the reactor while the caller waits for its result. */
    @FunctionalInterface
    public interface Action<T> {
        /** Runs on the reactor's thread. */
        T run() throws IOException;
    }

    private ReactorThread(String name) {
        reactor = Clocks.reactor(name);
        reactor.keepAlive(true);
        thread = new Thread(reactor::run, name);
        thread.setDaemon(true);
    }

    /** Starts a reactor that runs until {@link #stop}. */
    public static ReactorThread start(String name) {
        var started = new ReactorThread(name);
        started.thread.start();
        return started;
    }

    public Eventloop reactor() {
        return reactor;
    }

    /** The number under which the platform counts the thread's processor time. */
    public long threadId() {
        return thread.getId();
    }

    /** Runs an action on the reactor and waits for its result; its failure is thrown here. */
    public <T> T call(Action<T> action) {
        return CompletableFuture.supplyAsync(() -> runUnchecked(action), reactor).join();
    }

    private static <T> T runUnchecked(Action<T> action) {
        try {
            return action.run();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Blocks the reactor, its sockets open, until the latch that is returned is released. */
    CountDownLatch freeze() {
        var thaw = new CountDownLatch(1);
        var stopped = new CompletableFuture<Boolean>();
        reactor.execute(
                () -> {
                    stopped.complete(true);
                    try {
                        thaw.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        stopped.join();
        return thaw;
    }

    /**
     * Ends the reactor as a kill ends a process: its sockets close and its thread has ended. Tasks
     * of the reactor's last round may still open channels, and while one of these is open the
     * reactor leaves its selector open, which keeps the closed ones bound; so both are closed here
     * again.
     */
    public void stop() {
        var down = new CompletableFuture<Boolean>();
        var selector = reactor.getSelector();
        reactor.execute(
                () -> {
                    closeChannels(selector);
                    reactor.keepAlive(false);
                    reactor.breakEventloop();
                    down.complete(true);
                });
        down.join();
        try {
            thread.join(END_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        closeSelector(selector);
    }

    private static void closeSelector(Selector selector) {
        if (selector.isOpen()) {
            closeChannels(selector);
            try {
                selector.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private static void closeChannels(Selector selector) {
        for (var key : List.copyOf(selector.keys())) {
            try {
                key.channel().close();
            } catch (IOException e) {
                continue;
            }
        }
    }
}
