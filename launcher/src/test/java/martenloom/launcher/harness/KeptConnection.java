package martenloom.launcher.harness;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A connection of a caller of the control plane that is kept for several calls, and whose sending
 * side ends when the test says so. The calling thread blocks.
 */
public final class KeptConnection implements Closeable {
    private final Socket socket;
    private final InputStream in;

    KeptConnection(Socket socket) throws IOException {
        this.socket = socket;
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a call without a body and leaves the response unread. */
    public void send(String call) throws IOException {
        var length = call.startsWith("POST") ? "Content-Length: 0\r\n" : "";
        var head = call + " HTTP/1.1\r\nHost: c\r\n" + length + "\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** From now on a response is awaited for so long at most. */
    public void setTimeout(int timeoutMs) throws IOException {
        socket.setSoTimeout(timeoutMs);
    }

    /** Reads the next response; {@link HttpReply#NONE} at the end of the connection. */
    public HttpReply receive() throws IOException {
        return TestHttpClient.read(in);
    }

    /** Ends the sending side after so many milliseconds; responses can still be read. */
    public CompletableFuture<Void> endAfter(long delayMs) {
        return CompletableFuture.runAsync(
                () -> {
                    try {
                        socket.shutdownOutput();
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                },
                CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
