package martenloom.simulation.workload;

import martenloom.simulation.cluster.LeaseRequest;
import martenloom.simulation.cluster.MemberDirectory;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.engine.RandomStream;
import martenloom.simulation.history.LeaseHistory;

/**
 * One of several edges that want the lease of the same role. It asks by way of its home, one of the
 * members, and chooses another home when it hears of no grant for a while.
 */
final class LeaseCandidate {
    private static final long RENEWAL_US = 400_000;
    private static final int SILENCE_ONE_IN = 15;
    private static final long LONGEST_SILENCE_US = 5_000_000;
    private static final long HOME_TIMEOUT_US = 1_500_000;
    private static final long SHORTEST_DELAY_US = 200;
    private static final long LONGEST_DELAY_US = 20_000;

    private final String role;
    private final String name;
    private final EventQueue events;
    private final RandomStream random;
    private final MemberDirectory members;
    private final LeaseHistory history;

    /** The address of the home, empty before the first request. */
    private String home = "";

    /** When a grant came last, or when the home was chosen. */
    private long heardUs;

    LeaseCandidate(
            String role,
            String name,
            EventQueue events,
            RandomStream random,
            MemberDirectory members,
            LeaseHistory history) {
        this.role = role;
        this.name = name;
        this.events = events;
        this.random = random;
        this.members = members;
        this.history = history;
    }

    void start() {
        events.after(random.between(0, RENEWAL_US), this::sendRequest);
    }

    private void sendRequest() {
        if (home.isEmpty() || events.nowUs() - heardUs > HOME_TIMEOUT_US) {
            home = random.pick(members.addresses());
            heardUs = events.nowUs();
        }
        var request = new LeaseRequest(role, name, events.nowUs());
        var address = home;
        events.after(drawDelayUs(), () -> arrive(address, request));
        events.after(drawPauseUs(), this::sendRequest);
    }

    /** A candidate is silent at times, until its lease has run out. */
    private long drawPauseUs() {
        return random.oneIn(SILENCE_ONE_IN)
                ? random.between(RENEWAL_US, LONGEST_SILENCE_US)
                : RENEWAL_US;
    }

    private void arrive(String address, LeaseRequest request) {
        members.api(address).ifPresent(api -> api.requestLease(this, request, this::sendGrant));
    }

    /** The way of a grant from the home to the candidate. */
    private void sendGrant(long fencingToken, long requestedAtUs) {
        events.after(drawDelayUs(), () -> onGranted(fencingToken, requestedAtUs));
    }

    private void onGranted(long fencingToken, long requestedAtUs) {
        heardUs = events.nowUs();
        history.onGranted(role, name, fencingToken, requestedAtUs, events.nowUs());
    }

    private long drawDelayUs() {
        return random.between(SHORTEST_DELAY_US, LONGEST_DELAY_US);
    }
}
