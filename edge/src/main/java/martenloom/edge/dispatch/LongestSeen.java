package martenloom.edge.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * For each route, the longest time that a request took lately: in the present window or the one
 * before it.
 */
final class LongestSeen {
    private static final long WINDOW_US = 10_000_000;

    private static final class Windows {
        long beganUs;
        long presentUs;
        long formerUs;

        void roll(long now) {
            if (now - beganUs >= WINDOW_US) {
                formerUs = now - beganUs >= 2 * WINDOW_US ? 0 : presentUs;
                presentUs = 0;
                beganUs = now;
            }
        }
    }

    private final Map<String, Windows> routes = new HashMap<>();

    /** Told of a request that was answered in full. */
    void took(String route, long us, long now) {
        var w = routes.computeIfAbsent(route, k -> new Windows());
        w.roll(now);
        w.presentUs = Math.max(w.presentUs, us);
    }

    /** The longest time seen, or the given one where none was. */
    long longestUs(String route, long unknownUs, long now) {
        var w = routes.get(route);
        if (w == null) {
            return unknownUs;
        }
        w.roll(now);
        var seen = Math.max(w.presentUs, w.formerUs);
        return seen == 0 ? unknownUs : seen;
    }
}
