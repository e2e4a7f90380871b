package martenloom.simulation.workload;

import java.util.Optional;
import martenloom.simulation.cluster.SimulatedMember;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.engine.RandomStream;
import martenloom.simulation.history.LeaseHistory;

/** One of several edges that want the same lease, each from its own home among the members. */
public final class LeaseCandidate {
    private static final long WISH_US = 400_000;
    private static final int WISHES_IN_A_ROW = 15;
    private static final long LONGEST_SILENCE_US = 5_000_000;
    private static final long HOME_PATIENCE_US = 1_500_000;
    private static final long LONGEST_WAY_US = 20_000;

    private final String key;
    private final String holder;
    private final EventQueue agenda;
    private final RandomStream random;
    private final RetryingClient.Directory machines;
    private final LeaseHistory history;
    private String home = "";
    private long heardUs;

    public LeaseCandidate(
            String key,
            String holder,
            EventQueue agenda,
            RandomStream random,
            RetryingClient.Directory machines,
            LeaseHistory history) {
        this.key = key;
        this.holder = holder;
        this.agenda = agenda;
        this.random = random;
        this.machines = machines;
        this.history = history;
    }

    public void start() {
        agenda.after(random.between(0, WISH_US), this::wish);
    }

    private void wish() {
        if (home.isEmpty() || agenda.nowUs() - heardUs > HOME_PATIENCE_US) {
            home = random.pick(machines.addresses());
            heardUs = agenda.nowUs();
        }
        var stampUs = agenda.nowUs();
        var address = home;
        agenda.after(wayUs(), () -> arrive(address, stampUs));
        agenda.after(pauseUs(), this::wish);
    }

    /** A candidate is silent at times, until its lease has run out. */
    private long pauseUs() {
        return random.oneIn(WISHES_IN_A_ROW)
                ? random.between(WISH_US, LONGEST_SILENCE_US)
                : WISH_US;
    }

    private void arrive(String address, long stampUs) {
        Optional<SimulatedMember> process = machines.running(address);
        process.ifPresent(
                p -> p.whenAwake(this, () -> p.onWish(key, holder, stampUs, this::answered)));
    }

    private void answered(long grant, long stampUs) {
        agenda.after(wayUs(), () -> granted(grant, stampUs));
    }

    private void granted(long grant, long stampUs) {
        heardUs = agenda.nowUs();
        history.onGranted(key, holder, grant, stampUs, agenda.nowUs());
    }

    private long wayUs() {
        return random.between(200, LONGEST_WAY_US);
    }
}
