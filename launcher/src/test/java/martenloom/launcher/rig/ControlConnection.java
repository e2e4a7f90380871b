package martenloom.launcher.rig;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import martenloom.launcher.harness.TestHttpClient;

/** A kept connection to the control plane of a core daemon. Not thread-safe. */
final class ControlConnection implements Closeable {

    private final Socket socket;
    private final InputStream in;

    ControlConnection(String address) throws IOException {
        socket = TestHttpClient.open(address);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** One exchange; gives the status. The head needs no length. */
    int call(String call, String moreFields, String body) throws IOException {
        var content = body.getBytes(StandardCharsets.UTF_8);
        var head =
                call
                        + " HTTP/1.1\r\nHost: c\r\n"
                        + moreFields
                        + "Content-Length: "
                        + content.length
                        + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(content);
        return TestHttpClient.read(in).status();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
