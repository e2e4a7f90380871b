package martenloom.launcher;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import martenloom.autoscaler.ScalingSettings;
import martenloom.common.clock.Clocks;
import martenloom.common.error.InvalidSettingsException;
import martenloom.common.error.LinkException;
import martenloom.common.error.UsageException;
import martenloom.common.settings.Settings;
import martenloom.common.settings.SettingsFile;
import martenloom.core.CoreDaemon;
import martenloom.core.storage.FileSystemFolder;
import martenloom.edge.EdgeDaemon;

/**
 * Runs one of the two roles on the main thread, which becomes the reactor thread of the daemon,
 * until a signal ends the process.
 */
final class RoleRunner {
    private static final String EDGE = "edge";
    private static final String SCALING_OPTION = "--scaling";
    private static final int ARGUMENTS_WITH_SCALING = 3;
    private static final String POOL_PROPERTY = "ByteBufPool.maxSize";

    /** Longer buffers are not kept for reuse: the pool never gives a buffer back to the heap. */
    private static final int MAX_POOLED_BYTES = 32 << 10;

    private static final String SETTINGS_VARIABLE = "MARTENLOOM_NODE_FILE";

    private RoleRunner() {}

    /** Starts a role and returns when its event loop has ended. */
    static ExitStatus run(String role, String[] args) {
        SettingsWatcher.passOverSignals();
        System.setProperty(POOL_PROPERTY, Integer.toString(MAX_POOLED_BYTES));
        var scaling = parseScaling(role, args);
        var settings =
                SettingsFile.load(Optional.ofNullable(System.getenv(SETTINGS_VARIABLE)).orElse(""));
        Thread.setDefaultUncaughtExceptionHandler(RoleRunner::haltAfter);
        var loop = Clocks.reactor(role);
        loop.keepAlive(true);
        loop.execute(() -> watchSettings(settings, loop));
        try {
            if (role.equals(EDGE)) {
                startEdge(settings, loop, scaling);
            } else {
                startCore(settings, loop);
            }
        } catch (IOException e) {
            throw cannotListen(e);
        }
        loop.run();
        return ExitStatus.SUCCESS;
    }

    /**
     * Reads the one option of a role by hand: the library of the commands would cost every start.
     */
    private static ScalingSettings parseScaling(String role, String[] args) {
        if (args.length == 1) {
            return ScalingSettings.DEFAULT;
        }
        var takesScaling = role.equals(EDGE);
        if (!takesScaling
                || args.length != ARGUMENTS_WITH_SCALING
                || !args[1].equals(SCALING_OPTION)) {
            throw new UsageException(
                    "read command line",
                    role
                            + (takesScaling
                                    ? " takes --scaling WORDS or nothing"
                                    : " takes no options"));
        }
        return ScalingSettings.parse(args[2]);
    }

    private static void watchSettings(Settings settings, Eventloop loop) {
        SettingsWatcher.of(settings, Path.of(System.getenv(SETTINGS_VARIABLE))).start(loop);
    }

    private static void startEdge(Settings settings, Eventloop loop, ScalingSettings scaling)
            throws IOException {
        settings.requiredListenAddress("Frontend");
        settings.requiredListenAddress("Readiness");
        var daemon = new EdgeDaemon(settings, loop, scaling);
        loop.execute(() -> startOrHalt(() -> daemon.start()));
        Runtime.getRuntime().addShutdownHook(new Thread(daemon::shutDown, "leave"));
    }

    private static void startCore(Settings settings, Eventloop loop) throws IOException {
        settings.requiredListenAddress("ControlPlane");
        if (settings.dataDirectory().isEmpty()) {
            throw new InvalidSettingsException(
                    "check settings", "DataDirectory: missing, and this role needs it");
        }
        var store = new FileSystemFolder(settings.dataDirectory());
        var daemon = new CoreDaemon(settings, loop, store);
        loop.execute(() -> startOrHalt(() -> daemon.start()));
        Runtime.getRuntime().addShutdownHook(new Thread(daemon::shutDown, "leave"));
    }

    /** The start of a daemon, on its reactor thread. */
    @FunctionalInterface
    private interface DaemonStart {
        void run() throws IOException;
    }

    /**
     * Whatever a start throws ends the process with one line: a daemon that is only half started
     * must not stay. It is halted, since the shutdown hook would wait for this thread.
     */
    @SuppressWarnings("checkstyle:IllegalCatch") // see above: whatever it is
    private static void startOrHalt(DaemonStart start) {
        try {
            start.run();
        } catch (IOException | RuntimeException e) {
            System.err.println("martenloom: " + cannotListen(e).getMessage());
            Runtime.getRuntime().halt(ExitStatus.FAILURE.code());
        }
    }

    /**
     * A thread of a daemon ended, or the virtual machine failed: the process says why and ends,
     * since nobody would do the work of that thread.
     */
    private static void haltAfter(Thread thread, Throwable error) {
        System.err.println("martenloom: thread " + thread.getName() + " ended: " + error);
        Runtime.getRuntime().halt(ExitStatus.INTERNAL_ERROR.code());
    }

    private static LinkException cannotListen(Exception cause) {
        return new LinkException("listen", String.valueOf(cause.getMessage()));
    }
}
