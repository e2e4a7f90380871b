package martenloom.launcher.harness;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;

/**
 * Applications that add 1 to a tally again and again, each add at one core daemon after another
 * until it is acknowledged, and at times once more after that. They know how many adds were
 * acknowledged and how many may count. Thread-safe.
 */
public final class TallyCallers {
    private static final int OK = 200;
    private static final int MOST_READS = 3_000;
    private static final String TALLY = "/tallies/soak/";
    private static final Pattern TOTAL = Pattern.compile("\\{\"Total\":(\\d+)}");

    private final ControlPlaneClient control;
    private final int coreCount;
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger acknowledged = new AtomicInteger();
    private volatile boolean over;

    /** Starts so many callers, whose choices the seed gives. */
    public TallyCallers(ControlPlaneClient control, int coreCount, int callers, long seed) {
        this.control = control;
        this.coreCount = coreCount;
        for (var i = 0; i < callers; i++) {
            var name = "s" + seed + "-t" + i;
            var random = new Random(seed * 1_000 + i);
            threads.add(new Thread(() -> run(name, random), name));
        }
        threads.forEach(Thread::start);
    }

    private void run(String name, Random random) {
        for (var number = 0; !over; number++) {
            addUntilAcknowledged(name + "-" + number, random);
        }
    }

    private void addUntilAcknowledged(String id, Random random) {
        var core = random.nextInt(coreCount);
        sent.incrementAndGet();
        while (!over) {
            if (add(core, id) == OK) {
                acknowledged.incrementAndGet();
                if (random.nextBoolean()) {
                    add(random.nextInt(coreCount), id);
                }
                return;
            }
            core = (core + 1) % coreCount;
        }
    }

    private int add(int core, String id) {
        var body = "{\"InstanceId\":\"" + id + "\",\"ChangedBy\":1}";
        return control.post(core, TALLY + "update", body).status();
    }

    /** Ends the callers. */
    public void stop() throws InterruptedException {
        over = true;
        for (var thread : threads) {
            thread.join();
        }
    }

    /**
     * After {@link #stop}: reads the total at each daemon until all that was acknowledged is there.
     *
     * @return what is wrong, a line each
     */
    public List<String> check() {
        var wrong = new ArrayList<String>();
        for (var core = 0; core < coreCount; core++) {
            var total = -1;
            for (var i = 0; i < MOST_READS && total < acknowledged.get(); i++) {
                total = Math.max(total, read(core));
            }
            if (total < acknowledged.get() || total > sent.get()) {
                wrong.add("core " + core + " has " + total + " adds, " + this);
            }
        }
        return wrong;
    }

    /** The total at a daemon; -1 where it tells none. */
    private int read(int core) {
        var total = TOTAL.matcher(control.get(core, TALLY + "describe").body());
        return total.matches() ? Integer.parseInt(total.group(1)) : -1;
    }

    @Override
    public String toString() {
        return acknowledged + " acknowledged of " + sent;
    }
}
