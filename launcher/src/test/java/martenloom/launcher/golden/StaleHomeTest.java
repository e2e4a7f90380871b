package martenloom.launcher.golden;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.fleet.RecordType;
import martenloom.common.settings.SettingsFile;
import martenloom.edge.EdgeDaemon;
import martenloom.launcher.harness.ReactorThread;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * What an edge does when its home still answers but is out of contact with a majority. A real edge
 * runs alone; plain sockets play its home and another core daemon.
 */
final class StaleHomeTest {
    private static final int NETWORK = 62;
    private static final String HOME_IP = "127.62.1.10";
    private static final String OTHER_IP = "127.62.1.11";
    private static final String EDGE_IP = "127.62.2.10";
    private static final int ACCEPT_TIMEOUT_MS = 20_000;
    private static final long FRESH = 0;
    private static final long STALE_US = 5_000_000;
    private static final int RENEWALS_AFTERWARDS = 3;

    private final ReactorThread reactor = ReactorThread.start("stale-home-edge");
    private ServerSocket homeServer;
    private ServerSocket otherServer;

    @BeforeEach
    void listen() throws IOException {
        homeServer = new ServerSocket(0, 5, InetAddress.getByName(HOME_IP));
        var port = homeServer.getLocalPort();
        otherServer = new ServerSocket(port, 5, InetAddress.getByName(OTHER_IP));
        homeServer.setSoTimeout(ACCEPT_TIMEOUT_MS);
        otherServer.setSoTimeout(ACCEPT_TIMEOUT_MS);
        reactor.call(
                () -> {
                    var settings =
                            SettingsFile.parse(PlainEdge.settings(NETWORK, EDGE_IP, HOME_IP, port));
                    new EdgeDaemon(settings, reactor.reactor()).start();
                    return settings;
                });
    }

    @AfterEach
    void stop() throws IOException {
        reactor.stop();
        homeServer.close();
        otherServer.close();
    }

    /** Answers the next renewal as a core daemon whose knowledge is so old. */
    private static void answerRenewal(PlainPeer core, long staleUs) throws IOException {
        var in = new RecordReader(core.next(RecordType.EDGE_LEASE_RENEWAL), true);
        EdgeRecord.read(in, 0);
        var sentAtUs = in.i64();
        core.send(
                new RecordWriter(RecordType.EDGE_LEASE_RESPONSE)
                        .i64(sentAtUs)
                        .i64(10_000_000)
                        .i64(staleUs)
                        .i64(2)
                        .i32(123)
                        .i32(1)
                        .i32(1)
                        .texts(List.of(HOME_IP, OTHER_IP))
                        .flag(false)
                        .i64(1_600_000)
                        .i32(0)
                        .bytes());
    }

    /** Answers as a home that is stale from its second answer on, until its connection ends. */
    private static CompletableFuture<Void> answerAsStaleHome(PlainPeer home) {
        return CompletableFuture.runAsync(
                () -> {
                    try {
                        answerRenewal(home, FRESH);
                        while (true) {
                            answerRenewal(home, STALE_US);
                        }
                    } catch (IOException e) {
                        return; // the edge has left this home
                    }
                });
    }

    /** Guards against an edge that keeps outdated replicas though another daemon knows better. */
    @Test
    void anEdgeMovesFromAStaleHomeThatAnswersToAFreshDaemon() throws Exception {
        try (var home = new PlainPeer(homeServer.accept())) {
            var left = answerAsStaleHome(home);
            try (var other = new PlainPeer(otherServer.accept())) {
                answerRenewal(other, FRESH);
                other.next(RecordType.RESYNC_REQUEST);
                left.get(ACCEPT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
        }
    }

    /** Guards against an edge without a home when no daemon is in contact with a majority. */
    @Test
    void anEdgeKeepsAStaleHomeWhenTheOtherDaemonIsStaleToo() throws Exception {
        try (var home = new PlainPeer(homeServer.accept())) {
            answerRenewal(home, FRESH);
            var asked = CompletableFuture.supplyAsync(this::askedOther);
            while (!asked.isDone()) {
                answerRenewal(home, STALE_US);
            }
            assertTrue(asked.get(), "the other daemon is let go");
            for (var i = 0; i < RENEWALS_AFTERWARDS; i++) {
                answerRenewal(home, STALE_US);
            }
        }
    }

    /** The other daemon, stale too, is asked; says whether the edge has closed the link to it. */
    private boolean askedOther() {
        try (var other = new PlainPeer(otherServer.accept())) {
            answerRenewal(other, STALE_US);
            assertThrows(IOException.class, () -> answerRenewal(other, STALE_US));
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
