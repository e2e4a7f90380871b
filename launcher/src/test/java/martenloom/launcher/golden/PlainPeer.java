package martenloom.launcher.golden;

import static org.junit.jupiter.api.Assertions.fail;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/** The other end of a link to a daemon: a plain socket that sends and reads framed records. */
final class PlainPeer implements Closeable {
    private final Socket socket;
    private final DataInputStream in;
    private final DataOutputStream out;

    PlainPeer(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(20_000);
        in = new DataInputStream(socket.getInputStream());
        out = new DataOutputStream(socket.getOutputStream());
    }

    /** Connects from one loopback address to the internal port at another. */
    static PlainPeer connect(String from, String to, int port) throws IOException {
        var socket = new Socket();
        socket.bind(new InetSocketAddress(InetAddress.getByName(from), 0));
        socket.connect(new InetSocketAddress(to, port), 5_000);
        return new PlainPeer(socket);
    }

    void send(byte[] record) throws IOException {
        out.writeInt(record.length);
        out.write(record);
        out.flush();
    }

    /** The next record, whatever its type. */
    byte[] next() throws IOException {
        return in.readNBytes(in.readInt());
    }

    /** The next record of this type; others before it are passed over. */
    byte[] next(int type) throws IOException {
        for (var i = 0; i < 2_000; i++) {
            var record = next();
            if (record[0] == type) {
                return record;
            }
        }
        return fail("no record of type " + type);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
