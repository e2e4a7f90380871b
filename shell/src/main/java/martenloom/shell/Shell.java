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
import martenloom.common.settings.Settings;

/**
 * The shell of queries on the fleet's state: one question to one daemon over the daemons' own
 * records, plain text back. With a query as argument it answers once; without, it reads queries
 * line by line.
 */
public final class Shell {
    private Shell() {}

    public static int run(String at, List<String> words) {
        if (at.isEmpty()) {
            throw new UsageException(
                    "read command line",
                    "shell needs --at IP:PORT (a daemon's first internal port)");
        }
        var to = Settings.address("--at", at);
        if (!words.isEmpty()) {
            return print(ask(to, String.join(" ", words)));
        }
        var in = new BufferedReader(new InputStreamReader(System.in));
        var rc = 0;
        for (var l = line(in); !l.equals("quit"); l = line(in)) {
            rc = l.isBlank() ? rc : print(ask(to, l.strip()));
        }
        return rc;
    }

    private static String line(BufferedReader in) {
        try {
            return Optional.ofNullable(in.readLine()).orElse("quit");
        } catch (IOException e) {
            return "quit";
        }
    }

    private static int print(String s) {
        System.out.print(s);
        return s.startsWith("?") ? 2 : 0;
    }

    public static String ask(InetSocketAddress to, String q) {
        try (var s = new Socket()) {
            s.connect(to, 2000);
            s.setSoTimeout(3000);
            var out = new DataOutputStream(s.getOutputStream());
            var b = new RecordWriter(RecordType.SHELL_QUERY).text(q).bytes();
            out.writeInt(b.length);
            out.write(b);
            out.flush();
            var in = new DataInputStream(s.getInputStream());
            var r = new byte[in.readInt()];
            in.readFully(r);
            return new RecordReader(r, true).text();
        } catch (IOException e) {
            throw new LinkException(
                    "ask daemon",
                    to.getAddress().getHostAddress() + ":" + to.getPort(),
                    String.valueOf(e.getMessage()));
        }
    }
}
