package martenloom.core.api;

import io.activej.eventloop.Eventloop;
import java.util.function.BooleanSupplier;
import martenloom.common.settings.Settings;
import martenloom.core.chain.ChainMember;
import martenloom.core.configuration.CompiledRoutes;
import martenloom.core.forwarding.CommandForwarder;
import martenloom.core.peer.PeerRegions;
import martenloom.core.registry.Registry;
import martenloom.core.registry.ReplicaEndAnnouncer;
import martenloom.core.tally.TallyReplica;

/**
 * What the control API needs of the daemon.
 *
 * @param forwarder submits commands to the head of the chain
 * @param ends announces that a replica drains or has ended
 * @param acceptsHeartbeats whether a heartbeat that is taken here reaches an edge
 */
public record ControlServices(
        Eventloop loop,
        Settings settings,
        ChainMember chain,
        CompiledRoutes routes,
        Registry registry,
        PeerRegions regions,
        CommandForwarder forwarder,
        ReplicaEndAnnouncer ends,
        BooleanSupplier acceptsHeartbeats,
        TallyReplica tallies) {}
