package martenloom.simulation.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import martenloom.core.state.ClusterState;

/**
 * The calls on the configuration, as one register with versions. Since versions only rise, a
 * history of calls is linearizable when each call that is answered 200 lies at or above the floor
 * that held as it began: the highest version that had been acknowledged or read by then.
 */
public final class ConfigurationHistory {
    private static final Pattern IN_FORCE = Pattern.compile("revision (\\d+) is in place.*");

    /** A configuration that an operator wants to see in force. */
    public record Order(long base, long revision, String body) {}

    private final Map<Long, String> winnerOfRevision = new HashMap<>();
    private final Map<Long, String> winnerOfBase = new HashMap<>();
    private final Map<String, Order> sent = new HashMap<>();
    private final Set<String> refused = new HashSet<>();
    private final List<Order> acknowledged = new ArrayList<>();
    private long floor;
    private int acknowledgements;

    /** The highest version that every later read must reach. */
    public long floor() {
        return floor;
    }

    public int acknowledgements() {
        return acknowledgements;
    }

    public List<Order> acknowledged() {
        return acknowledged;
    }

    public void onSent(Order order) {
        sent.put(order.body, order);
    }

    public void onCommitted(ClusterState state) {
        if (state.revision == 0) {
            return;
        }
        var other = winnerOfRevision.putIfAbsent(state.revision, state.json);
        check(
                other == null || other.equals(state.json),
                Invariant.ONE_WINNER,
                "revision " + state.revision + " is taken by " + other + " and by " + state.json);
        var order = sent.get(state.json);
        check(
                order != null && order.revision == state.revision,
                Invariant.ONE_WINNER,
                "nobody sent " + state.json + " as revision " + state.revision);
        var rival = winnerOfBase.putIfAbsent(order.base, state.json);
        check(
                rival == null || rival.equals(state.json),
                Invariant.ONE_WINNER,
                "base " + order.base + " is taken by " + rival + " and by " + state.json);
        check(
                !refused.contains(state.json),
                Invariant.REPEATABLE_ORDER,
                "a refused configuration is committed: " + state.json);
    }

    /** Two neighbouring editions: the configuration moves on from its base, or stays. */
    public void onNext(ClusterState before, ClusterState after) {
        var moved = after.revision != before.revision;
        var order = sent.get(after.json);
        check(
                !moved || order != null && order.base == before.revision,
                Invariant.ONE_WINNER,
                "revision " + before.revision + " is followed by " + after.json);
    }

    public void onAcknowledged(Order order) {
        check(
                order.body.equals(winnerOfRevision.get(order.revision)),
                Invariant.OWN_ANSWER,
                "acknowledged but not committed: " + order.body);
        floor = Math.max(floor, order.revision);
        acknowledgements++;
        if (!acknowledged.contains(order)) {
            acknowledged.add(order);
        }
    }

    public void onRefused(Order order, int status, String text, long floorAtStart) {
        check(
                status == 412,
                Invariant.REPEATABLE_ORDER,
                "a valid configuration is refused with " + status + " " + text + ": " + order.body);
        check(
                !order.body.equals(winnerOfRevision.get(order.revision)),
                Invariant.REPEATABLE_ORDER,
                "taken, then refused (" + text + "): " + order.body);
        Matcher named = IN_FORCE.matcher(text);
        check(
                named.matches(),
                Invariant.OWN_ANSWER,
                "a refusal does not name the version in force: " + text);
        check(
                Long.parseLong(named.group(1)) >= floorAtStart,
                Invariant.LINEARIZABLE,
                "a refusal names " + named.group(1) + " after " + floorAtStart + " was known");
        refused.add(order.body);
    }

    /** A read was answered; returns the version read. */
    public long onRead(int status, String text, long floorAtStart) {
        var revision = status == 404 ? 0 : revisionOf(text);
        check(
                revision >= floorAtStart,
                Invariant.LINEARIZABLE,
                "revision " + revision + " is read after " + floorAtStart + " was known");
        check(
                revision == 0 || text.equals(winnerOfRevision.get(revision)),
                Invariant.LINEARIZABLE,
                "read, but never committed: " + text);
        floor = Math.max(floor, revision);
        return revision;
    }

    private long revisionOf(String text) {
        var order = sent.get(text);
        check(order != null, Invariant.OWN_ANSWER, "a read is answered with '" + text + "'");
        return order.revision;
    }

    private static void check(boolean holds, Invariant invariant, String seen) {
        if (!holds) {
            throw new InvariantViolation(invariant, seen);
        }
    }
}
