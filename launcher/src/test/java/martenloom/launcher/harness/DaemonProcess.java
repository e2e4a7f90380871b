package martenloom.launcher.harness;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A daemon that runs as a process of its own, by the command of the deploy file with a heap of
 * another size. What it uses is read from the operating system. Used by one thread.
 */
public final class DaemonProcess implements Closeable {
    private static final String DEPLOY_FILE = "deploy/system.toml";
    private static final String SETTINGS_VARIABLE = "MARTENLOOM_NODE_FILE";
    private static final String PEAK_MEMORY_FIELD = "VmHWM:";
    private static final long KB_PER_MB = 1024;
    private static final long END_TIMEOUT_S = 20;

    private final Process process;
    private final Path output;

    /**
     * Starts a daemon.
     *
     * @param role the program, as the deploy file names it
     * @param directory where its settings and its output are written
     */
    DaemonProcess(String role, String settings, ProcessLimits limits, Path directory) {
        try {
            Files.createDirectories(directory);
            var settingsFile = Files.writeString(directory.resolve("settings.toml"), settings);
            output = directory.resolve("output.txt");
            var builder = new ProcessBuilder(command(role, limits));
            builder.environment().put(SETTINGS_VARIABLE, settingsFile.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(output.toFile());
            process = builder.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The command of the deploy file, on the classes of the test and with the given heap. */
    private static List<String> command(String role, ProcessLimits limits) throws IOException {
        var command = new ArrayList<String>();
        for (var word : runLine(role).split(" ")) {
            if (word.startsWith("-Xmx")) {
                command.add("-Xmx" + limits.heapMb() + "m");
            } else if (word.equals("-jar")) {
                command.addAll(List.of("-cp", System.getProperty("java.class.path")));
            } else if (word.endsWith(".jar")) {
                command.add("martenloom.launcher.Launcher");
            } else if (!word.startsWith("-XX:SharedArchiveFile") && !word.startsWith("-Xms")) {
                command.add(word);
            }
        }
        return command;
    }

    private static String runLine(String role) throws IOException {
        var inRole = false;
        for (var line : Files.readAllLines(deployFile())) {
            if (line.startsWith("[")) {
                inRole = line.equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IllegalStateException("no command for " + role + " in " + DEPLOY_FILE);
    }

    /** The deploy file; tests run in the folder of their module, or in the one above. */
    private static Path deployFile() {
        var here = Path.of(DEPLOY_FILE);
        return Files.exists(here) ? here : Path.of("..").resolve(DEPLOY_FILE);
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** The most memory that the process has had resident, in MB. */
    public long peakMemoryMb() {
        try (var status = Files.lines(Path.of("/proc/" + process.pid() + "/status"))) {
            var line = status.filter(each -> each.startsWith(PEAK_MEMORY_FIELD)).findFirst();
            var kilobytes = line.orElse("0").replaceAll("[^0-9]", "");
            return Long.parseLong(kilobytes) / KB_PER_MB;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** How many descriptors the process has open. */
    public long descriptors() {
        try (var descriptors = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return descriptors.count();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The exit status of a process that has ended. */
    public int status() {
        return process.exitValue();
    }

    /** What the process has printed. */
    public String output() {
        try {
            return Files.readString(output);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Ends the process as SIGTERM does, without waiting. */
    public void terminate() {
        process.destroy();
    }

    /**
     * Sends SIGHUP, at which a daemon reads its settings again; not to one that has printed nothing
     * yet, for until the program is loaded the operating system ends the process at this signal.
     */
    public void hangUp() {
        if (output().isEmpty()) {
            return;
        }
        try {
            new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for the end of the process; its exit status, or -1 where it goes on for too long. */
    public int awaitEnd() {
        try {
            return process.waitFor(END_TIMEOUT_S, TimeUnit.SECONDS) ? process.exitValue() : -1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    /** Kills the process. */
    @Override
    public void close() {
        process.destroyForcibly();
        awaitEnd();
    }
}
