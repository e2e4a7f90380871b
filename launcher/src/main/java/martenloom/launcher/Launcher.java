package martenloom.launcher;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import martenloom.autoscaler.ScalingSettings;
import martenloom.common.clock.Clocks;
import martenloom.common.error.ErrorCode;
import martenloom.common.error.InvalidSettingsException;
import martenloom.common.error.LinkException;
import martenloom.common.error.MartenloomException;
import martenloom.common.error.UsageException;
import martenloom.common.log.RingLog;
import martenloom.common.settings.Settings;
import martenloom.common.settings.SettingsFile;
import martenloom.core.CoreDaemon;
import martenloom.core.storage.FileSystemFolder;
import martenloom.edge.EdgeDaemon;

/**
 * The command line: starts one of the two roles, or forwards to a command for people. The roles
 * avoid what only the commands need, for a start costs processor time.
 */
public final class Launcher {
    public static final String VERSION = "0.1.0";

    private Launcher() {}

    public static void main(String[] args) {
        try {
            System.exit(run(args));
        } catch (MartenloomException f) {
            System.err.println("martenloom: " + f.getMessage());
            System.exit(f.code() == ErrorCode.USAGE ? 2 : 1);
        }
    }

    private static int run(String[] args) {
        var verb = args.length == 0 ? "" : args[0];
        return switch (verb) {
            case "edge", "core" -> role(verb, args);
            case "rehearse" -> ClassArchiveRun.run();
            default -> Commands.run(args);
        };
    }

    private static int role(String verb, String[] args) {
        var scaling = scaling(verb, args);
        var p =
                SettingsFile.load(
                        Optional.ofNullable(System.getenv("MARTENLOOM_NODE_FILE")).orElse(""));
        var loop = Clocks.reactor(verb);
        loop.keepAlive(true);
        loop.execute(() -> watchSettings(p, loop));
        try {
            if (verb.equals("edge")) {
                edge(p, loop, scaling);
            } else {
                core(p, loop);
            }
        } catch (IOException e) {
            throw new LinkException("listen", String.valueOf(e.getMessage()));
        }
        loop.run();
        return 0;
    }

    /**
     * The one option of a role, read by hand: the library of the commands would cost every start.
     */
    private static ScalingSettings scaling(String verb, String[] args) {
        if (args.length == 1) {
            return ScalingSettings.DEFAULT;
        }
        if (args.length != 3 || !verb.equals("edge") || !args[1].equals("--scaling")) {
            throw new UsageException(
                    "read command line",
                    verb
                            + (verb.equals("edge")
                                    ? " takes --scaling WORDS or nothing"
                                    : " takes no options"));
        }
        return ScalingSettings.parse(args[2]);
    }

    private static void edge(Settings p, Eventloop loop, ScalingSettings scaling)
            throws IOException {
        p.requiredListenAddress("Frontend");
        p.requiredListenAddress("Readiness");
        var n = new EdgeDaemon(p, loop, scaling);
        loop.execute(() -> starting(() -> n.start()));
        Runtime.getRuntime().addShutdownHook(new Thread(n::shutDown, "leave"));
    }

    private static void core(Settings p, Eventloop loop) throws IOException {
        p.requiredListenAddress("ControlPlane");
        if (p.dataDirectory().isEmpty()) {
            throw new InvalidSettingsException(
                    "check settings", "DataDirectory: missing, and this role needs it");
        }
        var c = new CoreDaemon(p, loop, new FileSystemFolder(p.dataDirectory()));
        loop.execute(() -> starting(() -> c.start()));
        Runtime.getRuntime().addShutdownHook(new Thread(c::leave, "leave"));
    }

    @FunctionalInterface
    private interface Start {
        void run() throws IOException;
    }

    private static void starting(Start s) {
        try {
            s.run();
        } catch (IOException | RuntimeException e) {
            System.err.println(
                    "martenloom: "
                            + new LinkException("listen", String.valueOf(e.getMessage()))
                                    .getMessage());
            Runtime.getRuntime().halt(1);
        }
    }

    /**
     * SIGHUP means that the settings file has changed; it may also change without a signal, so its
     * text is looked at every two seconds. A changed file is checked and its seeds and bounds are
     * taken over; a bad one is passed over.
     */
    private static void watchSettings(Settings p, Eventloop loop) {
        var path = Path.of(System.getenv("MARTENLOOM_NODE_FILE"));
        var last = new AtomicReference<>(text(path));
        sun.misc.Signal.handle(
                new sun.misc.Signal("HUP"), s -> loop.execute(() -> reread(p, path, last)));
        Clocks.every(loop, 2_000_000, () -> reread(p, path, last));
    }

    private static String text(Path path) {
        try {
            return Files.readString(path);
        } catch (IOException e) {
            return "";
        }
    }

    static void reread(Settings p, Path path, AtomicReference<String> last) {
        var t = text(path);
        if (t.isEmpty() || t.equals(last.getAndSet(t))) {
            return;
        }
        try {
            p.adoptReloadable(SettingsFile.parse(t));
            RingLog.debug("settings read again");
        } catch (MartenloomException f) {
            RingLog.error("settings changed and are not usable: " + f.getMessage());
        }
    }
}
