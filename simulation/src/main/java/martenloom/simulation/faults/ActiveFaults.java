package martenloom.simulation.faults;

import java.util.HashSet;
import java.util.Set;
import martenloom.simulation.engine.EventQueue;

/** The faults that are not over yet. */
final class ActiveFaults {
    private final EventQueue events;

    /** One object for each active fault, by identity. */
    private final Set<Object> active = new HashSet<>();

    ActiveFaults(EventQueue events) {
        this.events = events;
    }

    boolean isEmpty() {
        return active.isEmpty();
    }

    /** Begins a fault, and ends it after a while; it counts as active until then. */
    void during(long durationUs, Runnable begin, Runnable end) {
        var endOnce = begin(end);
        begin.run();
        events.after(durationUs, endOnce);
    }

    /** Begins a fault whose end is another event; the first run of what is returned ends it. */
    Runnable begin(Runnable end) {
        var fault = new Object();
        active.add(fault);
        return () -> {
            if (active.remove(fault)) {
                end.run();
            }
        };
    }
}
