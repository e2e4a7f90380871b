package martenloom.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.log.RingLog;
import martenloom.common.settings.Settings;
import martenloom.core.chain.ChainMember;
import martenloom.core.configuration.CompiledRoutes;
import martenloom.core.registry.Registry;
import martenloom.core.state.ReplicaTarget;
import martenloom.routing.placement.Placement;
import martenloom.routing.placement.PlacementFinding;

/**
 * What runs where, for the placement check: the survey that the head takes in the step that decides
 * a command, what the loss of any one region would strand now, and what an operator's order would
 * bring. The check itself is pure and lies with the routing language; the refusal is the chain's.
 * Runs on the reactor thread.
 */
public final class PlacementService {
    /** A new head waits so long before it reports, until the replicas are known to it. */
    private static final long SETTLING_US = 4_000_000;

    private final Settings settings;
    private final ChainMember chain;
    private final Registry registry;
    private final CompiledRoutes routes;

    /** What was exposed when it was last reported. */
    private Set<PlacementFinding> reported = Set.of();

    /** Reads the registry and the committed state at each call. */
    public PlacementService(
            Settings settings, ChainMember chain, Registry registry, CompiledRoutes routes) {
        this.settings = settings;
        this.chain = chain;
        this.registry = registry;
        this.routes = routes;
    }

    /** What is registered and could serve now, replicas that rest by order included. */
    public Placement current() {
        var placement = new Placement();
        var evacuated = chain.committed().evacuations().zones();
        for (var replica : registry.replicas()) {
            if (isInService(replica) && !evacuated.contains(replica.zone())) {
                placement.addReplica(
                        replica.service(), settings.regionOf(replica.zone()), replica.id());
            }
        }
        return placement;
    }

    private static boolean isInService(ReplicaRecord replica) {
        return !replica.ended() && !replica.draining() && !replica.unreachable();
    }

    /** What the loss of any one region would strand now. */
    public SortedSet<PlacementFinding> exposure() {
        var table = routes.table();
        return chain.committed().scaling().serving(current(), table).findings(table);
    }

    /**
     * Reports once, while this member is the head, what has become exposed, whatever the cause: an
     * order of the operator, a crash, a loss.
     */
    public void reportExposure(long nowUs) {
        if (!chain.isHead()
                || nowUs - chain.headSinceUs() < SETTLING_US
                || chain.committed().configuration().revision() == 0) {
            return;
        }
        var exposed = exposure();
        exposed.stream()
                .filter(finding -> !reported.contains(finding))
                .forEach(finding -> RingLog.info("exposure: " + finding.text()));
        reported.stream()
                .filter(finding -> !exposed.contains(finding))
                .forEach(finding -> RingLog.debug("exposure ended: " + finding.text()));
        reported = exposed;
    }

    /**
     * What would be stranded if the operator unloaded a deployment, or loaded it again; nothing is
     * ordered by that.
     *
     * @param deployment a region and a model, as {@code REGION/MODEL}
     */
    public List<PlacementFinding> strandedBy(String deployment, boolean unload) {
        var scaling = chain.committed().scaling();
        var target = unload ? Optional.of(ReplicaTarget.UNLOADED) : Optional.<ReplicaTarget>empty();
        return scaling.newlyExposed(
                scaling.withTarget(deployment, target), current(), routes.table());
    }
}
