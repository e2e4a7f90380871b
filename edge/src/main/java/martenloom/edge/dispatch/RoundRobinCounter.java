package martenloom.edge.dispatch;

import java.util.Random;

/**
 * A counter that begins at random, by which choices among equals are spread evenly rather than
 * drawn anew each time. Runs on the reactor thread.
 */
final class RoundRobinCounter {
    private static final int FIRST_BELOW = 1 << 20;

    private int value = new Random().nextInt(FIRST_BELOW);

    /** Advances by a step and returns the new value. */
    int next(int step) {
        value += step;
        return value;
    }
}
