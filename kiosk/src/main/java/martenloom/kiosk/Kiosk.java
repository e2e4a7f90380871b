package martenloom.kiosk;

import io.activej.eventloop.*;
import java.io.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.atomic.*;
import martenloom.autoscaler.*;
import martenloom.galley.clock.*;
import martenloom.galley.fault.*;
import martenloom.galley.log.*;
import martenloom.galley.props.*;
import martenloom.newsstand.*;
import martenloom.pantry.*;
import martenloom.pantry.disk.*;

/**
 * The command line: starts one of the two roles, or hands over to a command for people. The roles avoid what only the
 * commands need, for a start costs processor time.
 */
public final class Kiosk {
    public static final String VERSION = "0.1.0";

    private Kiosk() {}

    public static void main(String[] args) {
        try {
            System.exit(run(args));
        } catch (Fault f) {
            System.err.println("martenloom: " + f.getMessage());
            System.exit(f.code == Fault.Code.USAGE ? 2 : 1);
        }
    }

    private static int run(String[] args) {
        var verb = args.length == 0 ? "" : args[0];
        return switch (verb) {
            case "newsstand", "pantry" -> role(verb, args);
            case "rehearse" -> Rehearsal.run();
            default -> Commands.run(args);
        };
    }

    private static int role(String verb, String[] args) {
        var scaling = scaling(verb, args);
        var p = Props.load(Optional.ofNullable(System.getenv("MARTENLOOM_NODE_FILE")).orElse(""));
        var loop = Clocks.reactor(verb);
        loop.keepAlive(true);
        loop.execute(() -> watchSettings(p, loop));
        try {
            if (verb.equals("newsstand")) {
                newsstand(p, loop, scaling);
            } else {
                pantry(p, loop);
            }
        } catch (IOException e) {
            throw Fault.here(Fault.Code.LINK, "listen", String.valueOf(e.getMessage()));
        }
        loop.run();
        return 0;
    }

    /** The one option of a role, read by hand: the library of the commands would cost every start. */
    private static ScaleProps scaling(String verb, String[] args) {
        if (args.length == 1) {
            return ScaleProps.DEFAULT;
        }
        if (args.length != 3 || !verb.equals("newsstand") || !args[1].equals("--scaling")) {
            throw Fault.here(Fault.Code.USAGE, "read command line", verb + (verb.equals("newsstand") ? " takes --scaling WORDS or nothing" : " takes no options"));
        }
        return ScaleProps.parse(args[2]);
    }

    private static void newsstand(Props p, Eventloop loop, ScaleProps scaling) throws IOException {
        p.need("Frontend");
        p.need("Readiness");
        var n = new Newsstand(p, loop, scaling);
        loop.execute(() -> starting(() -> n.start()));
        Runtime.getRuntime().addShutdownHook(new Thread(n::leave, "leave"));
    }

    private static void pantry(Props p, Eventloop loop) throws IOException {
        p.need("ControlPlane");
        if (p.dataDir.isEmpty()) {
            throw Fault.here(Fault.Code.SETTINGS, "check settings", "DataDirectory: missing, and this role needs it");
        }
        var c = new Pantry(p, loop, new Shelf.RealFolder(p.dataDir));
        loop.execute(() -> starting(() -> c.start()));
    }

    @FunctionalInterface
    private interface Start {
        void run() throws IOException;
    }

    private static void starting(Start s) {
        try {
            s.run();
        } catch (IOException | RuntimeException e) {
            System.err.println("martenloom: " + Fault.here(Fault.Code.LINK, "listen", String.valueOf(e.getMessage())).getMessage());
            Runtime.getRuntime().halt(1);
        }
    }

    /**
     * SIGHUP means that the settings file has changed; it may also change without a signal, so its text is looked at every
     * two seconds. A changed file is checked and its seeds and bounds are taken over; a bad one is passed over.
     */
    private static void watchSettings(Props p, Eventloop loop) {
        var path = Path.of(System.getenv("MARTENLOOM_NODE_FILE"));
        var last = new AtomicReference<>(text(path));
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), s -> loop.execute(() -> reread(p, path, last)));
        Clocks.every(loop, 2_000_000, () -> reread(p, path, last));
    }

    private static String text(Path path) {
        try {
            return Files.readString(path);
        } catch (IOException e) {
            return "";
        }
    }

    static void reread(Props p, Path path, AtomicReference<String> last) {
        var t = text(path);
        if (t.isEmpty() || t.equals(last.getAndSet(t))) {
            return;
        }
        try {
            p.adopt(Props.parse(t));
            RingLog.note("settings read again");
        } catch (Fault f) {
            RingLog.wrong("settings changed and are not usable: " + f.getMessage());
        }
    }
}
