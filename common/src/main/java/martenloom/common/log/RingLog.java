package martenloom.common.log;

import org.jboss.logging.Logger;

/**
 * Logs stay in a ring in memory and are written out, through JBoss Logging, only when something
 * goes wrong. A note costs one array write; a spill prints what led up to the trouble and is itself
 * limited to one in two seconds.
 */
public final class RingLog {
    private static final Logger OUT = Logger.getLogger("martenloom");
    private static final int SIZE = 512;
    private static final long PAUSE_US = 2_000_000;
    private static final String[] RING = new String[SIZE];
    private static long next;
    private static long lastSpill = -PAUSE_US;
    private static long spilled;

    private RingLog() {}

    public static long nowUs() {
        return System.nanoTime() / 1000;
    }

    /** With -Dmartenloom.chatty=true every note is also printed as it is made. */
    public static final boolean CHATTY = Boolean.getBoolean("martenloom.chatty");

    public static synchronized void note(String s) {
        if (CHATTY) {
            System.err.println(s);
        }
        RING[(int) (next++ % SIZE)] = nowUs() / 1000 + " " + s;
    }

    public static synchronized void say(String s) {
        note(s);
        OUT.info(s);
    }

    public static synchronized void wrong(String s) {
        note("! " + s);
        var t = nowUs();
        if (t - lastSpill < PAUSE_US) {
            return;
        }
        lastSpill = t;
        OUT.error(s);
        var from = Math.max(Math.max(0, next - 40), spilled);
        for (var i = from; i < next; i++) {
            OUT.error("  " + RING[(int) (i % SIZE)]);
        }
        spilled = next;
    }

    public static synchronized String tail(int n) {
        var b = new StringBuilder();
        for (var i = Math.max(0, next - Math.min(n, SIZE)); i < next; i++) {
            b.append(RING[(int) (i % SIZE)]).append('\n');
        }
        return b.toString();
    }
}
