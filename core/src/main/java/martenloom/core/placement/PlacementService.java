package martenloom.core.placement;

import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.function.Function;
import martenloom.common.log.RingLog;
import martenloom.common.settings.Settings;
import martenloom.core.chain.ChainMember;
import martenloom.core.registry.Registry;
import martenloom.core.state.ClusterState;
import martenloom.core.state.Command.Placing;
import martenloom.core.state.ReplicaTarget;
import martenloom.routing.placement.Placement;
import martenloom.routing.placement.PlacementFinding;
import martenloom.routing.route.RouteTable;

/**
 * What runs where, for the placement check: the survey that the chain's head takes in the step that
 * decides a change, what the loss of any one region would strand now, and what an order would
 * bring. The check itself is pure and lies with the routing text; the refusal is the chain's.
 */
public final class PlacementService {
    private final Settings settings;
    private final ChainMember chain;
    private final Registry registry;
    private final Function<ClusterState, RouteTable> table;

    public PlacementService(
            Settings p,
            ChainMember chain,
            Registry registry,
            Function<ClusterState, RouteTable> table) {
        settings = p;
        this.chain = chain;
        this.registry = registry;
        this.table = table;
    }

    /** What is registered and would run now, those that rest by order among them. */
    public Placement now() {
        var p = new Placement();
        var ev = chain.committed().evacuations().zones();
        for (var r : registry.replicas()) {
            if (!r.ended() && !r.draining() && !r.unreachable() && !ev.contains(r.zone())) {
                p.addReplica(r.service(), settings.regionOf(r.zone()), r.id());
            }
        }
        return p;
    }

    public SortedSet<PlacementFinding> exposure() {
        var s = chain.committed();
        var t = table.apply(s);
        return s.scaling().serving(now(), t).findings(t);
    }

    private Set<PlacementFinding> exposed = Set.of();

    /**
     * The head says once what has become exposed, whoever brought it about: an order of the
     * operator, a crash, a loss.
     */
    public void watch(long now) {
        if (!chain.isHead()
                || now - chain.headSinceUs() < 4_000_000
                || chain.committed().configuration().revision() == 0) {
            return;
        }
        var f = exposure();
        f.stream()
                .filter(x -> !exposed.contains(x))
                .forEach(x -> RingLog.info("exposure: " + x.text()));
        exposed.stream()
                .filter(x -> !f.contains(x))
                .forEach(x -> RingLog.debug("exposure ended: " + x.text()));
        exposed = f;
    }

    /** What an operator's order would bring, without giving it. */
    public String would(String key, String order) {
        var s = chain.committed();
        var t = table.apply(s);
        var target =
                Placing.ofWireName(order) == Placing.UNLOAD
                        ? Optional.of(ReplicaTarget.UNLOADED)
                        : Optional.<ReplicaTarget>empty();
        var bad = s.scaling().newlyExposed(s.scaling().withTarget(key, target), now(), t);
        return bad.isEmpty()
                ? "ok: nothing is stranded\n"
                : String.join("\n", bad.stream().map(PlacementFinding::text).toList()) + "\n";
    }
}
