package martenloom.launcher.harness;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import org.junit.jupiter.api.Test;

/** A reactor that is stopped frees its addresses for the next one. */
final class ReactorThreadTest {
    /** Guards against "Address already in use" when a daemon is started again after a kill. */
    @Test
    void anAddressIsFreeAlsoIfTheLastRoundOfTheReactorOpensAChannel() throws InterruptedException {
        var reactor = ReactorThread.start("stopped");
        var address = reactor.call(() -> listen(reactor, new InetSocketAddress("127.0.0.1", 0)));
        var thaw = reactor.freeze();
        var stopping = new Thread(reactor::stop);
        stopping.start();
        while (stopping.getState() != Thread.State.WAITING) {
            Thread.onSpinWait();
        }
        reactor.reactor().execute(() -> listenAnywhere(reactor));
        thaw.countDown();
        stopping.join();
        assertDoesNotThrow(
                () -> new ServerSocket(address.getPort(), 1, address.getAddress()).close());
    }

    private static void listenAnywhere(ReactorThread reactor) {
        try {
            listen(reactor, new InetSocketAddress("127.0.0.1", 0));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static InetSocketAddress listen(ReactorThread reactor, InetSocketAddress at)
            throws IOException {
        var channel = ServerSocketChannel.open().bind(at);
        channel.configureBlocking(false);
        channel.register(reactor.reactor().getSelector(), SelectionKey.OP_ACCEPT);
        return (InetSocketAddress) channel.getLocalAddress();
    }
}
