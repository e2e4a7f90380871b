package martenloom.common.clock;

import io.activej.eventloop.Eventloop;
import io.activej.reactor.schedule.ScheduledRunnable;
import martenloom.common.log.RingLog;

/**
 * Steady time in whole microseconds and the timers hung on a reactor. The reactor itself is given
 * the steady clock too, so that no jump of the time of day can move a deadline.
 */
public final class Clocks {
    private Clocks() {}

    public static long nowUs() {
        return System.nanoTime() / 1000;
    }

    public static Eventloop reactor(String name) {
        return Eventloop.builder()
                .withThreadName(name)
                .withTimeProvider(() -> System.nanoTime() / 1_000_000 + 1_000_000_000_000L)
                .withFatalErrorHandler(
                        (e, c) -> RingLog.wrong("fatal at " + name + ": " + trace(e)))
                .build();
    }

    public static String trace(Throwable e) {
        var b = new StringBuilder(e.toString());
        var st = e.getStackTrace();
        for (var i = 0; i < Math.min(6, st.length); i++) {
            b.append(" < ").append(st[i]);
        }
        return b.toString();
    }

    public static Timer after(Eventloop loop, long us, Runnable r) {
        return new Timer(loop, us, r);
    }

    public static void every(Eventloop loop, long us, Runnable r) {
        loop.schedule(
                loop.currentTimeMillis() + Math.max(1, us / 1000),
                () -> {
                    try {
                        r.run();
                    } catch (RuntimeException e) {
                        RingLog.wrong("timers: " + trace(e));
                    }
                    every(loop, us, r);
                });
    }

    /** One pending timers; cancelling a fired or cancelled one does nothing. */
    public static final class Timer {
        private final ScheduledRunnable sr;

        private Timer(Eventloop loop, long us, Runnable r) {
            sr = loop.schedule(loop.currentTimeMillis() + (us + 999) / 1000, r);
        }

        public void cancel() {
            if (sr.isActive()) {
                sr.cancel();
            }
        }
    }
}
