package martenloom.common.log;

import org.jboss.logging.Logger;

/**
 * A log that keeps messages in a ring buffer in memory and writes them out, through JBoss Logging,
 * only when an error occurs: an error prints the messages that led up to it, at most once in two
 * seconds. A debug message costs one write to an array. Thread-safe.
 */
public final class RingLog {
    /** With -Dmartenloom.chatty=true every message is also printed as it is made. */
    public static final boolean ECHO = Boolean.getBoolean("martenloom.chatty");

    private static final Logger LOGGER = Logger.getLogger("martenloom");
    private static final int CAPACITY = 512;
    private static final int MAX_CONTEXT = 40;
    private static final long MIN_INTERVAL_US = 2_000_000;
    private static final long US_PER_MS = 1000;
    private static final long NS_PER_US = 1000;

    /** The messages, each at its number modulo the capacity; guarded by the class. */
    private static final String[] RING = new String[CAPACITY];

    private static long nextNumber;
    private static long lastErrorUs = -MIN_INTERVAL_US;

    /** All messages before this number were printed with an earlier error. */
    private static long printedBefore;

    private RingLog() {}

    private static long nowUs() {
        return System.nanoTime() / NS_PER_US;
    }

    /** Keeps a message in the ring only. */
    public static synchronized void debug(String message) {
        if (ECHO) {
            System.err.println(message);
        }
        RING[(int) (nextNumber++ % CAPACITY)] = nowUs() / US_PER_MS + " " + message;
    }

    /** Keeps a message in the ring and prints it. */
    public static synchronized void info(String message) {
        debug(message);
        LOGGER.info(message);
    }

    /**
     * Keeps the message of an error in the ring and, unless another was printed just before, prints
     * it with the messages that led up to it.
     */
    public static synchronized void error(String message) {
        debug("! " + message);
        var now = nowUs();
        if (now - lastErrorUs < MIN_INTERVAL_US) {
            return;
        }
        lastErrorUs = now;
        LOGGER.error(message);
        var first = Math.max(Math.max(0, nextNumber - MAX_CONTEXT), printedBefore);
        for (var number = first; number < nextNumber; number++) {
            LOGGER.error("  " + RING[(int) (number % CAPACITY)]);
        }
        printedBefore = nextNumber;
    }

    /** The last messages, a line each. */
    public static synchronized String recent(int count) {
        var lines = new StringBuilder();
        var first = Math.max(0, nextNumber - Math.min(count, CAPACITY));
        for (var number = first; number < nextNumber; number++) {
            lines.append(RING[(int) (number % CAPACITY)]).append('\n');
        }
        return lines.toString();
    }
}
