package martenloom.launcher;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import martenloom.common.clock.Clocks;
import martenloom.common.error.MartenloomException;
import martenloom.common.log.RingLog;
import martenloom.common.settings.Settings;
import martenloom.common.settings.SettingsFile;
import sun.misc.Signal;

/**
 * Takes over changes of the settings file while a daemon runs. SIGHUP says that the file has
 * changed; it may also change without a signal, so its text is compared every two seconds. A
 * changed file is checked and its seeds and bounds are taken over; an unusable one is passed over.
 * Runs on the reactor thread.
 */
final class SettingsWatcher {
    private static final long PERIOD_US = 2_000_000;
    private static final Signal HANG_UP = new Signal("HUP");

    private final Settings settings;
    private final Path file;

    /** The text of the file as it was read last, empty when it could not be read. */
    private String knownText;

    /**
     * @param settings the settings in force, into which changes are taken over
     * @param knownText the text of the file from which they come
     */
    SettingsWatcher(Settings settings, Path file, String knownText) {
        this.settings = settings;
        this.file = file;
        this.knownText = knownText;
    }

    /** A watcher of a file whose present text is in force. */
    static SettingsWatcher of(Settings settings, Path file) {
        return new SettingsWatcher(settings, file, textOf(file));
    }

    /**
     * From now on SIGHUP does not end the process. To be called before the settings are read: a
     * signal that comes until a watcher starts then says nothing new.
     */
    static void passOverSignals() {
        Signal.handle(HANG_UP, signal -> {});
    }

    void start(Eventloop loop) {
        Signal.handle(HANG_UP, signal -> loop.execute(this::reloadIfChanged));
        Clocks.every(loop, PERIOD_US, this::reloadIfChanged);
    }

    /** Compares the file with what is known of it, and takes over a change. */
    void reloadIfChanged() {
        var text = textOf(file);
        if (text.isEmpty() || text.equals(knownText)) {
            return;
        }
        knownText = text;
        try {
            settings.adoptReloadable(SettingsFile.parse(text));
            RingLog.debug("settings read again");
        } catch (MartenloomException e) {
            RingLog.error("settings changed and are not usable: " + e.getMessage());
        }
    }

    private static String textOf(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            return "";
        }
    }
}
