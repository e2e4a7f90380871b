package martenloom.simulation.cluster;

import java.util.IdentityHashMap;
import java.util.Map;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.engine.RandomStream;

/**
 * Runs the actions of one process, from its start to its end. While the process is frozen its
 * actions wait. What comes from one source, such as a connection, keeps its order; after a freeze
 * the process gets to its sources in any order. Nothing runs after its end.
 */
final class SimulatedProcess {
    private static final long WAKE_UP_SPREAD_US = 5_000;

    private final EventQueue events;
    private final RandomStream random;
    private final Runnable afterEachAction;

    /** For each source that met a freeze: the time at which the process gets to it. */
    private final Map<Object, Long> readyAtUs = new IdentityHashMap<>();

    private boolean running = true;
    private long frozenUntilUs;

    SimulatedProcess(EventQueue events, RandomStream random, Runnable afterEachAction) {
        this.events = events;
        this.random = random;
        this.afterEachAction = afterEachAction;
    }

    /** Runs an action that comes from a source, once the process is awake. */
    void run(Object source, Runnable action) {
        if (!running) {
            return;
        }
        var readyUs = readyUs(source);
        if (readyUs > events.nowUs()) {
            events.at(readyUs, () -> run(source, action));
            return;
        }
        action.run();
        afterEachAction.run();
    }

    private long readyUs(Object source) {
        var readyUs = readyAtUs.getOrDefault(source, 0L);
        if (isFrozen() && readyUs < frozenUntilUs) {
            readyUs = frozenUntilUs + random.between(0, WAKE_UP_SPREAD_US);
            readyAtUs.put(source, readyUs);
        }
        return readyUs;
    }

    /** Runs an action a while from now; it has a source of its own. */
    void after(long delayUs, Runnable action) {
        events.after(delayUs, () -> run(new Object(), action));
    }

    void freeze(long durationUs) {
        frozenUntilUs = Math.max(frozenUntilUs, events.nowUs() + durationUs);
    }

    boolean isFrozen() {
        return events.nowUs() < frozenUntilUs;
    }

    void end() {
        running = false;
    }
}
