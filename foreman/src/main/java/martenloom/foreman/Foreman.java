package martenloom.foreman;

import java.io.*;
import java.net.*;
import java.util.*;
import martenloom.galley.fault.*;
import martenloom.galley.fleet.*;
import martenloom.galley.props.*;
import martenloom.galley.record.*;

/**
 * The shell of queries on the fleet's state: one question to one daemon over the daemons' own records, plain text back.
 * With a query as argument it answers once; without, it reads queries line by line.
 */
public final class Foreman {
    private Foreman() {}

    public static int run(String at, List<String> words) {
        if (at.isEmpty()) {
            throw Fault.here(Fault.Code.USAGE, "read command line", "foreman needs --at IP:PORT (a daemon's first internal port)");
        }
        var to = Props.address("--at", at);
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
            var b = new Rec.Out(Rows.QUERY).text(q).bytes();
            out.writeInt(b.length);
            out.write(b);
            out.flush();
            var in = new DataInputStream(s.getInputStream());
            var r = new byte[in.readInt()];
            in.readFully(r);
            return new Rec.In(r, true).text();
        } catch (IOException e) {
            throw new Fault(Fault.Code.LINK, "ask daemon", to.getAddress().getHostAddress() + ":" + to.getPort(), String.valueOf(e.getMessage()));
        }
    }
}
