package martenloom.edge.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * The longest time that a request of each route took lately, in the present window of time or the
 * one before it. Runs on the reactor thread.
 */
final class RecentMaximum {
    private static final long WINDOW_US = 10_000_000;

    /** The maxima of one route; 0 where nothing was seen. */
    private static final class Windows {
        private long beganUs;
        private long presentUs;
        private long previousUs;

        private void advance(long nowUs) {
            if (nowUs - beganUs >= WINDOW_US) {
                previousUs = nowUs - beganUs >= 2 * WINDOW_US ? 0 : presentUs;
                presentUs = 0;
                beganUs = nowUs;
            }
        }
    }

    private final Map<String, Windows> routes = new HashMap<>();

    /** Records how long a request took that was answered in full. */
    void record(String route, long durationUs, long nowUs) {
        var windows = routes.computeIfAbsent(route, unseen -> new Windows());
        windows.advance(nowUs);
        windows.presentUs = Math.max(windows.presentUs, durationUs);
    }

    /** The longest time seen, or the given one where none was. */
    long maximumUs(String route, long unknownUs, long nowUs) {
        var windows = routes.get(route);
        if (windows == null) {
            return unknownUs;
        }
        windows.advance(nowUs);
        var seenUs = Math.max(windows.presentUs, windows.previousUs);
        return seenUs == 0 ? unknownUs : seenUs;
    }
}
