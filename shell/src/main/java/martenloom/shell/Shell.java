package martenloom.shell;

import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.error.LinkException;
import martenloom.common.error.UsageException;
import martenloom.common.fleet.RecordType;
import martenloom.common.settings.IpPort;

/**
 * The operator's shell: queries on the state of one daemon, sent over the port on which daemons
 * connect to each other and answered in plain text. Runs on the thread of its caller and blocks it.
 */
public final class Shell {
    private static final int CONNECT_TIMEOUT_MS = 2000;
    private static final int READ_TIMEOUT_MS = 3000;
    private static final int EXIT_OK = 0;
    private static final int EXIT_REJECTED_QUERY = 2;
    private static final String QUIT = "quit";

    private Shell() {}

    /**
     * Sends one query, or without one reads queries from standard input, a line each, until {@code
     * quit} or the end of the input. Returns the exit code of the last query.
     *
     * @param at the IP:PORT of the daemon
     * @param words the words of the query; empty to read queries
     */
    public static int run(String at, List<String> words) {
        if (at.isEmpty()) {
            throw new UsageException(
                    "read command line",
                    "shell needs --at IP:PORT (a daemon's first internal port)");
        }
        var address = IpPort.parse("--at", at);
        if (!words.isEmpty()) {
            return print(ask(address, String.join(" ", words)));
        }
        var input = new BufferedReader(new InputStreamReader(System.in));
        var exitCode = EXIT_OK;
        for (var line = readLine(input); !line.equals(QUIT); line = readLine(input)) {
            if (!line.isBlank()) {
                exitCode = print(ask(address, line.strip()));
            }
        }
        return exitCode;
    }

    private static String readLine(BufferedReader input) {
        try {
            return Optional.ofNullable(input.readLine()).orElse(QUIT);
        } catch (IOException e) {
            return QUIT;
        }
    }

    /** Prints a response; one that rejects the query begins with a question mark. */
    private static int print(String response) {
        System.out.print(response);
        return response.startsWith("?") ? EXIT_REJECTED_QUERY : EXIT_OK;
    }

    /** Sends one query and returns the response; a {@link LinkException} if there is none. */
    public static String ask(InetSocketAddress address, String query) {
        try (var socket = new Socket()) {
            socket.connect(address, CONNECT_TIMEOUT_MS);
            socket.setSoTimeout(READ_TIMEOUT_MS);
            var out = new DataOutputStream(socket.getOutputStream());
            var record = new RecordWriter(RecordType.SHELL_QUERY).text(query).bytes();
            out.writeInt(record.length);
            out.write(record);
            out.flush();
            var in = new DataInputStream(socket.getInputStream());
            var response = new byte[in.readInt()];
            in.readFully(response);
            return new RecordReader(response, true).text();
        } catch (IOException e) {
            throw new LinkException(
                    "ask daemon",
                    address.getAddress().getHostAddress() + ":" + address.getPort(),
                    String.valueOf(e.getMessage()));
        }
    }
}
