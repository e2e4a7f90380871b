package martenloom.launcher;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import martenloom.common.clock.Clocks;
import martenloom.common.settings.Settings;
import martenloom.common.settings.SettingsFile;
import martenloom.core.CoreDaemon;
import martenloom.core.storage.FileSystemFolder;
import martenloom.edge.EdgeDaemon;

/**
 * Run by the build: one core daemon and one edge in this process, on loopback, through a beat, a
 * configuration and an request, so that the classes a start needs go into a class-data archive. It
 * never fails a build and ends by itself.
 */
final class ClassArchiveRun {
    private static final String CONFIGURATION =
            "{\"Revision\":1,\"Routes\":[{\"Name\":\"r\",\"Hostname\":\"h\",\"PathPrefix\":\"/a/\",\"RouteType\":\"idempotent\",\"TimeoutMs\":900,"
                + "\"TargetLatencyMs\":500,\"Priority\":0,\"Backend\":\"s\",\"MaxAttempts\":1}],\"Backends\":[{\"Name\":\"s\",\"HealthPath\":\"/h\",\"MaxConnections\":9,\"InferenceEngine\":"
                + "{\"Capacity\":2,\"CacheTokens\":9,\"Models\":[{\"Name\":\"m\"}]}}]}";

    private ClassArchiveRun() {}

    static int run() {
        var t =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(15_000);
                            } catch (InterruptedException e) {
                                return;
                            }
                            Runtime.getRuntime().halt(0);
                        });
        t.setDaemon(true);
        t.start();
        try {
            play(freePort());
        } catch (IOException | RuntimeException e) {
            System.out.println("rehearsal ended early: " + e);
        }
        return 0;
    }

    /**
     * A base from which the few ports that are needed are free just now, below those that systems
     * hand out.
     */
    private static int freePort() {
        for (var i = 0; i < 50; i++) {
            var p = 10_000 + ThreadLocalRandom.current().nextInt(6_000);
            if (free("127.0.0.1", p)
                    && free("127.0.0.2", p)
                    && free("127.0.0.1", p + 10)
                    && free("127.0.0.2", p + 11)
                    && free("127.0.0.2", p + 12)) {
                return p;
            }
        }
        throw new UncheckedIOException(new IOException("no free ports"));
    }

    private static boolean free(String ip, int port) {
        try (var s = new ServerSocket()) {
            s.bind(new InetSocketAddress(ip, port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static Settings settings(String ip, int port, String dir, String listen) {
        return SettingsFile.parse(
                "NodeName = \"n\"\nIpAddress = \""
                        + ip
                        + "\"\nZone = \"z\"\nRegion = \"r\"\nInternalPortRange = ["
                        + port
                        + ","
                        + (port + 9)
                        + "]\nSeedNodes = [\"127.0.0.1:"
                        + (port + 10)
                        + "\"]\nBootstrap = true\nDataDirectory = \""
                        + dir
                        + "\"\n"
                        + "HeartbeatIntervalMs = 200\n"
                        + "Serves = []\n"
                        + "[Zones]\n"
                        + "z = \"r\"\n"
                        + "[ListenAddresses]\n"
                        + listen);
    }

    private static void play(int port) throws IOException {
        var dir = Files.createTempDirectory("rehearsal");
        var core =
                settings(
                        "127.0.0.1",
                        port,
                        dir.toString(),
                        "ControlPlane = \"127.0.0.1:" + (port + 10) + "\"\n");
        var edge =
                settings(
                        "127.0.0.2",
                        port,
                        dir.toString(),
                        "Frontend = \"127.0.0.2:"
                                + (port + 11)
                                + "\"\nReadiness = \"127.0.0.2:"
                                + (port + 12)
                                + "\"\n");
        var a =
                loop(
                        "core",
                        l ->
                                new CoreDaemon(core, l, new FileSystemFolder(core.dataDirectory()))
                                        .start());
        var n = new CompletableFuture<EdgeDaemon>();
        var b =
                loop(
                        "edge",
                        l -> {
                            var x = new EdgeDaemon(edge, l);
                            x.start();
                            n.complete(x);
                        });
        call(
                "127.0.0.1",
                port + 10,
                "POST /instances/i/heartbeat",
                "{\"Backend\":\"s\",\"Address\":\"127.0.0.3:9\",\"Zone\":\"z\",\"State\":\"ready\",\"Sequence\":1}");
        for (var i = 0;
                i < 20
                        && !call(
                                        "127.0.0.1",
                                        port + 10,
                                        "POST /configuration/replace",
                                        CONFIGURATION)
                                .contains(" 200 ");
                i++) {}
        n.join().whenReady().completeOnTimeout(true, 5, TimeUnit.SECONDS).join();
        call("127.0.0.1", port + 10, "GET /lookup?Name=h&Region=r&Zone=z", "");
        call("127.0.0.2", port + 12, "GET /readyz", "");
        call("127.0.0.2", port + 11, "POST /a/x", "body");
        a.breakEventloop();
        b.breakEventloop();
        try (var s = Files.walk(dir)) {
            s.filter(Files::isRegularFile).forEach(f -> f.toFile().delete());
        }
    }

    @FunctionalInterface
    private interface Start {
        void run(Eventloop l) throws IOException;
    }

    private static Eventloop loop(String name, Start s) {
        var l = Clocks.reactor(name);
        l.keepAlive(true);
        var up = new CompletableFuture<Boolean>();
        l.execute(
                () -> {
                    try {
                        s.run(l);
                        up.complete(true);
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                });
        var t = new Thread(l::run, name);
        t.setDaemon(true);
        t.start();
        up.completeOnTimeout(false, 3, TimeUnit.SECONDS).join();
        return l;
    }

    private static String call(String ip, int port, String what, String body) {
        try (var s = new Socket()) {
            s.connect(new InetSocketAddress(ip, port), 2000);
            s.setSoTimeout(3000);
            var b = body.getBytes(StandardCharsets.UTF_8);
            s.getOutputStream()
                    .write(
                            (what
                                            + " HTTP/1.1\r\n"
                                            + "Host: h\r\n"
                                            + "X-Attempt-Id: 1\r\n"
                                            + "X-Time-Remaining: 900\r\n"
                                            + "X-Base-Revision: 0\r\n"
                                            + "Connection: close\r\n"
                                            + "Content-Length: "
                                            + b.length
                                            + "\r\n\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
            s.getOutputStream().write(b);
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return "";
        }
    }
}
