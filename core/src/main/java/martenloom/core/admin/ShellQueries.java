package martenloom.core.admin;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import martenloom.common.clock.Clocks;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.link.LinkTraffic;
import martenloom.common.log.RingLog;
import martenloom.common.settings.Settings;
import martenloom.core.chain.ChainMember;
import martenloom.core.edge.EdgeLinks;
import martenloom.core.placement.PlacementService;
import martenloom.core.registry.Registry;
import martenloom.routing.placement.PlacementFinding;

/**
 * Answers the queries of the operator's shell in plain text. Only reads; a query that is not known
 * is answered by a list of those that are. Runs on the reactor thread.
 */
public final class ShellQueries {
    private static final int LOG_LINES = 200;
    private static final int US_PER_MS = 1_000;
    private static final int PREVIEW_WORDS = 3;
    private static final String PREVIEW = "would";
    private static final String UNLOAD = "unload";
    private static final String LOAD = "load";
    private static final String USAGE =
            "? members chain configuration replicas evacuations homes leases jobs"
                    + " scaling exposure traffic log; would REGION/MODEL unload|load\n";

    private final Settings settings;
    private final ChainMember chain;
    private final Registry registry;
    private final PlacementService placement;
    private final EdgeLinks edges;
    private final Supplier<String> tallies;

    /**
     * Reads the other parts at each query.
     *
     * @param tallies the report on tallies
     */
    public ShellQueries(
            Settings settings,
            ChainMember chain,
            Registry registry,
            PlacementService placement,
            EdgeLinks edges,
            Supplier<String> tallies) {
        this.settings = settings;
        this.chain = chain;
        this.registry = registry;
        this.placement = placement;
        this.edges = edges;
        this.tallies = tallies;
    }

    /** The answer to one query, in whole lines. */
    public String answer(String query) {
        var nowUs = Clocks.nowUs();
        return switch (query) {
            case "exposure" -> lines(placement.exposure(), finding -> finding.text() + '\n');
            case "scaling" -> scaling();
            case "members" -> lines(registry.liveEdges(nowUs), edge -> edge(edge, nowUs));
            case "chain" -> chainState(nowUs);
            case "configuration" -> configuration();
            case "replicas" -> lines(registry.replicas(), replica -> replica(replica, nowUs));
            case "evacuations" ->
                    lines(chain.committed().evacuations().zones(), zone -> zone + '\n');
            case "homes" -> homes();
            case "leases" -> leases();
            case "jobs" -> chain.committed().jobs().report(chain.jobClockUs(nowUs));
            case "tallies" -> tallies.get();
            case "traffic" -> LinkTraffic.report();
            case "log" -> RingLog.recent(LOG_LINES);
            default -> preview(query.split(" ")).orElse(USAGE);
        };
    }

    private static <T> String lines(Collection<T> items, Function<T, String> line) {
        return items.stream().map(line).collect(Collectors.joining());
    }

    /** What an order of the operator would strand; empty if the query is not for that. */
    private Optional<String> preview(String[] words) {
        if (words.length != PREVIEW_WORDS
                || !words[0].equals(PREVIEW)
                || !words[2].equals(UNLOAD) && !words[2].equals(LOAD)) {
            return Optional.empty();
        }
        var stranded = placement.strandedBy(words[1], words[2].equals(UNLOAD));
        return Optional.of(
                stranded.isEmpty()
                        ? "ok: nothing is stranded\n"
                        : stranded.stream()
                                .map(PlacementFinding::text)
                                .collect(Collectors.joining("\n", "", "\n")));
    }

    private String scaling() {
        return lines(
                chain.committed().scaling().targets().entrySet(),
                entry -> {
                    var scale = entry.getValue();
                    return String.format(
                            "%s desired %d%s grant %d resting %s\n",
                            entry.getKey(),
                            scale.desired(),
                            scale.pinned() ? " unloaded by the operator" : "",
                            scale.fencingToken(),
                            scale.resting());
                });
    }

    private static String edge(EdgeRecord edge, long nowUs) {
        return String.format(
                "%s %s %s %s%s revision %d lease-age %d ms\n",
                edge.ip(),
                edge.name(),
                edge.zone(),
                edge.ready() ? "ready" : "not-ready",
                edge.draining() ? " leaving" : "",
                edge.configurationRevision(),
                (nowUs - edge.lastRenewalUs()) / US_PER_MS);
    }

    private String chainState(long nowUs) {
        return String.format(
                "mode %s view %d.%s head %s chain %s stale %d ms\nroster %s\n",
                chain.role().label(),
                chain.view().number(),
                chain.view().member(),
                chain.head(),
                chain.chain(),
                chain.stalenessUs(nowUs) / US_PER_MS,
                chain.committed().roster().members());
    }

    private String configuration() {
        var state = chain.committed();
        return "revision "
                + state.configuration().revision()
                + " edition "
                + state.edition()
                + '\n'
                + state.configuration().routingText();
    }

    private static String replica(ReplicaRecord replica, long nowUs) {
        return String.format(
                "%s %s %s %s %s seq %d beat-age %d ms warm-left %d ms\n",
                replica.id(),
                replica.service(),
                replica.address(),
                replica.zone(),
                condition(replica),
                replica.sequence(),
                (nowUs - replica.lastHeartbeatUs()) / US_PER_MS,
                Math.max(0, replica.warmFromUs() - nowUs) / US_PER_MS);
    }

    private static String condition(ReplicaRecord replica) {
        if (replica.ended()) {
            return "gone";
        }
        if (replica.unreachable()) {
            return "silent";
        }
        return replica.draining() ? "draining" : "ready";
    }

    private String homes() {
        var text = new StringBuilder();
        edges.forEach(
                (edgeIp, link) ->
                        text.append(edgeIp)
                                .append(" home ")
                                .append(settings.ipAddress())
                                .append('\n'));
        return text.toString();
    }

    private String leases() {
        return lines(
                chain.committed().leases().byRole().entrySet(),
                entry ->
                        String.format(
                                "%s grant %d holder %s\n",
                                entry.getKey(),
                                entry.getValue().fencingToken(),
                                entry.getValue().holder()));
    }
}
