package martenloom.simulation;

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
final class ConfigurationHistory {
    private static final Pattern IN_FORCE = Pattern.compile("revision (\\d+) is in place.*");

    /** A configuration that an operator wants to see in force. */
    record Order(long base, long revision, String body) {}

    private final Map<Long, String> winnerOfRevision = new HashMap<>();
    private final Map<Long, String> winnerOfBase = new HashMap<>();
    private final Map<String, Order> sent = new HashMap<>();
    private final Set<String> refused = new HashSet<>();
    private final List<Order> acknowledged = new ArrayList<>();
    private long floor;
    private int acknowledgements;

    /** The highest version that every later read must reach. */
    long floor() {
        return floor;
    }

    int acknowledgements() {
        return acknowledgements;
    }

    List<Order> acknowledged() {
        return acknowledged;
    }

    void onSent(Order order) {
        sent.put(order.body, order);
    }

    void onCommitted(ClusterState state) {
        if (state.configuration().revision() == 0) {
            return;
        }
        var other =
                winnerOfRevision.putIfAbsent(
                        state.configuration().revision(), state.configuration().json());
        check(
                other == null || other.equals(state.configuration().json()),
                Invariant.ONE_WINNER,
                "revision "
                        + state.configuration().revision()
                        + " is taken by "
                        + other
                        + " and by "
                        + state.configuration().json());
        var order = sent.get(state.configuration().json());
        check(
                order != null && order.revision == state.configuration().revision(),
                Invariant.ONE_WINNER,
                "nobody sent "
                        + state.configuration().json()
                        + " as revision "
                        + state.configuration().revision());
        var rival = winnerOfBase.putIfAbsent(order.base, state.configuration().json());
        check(
                rival == null || rival.equals(state.configuration().json()),
                Invariant.ONE_WINNER,
                "base "
                        + order.base
                        + " is taken by "
                        + rival
                        + " and by "
                        + state.configuration().json());
        check(
                !refused.contains(state.configuration().json()),
                Invariant.REPEATABLE_ORDER,
                "a refused configuration is committed: " + state.configuration().json());
    }

    /** Two neighbouring editions: the configuration moves on from its base, or stays. */
    void onNext(ClusterState before, ClusterState after) {
        var moved = after.configuration().revision() != before.configuration().revision();
        var order = sent.get(after.configuration().json());
        check(
                !moved || order != null && order.base == before.configuration().revision(),
                Invariant.ONE_WINNER,
                "revision "
                        + before.configuration().revision()
                        + " is followed by "
                        + after.configuration().json());
    }

    void onAcknowledged(Order order) {
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

    void onRefused(Order order, int status, String text, long floorAtStart) {
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
    long onRead(int status, String text, long floorAtStart) {
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
            throw new Violation(invariant, seen);
        }
    }
}
