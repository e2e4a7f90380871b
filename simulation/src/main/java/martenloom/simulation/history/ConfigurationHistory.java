package martenloom.simulation.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import martenloom.core.state.ClusterState;
import martenloom.core.state.ResultCode;

/**
 * The calls on the configuration, as one register with versions. Since versions only rise, a
 * history of calls is linearizable when each successful call lies at or above the floor that held
 * as it began: the highest version that had been acknowledged or read by then.
 */
public final class ConfigurationHistory {
    private static final Pattern REVISION_IN_FORCE =
            Pattern.compile("revision (\\d+) is in place.*");

    /**
     * A command that replaces the configuration.
     *
     * @param base the revision that it replaces
     * @param revision the revision that it makes
     * @param json the configuration, unlike that of any other replacement
     */
    public record Replacement(long base, long revision, String json) {}

    private final Map<Long, String> jsonByRevision = new HashMap<>();
    private final Map<Long, String> jsonByBase = new HashMap<>();
    private final Map<String, Replacement> sentByJson = new HashMap<>();
    private final Set<String> rejectedJson = new HashSet<>();

    /** Each acknowledged replacement once, in the order of the first acknowledgements. */
    private final List<Replacement> acknowledged = new ArrayList<>();

    private long floor;
    private int acknowledgements;

    /** The highest version that every later read must reach. */
    public long floor() {
        return floor;
    }

    /** How many acknowledgements clients have received, repeated ones included. */
    public int acknowledgements() {
        return acknowledgements;
    }

    public List<Replacement> acknowledged() {
        return acknowledged;
    }

    /** A client is about to send a replacement for the first time. */
    public void onSent(Replacement replacement) {
        sentByJson.put(replacement.json, replacement);
    }

    /** A state was committed for the first time. */
    void onCommitted(ClusterState state) {
        var revision = state.configuration().revision();
        var json = state.configuration().json();
        if (revision == 0) {
            return;
        }
        var other = jsonByRevision.putIfAbsent(revision, json);
        Invariant.ONE_WINNER.check(
                other == null || other.equals(json),
                "revision " + revision + " is taken by " + other + " and by " + json);
        var sent = sentByJson.get(json);
        Invariant.ONE_WINNER.check(
                sent != null && sent.revision == revision,
                "nobody sent " + json + " as revision " + revision);
        var rival = jsonByBase.putIfAbsent(sent.base, json);
        Invariant.ONE_WINNER.check(
                rival == null || rival.equals(json),
                "base " + sent.base + " is taken by " + rival + " and by " + json);
        Invariant.REPEATABLE_ORDER.check(
                !rejectedJson.contains(json), "a refused configuration is committed: " + json);
    }

    /** Two neighbouring editions: the configuration moves on from its base, or stays. */
    void onNext(ClusterState before, ClusterState after) {
        var base = before.configuration().revision();
        var json = after.configuration().json();
        var replaced = after.configuration().revision() != base;
        var sent = sentByJson.get(json);
        Invariant.ONE_WINNER.check(
                !replaced || sent != null && sent.base == base,
                "revision " + base + " is followed by " + json);
    }

    /** A replacement was acknowledged to its client. */
    public void onAcknowledged(Replacement replacement) {
        Invariant.OWN_ANSWER.check(
                isCommitted(replacement), "acknowledged but not committed: " + replacement.json);
        floor = Math.max(floor, replacement.revision);
        acknowledgements++;
        if (!acknowledged.contains(replacement)) {
            acknowledged.add(replacement);
        }
    }

    private boolean isCommitted(Replacement replacement) {
        return replacement.json.equals(jsonByRevision.get(replacement.revision));
    }

    /**
     * A replacement was rejected, and its client has received the reply.
     *
     * @param floorAtStart the floor as the call began
     */
    public void onRejected(Replacement replacement, CommandReply reply, long floorAtStart) {
        var json = replacement.json;
        Invariant.REPEATABLE_ORDER.check(
                reply.code() == ResultCode.PRECONDITION_FAILED,
                "a valid configuration is refused with "
                        + reply.code()
                        + " "
                        + reply.text()
                        + ": "
                        + json);
        Invariant.REPEATABLE_ORDER.check(
                !isCommitted(replacement), "taken, then refused (" + reply.text() + "): " + json);
        var named = REVISION_IN_FORCE.matcher(reply.text());
        Invariant.OWN_ANSWER.check(
                named.matches(), "a refusal does not name the version in force: " + reply.text());
        Invariant.LINEARIZABLE.check(
                Long.parseLong(named.group(1)) >= floorAtStart,
                "a refusal names " + named.group(1) + " after " + floorAtStart + " was known");
        rejectedJson.add(json);
    }

    /**
     * A read was answered; returns the revision that was read, 0 when there is none.
     *
     * @param floorAtStart the floor as the call began
     */
    public long onRead(CommandReply reply, long floorAtStart) {
        var json = reply.text();
        var revision = reply.code() == ResultCode.NOT_FOUND ? 0 : revisionOf(json);
        Invariant.LINEARIZABLE.check(
                revision >= floorAtStart,
                "revision " + revision + " is read after " + floorAtStart + " was known");
        Invariant.LINEARIZABLE.check(
                revision == 0 || json.equals(jsonByRevision.get(revision)),
                "read, but never committed: " + json);
        floor = Math.max(floor, revision);
        return revision;
    }

    private long revisionOf(String json) {
        var sent = sentByJson.get(json);
        Invariant.OWN_ANSWER.check(sent != null, "a read is answered with '" + json + "'");
        return sent.revision;
    }
}
