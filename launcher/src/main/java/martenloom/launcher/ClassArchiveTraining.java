package martenloom.launcher;

import io.activej.eventloop.Eventloop;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import martenloom.common.clock.Clocks;
import martenloom.common.error.MartenloomException;
import martenloom.common.settings.Settings;
import martenloom.common.settings.SettingsFile;
import martenloom.core.CoreDaemon;
import martenloom.core.storage.FileSystemFolder;
import martenloom.edge.EdgeDaemon;

/**
 * The training run of the class-data archive, started by the build: one core daemon and one edge in
 * this process, on loopback, through a heartbeat, a configuration and a request, so that the
 * classes that a start needs are loaded and archived as the process ends. It never fails a build
 * and ends by itself.
 */
final class ClassArchiveTraining {
    private static final long TIME_LIMIT_MS = 15_000;
    private static final long START_TIMEOUT_S = 3;
    private static final long READY_TIMEOUT_S = 5;
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final int READ_TIMEOUT_MS = 3_000;
    private static final int REPLACE_ATTEMPTS = 20;

    private static final String HEARTBEAT =
            """
            {"Backend":"s","Address":"127.0.0.3:9","Zone":"z","State":"ready","Sequence":1}\
            """;

    private static final String CONFIGURATION =
            """
            {"Revision":1,"Routes":[{"Name":"r","Hostname":"h","PathPrefix":"/a/",\
            "RouteType":"idempotent","TimeoutMs":900,"TargetLatencyMs":500,"Priority":0,\
            "Backend":"s","MaxAttempts":1}],"Backends":[{"Name":"s","HealthPath":"/h",\
            "MaxConnections":9,"InferenceEngine":{"Capacity":2,"CacheTokens":9,\
            "Models":[{"Name":"m"}]}}]}\
            """;

    private final TrainingAddresses addresses;
    private final Path directory;

    private ClassArchiveTraining(TrainingAddresses addresses, Path directory) {
        this.addresses = addresses;
        this.directory = directory;
    }

    /** Runs the training; one that ends early leaves a smaller archive behind. */
    static ExitStatus run() {
        haltAfterTimeLimit();
        try {
            var addresses = TrainingAddresses.findFree();
            new ClassArchiveTraining(addresses, Files.createTempDirectory("rehearsal")).train();
        } catch (IOException | UncheckedIOException | CompletionException | MartenloomException e) {
            System.out.println("rehearsal ended early: " + e);
        }
        return ExitStatus.SUCCESS;
    }

    private static void haltAfterTimeLimit() {
        startDaemonThread(
                "time limit",
                () -> {
                    try {
                        Thread.sleep(TIME_LIMIT_MS);
                    } catch (InterruptedException e) {
                        return;
                    }
                    Runtime.getRuntime().halt(ExitStatus.SUCCESS.code());
                });
    }

    private static void startDaemonThread(String name, Runnable action) {
        var thread = new Thread(action, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void train() throws IOException {
        var core = coreSettings();
        var edge = edgeSettings();
        var coreLoop =
                startLoop(
                        "core",
                        loop -> {
                            var store = new FileSystemFolder(core.dataDirectory());
                            new CoreDaemon(core, loop, store).start();
                        });
        var startedEdge = new CompletableFuture<EdgeDaemon>();
        var edgeLoop =
                startLoop(
                        "edge",
                        loop -> {
                            var daemon = new EdgeDaemon(edge, loop);
                            daemon.start();
                            startedEdge.complete(daemon);
                        });
        callDaemons(startedEdge);
        coreLoop.breakEventloop();
        edgeLoop.breakEventloop();
        deleteFiles();
    }

    private void callDaemons(CompletableFuture<EdgeDaemon> startedEdge) {
        call(addresses.control(), "POST /instances/i/heartbeat", HEARTBEAT);
        for (var i = 0; i < REPLACE_ATTEMPTS && !replaceConfiguration(); i++) {
            // Until the core has a head.
        }
        startedEdge
                .join()
                .whenReady()
                .completeOnTimeout(true, READY_TIMEOUT_S, TimeUnit.SECONDS)
                .join();
        call(addresses.control(), "GET /lookup?Name=h&Region=r&Zone=z", "");
        call(addresses.readiness(), "GET /readyz", "");
        call(addresses.front(), "POST /a/x", "body");
    }

    private boolean replaceConfiguration() {
        return call(addresses.control(), "POST /configuration/replace", CONFIGURATION)
                .contains(" 200 ");
    }

    private void deleteFiles() throws IOException {
        try (var files = Files.walk(directory)) {
            files.filter(Files::isRegularFile).map(Path::toFile).forEach(File::delete);
        }
    }

    // ---- settings

    private Settings coreSettings() {
        return settings(
                TrainingAddresses.CORE_IP, listenAddress("ControlPlane", addresses.control()));
    }

    private Settings edgeSettings() {
        return settings(
                TrainingAddresses.EDGE_IP,
                listenAddress("Frontend", addresses.front())
                        + listenAddress("Readiness", addresses.readiness()));
    }

    private static String listenAddress(String name, InetSocketAddress address) {
        return name + " = \"" + text(address) + "\"\n";
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private Settings settings(String ip, String listenAddresses) {
        return SettingsFile.parse(
                """
                NodeName = "n"
                IpAddress = "%s"
                Zone = "z"
                Region = "r"
                InternalPortRange = [%d,%d]
                SeedNodes = ["%s"]
                Bootstrap = true
                DataDirectory = "%s"
                HeartbeatIntervalMs = 200
                Serves = []
                [Zones]
                z = "r"
                [ListenAddresses]
                %s\
                """
                        .formatted(
                                ip,
                                addresses.firstPort(),
                                addresses.lastPort(),
                                text(addresses.control()),
                                directory,
                                listenAddresses));
    }

    // ---- daemons and calls

    /** The start of a daemon on its event loop. */
    @FunctionalInterface
    private interface DaemonStart {
        void run(Eventloop loop) throws IOException;
    }

    private static Eventloop startLoop(String name, DaemonStart start) {
        var loop = Clocks.reactor(name);
        loop.keepAlive(true);
        var started = new CompletableFuture<Boolean>();
        loop.execute(
                () -> {
                    try {
                        start.run(loop);
                        started.complete(true);
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                });
        startDaemonThread(name, loop);
        started.completeOnTimeout(false, START_TIMEOUT_S, TimeUnit.SECONDS).join();
        return loop;
    }

    /** Sends a request and returns the whole response, or nothing when there is none. */
    private static String call(InetSocketAddress address, String request, String body) {
        try (var socket = new Socket()) {
            socket.connect(address, CONNECT_TIMEOUT_MS);
            socket.setSoTimeout(READ_TIMEOUT_MS);
            var content = body.getBytes(StandardCharsets.UTF_8);
            var head =
                    request
                            + " HTTP/1.1\r\n"
                            + "Host: h\r\n"
                            + "X-Attempt-Id: 1\r\n"
                            + "X-Time-Remaining: 900\r\n"
                            + "X-Base-Revision: 0\r\n"
                            + "Connection: close\r\n"
                            + "Content-Length: "
                            + content.length
                            + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(content);
            var response = socket.getInputStream().readAllBytes();
            return new String(response, StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return "";
        }
    }
}
