package martenloom.core.admin;

import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
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

/**
 * Answers the queries of the operator's shell in plain text. Only reads; a query that is not known
 * is answered by a list of those that are. Runs on the reactor thread.
 */
public final class ShellQueries {
    private static final int LOG_LINES = 200;
    private static final String USAGE =
            "? members chain configuration replicas evacuations homes leases jobs"
                    + " scaling exposure traffic log; would REGION/MODEL unload|load\n";

    private final Settings settings;
    private final ChainMember chain;
    private final Registry registry;
    private final PlacementService placement;
    private final EdgeLinks homes;

    public ShellQueries(
            Settings settings,
            ChainMember chain,
            Registry registry,
            PlacementService placement,
            EdgeLinks homes) {
        this.settings = settings;
        this.chain = chain;
        this.registry = registry;
        this.placement = placement;
        this.homes = homes;
    }

    public String answer(String query) {
        var words = query.split(" ");
        if (words.length == 3
                && words[0].equals("would")
                && (words[2].equals("unload") || words[2].equals("load"))) {
            return placement.would(words[1], words[2]);
        }
        var now = Clocks.nowUs();
        return switch (query) {
            case "exposure" -> lines(placement.exposure().stream(), f -> f.text() + '\n');
            case "scaling" -> scaling();
            case "members" -> lines(registry.members(now).stream(), e -> member(e, now));
            case "chain" -> chainState(now);
            case "configuration" -> configuration();
            case "replicas" -> lines(registry.replicas().stream(), r -> replica(r, now));
            case "evacuations" ->
                    lines(chain.committed().evacuations().zones().stream(), zone -> zone + '\n');
            case "homes" -> homes();
            case "leases" -> leases();
            case "jobs" -> chain.committed().jobs().report(chain.jobClockUs(now));
            case "traffic" -> LinkTraffic.report();
            case "log" -> RingLog.recent(LOG_LINES);
            default -> USAGE;
        };
    }

    private static <T> String lines(Stream<T> items, Function<T, String> line) {
        return items.map(line).collect(Collectors.joining());
    }

    private String scaling() {
        return lines(
                chain.committed().scaling().targets().entrySet().stream(),
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

    private static String member(EdgeRecord edge, long now) {
        return String.format(
                "%s %s %s %s%s revision %d lease-age %d ms\n",
                edge.ip(),
                edge.name(),
                edge.zone(),
                edge.ready() ? "ready" : "not-ready",
                edge.draining() ? " leaving" : "",
                edge.configurationRevision(),
                (now - edge.lastRenewalUs()) / 1000);
    }

    private String chainState(long now) {
        return String.format(
                "mode %s view %d.%s head %s chain %s stale %d ms\nroster %s\n",
                chain.role(),
                chain.view().number(),
                chain.view().member(),
                chain.head(),
                chain.chain(),
                chain.stalenessUs(now) / 1000,
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

    private static String replica(ReplicaRecord replica, long now) {
        return String.format(
                "%s %s %s %s %s seq %d beat-age %d ms warm-left %d ms\n",
                replica.id(),
                replica.service(),
                replica.address(),
                replica.zone(),
                condition(replica),
                replica.sequence(),
                (now - replica.lastHeartbeatUs()) / 1000,
                Math.max(0, replica.warmFromUs() - now) / 1000);
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
        homes.forEach(
                (edgeIp, link) ->
                        text.append(edgeIp)
                                .append(" home ")
                                .append(settings.ipAddress())
                                .append('\n'));
        return text.toString();
    }

    private String leases() {
        return lines(
                chain.committed().leases().byRole().entrySet().stream(),
                entry ->
                        String.format(
                                "%s grant %d holder %s\n",
                                entry.getKey(),
                                entry.getValue().fencingToken(),
                                entry.getValue().holder()));
    }
}
