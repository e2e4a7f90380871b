package martenloom.core.api;

import com.typesafe.config.ConfigException;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.function.BooleanSupplier;
import martenloom.common.clock.Clocks;
import martenloom.common.error.MartenloomException;
import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.log.RingLog;
import martenloom.common.settings.Settings;
import martenloom.core.registry.Registry;
import martenloom.core.registry.ReplicaEndAnnouncer;

/**
 * The calls of replicas: heartbeats and deregistrations. Runs on the reactor thread.
 *
 * <p>That a replica drains or has ended is acknowledged once a majority of the core knows it. A
 * daemon that is cut off has informed those it can reach, but cannot promise that all will know in
 * time, so it gives no acknowledgement and the replica turns to another daemon.
 */
final class ReplicaCalls {
    private static final String ID_FORMAT = "[\\x21-\\x7e]{1,256}";

    private final Settings settings;
    private final Registry registry;
    private final ReplicaEndAnnouncer ends;
    private final BooleanSupplier acceptsHeartbeats;

    /**
     * @param acceptsHeartbeats whether a heartbeat that is taken here reaches an edge
     */
    ReplicaCalls(
            Settings settings,
            Registry registry,
            ReplicaEndAnnouncer ends,
            BooleanSupplier acceptsHeartbeats) {
        this.settings = settings;
        this.registry = registry;
        this.ends = ends;
        this.acceptsHeartbeats = acceptsHeartbeats;
    }

    /**
     * Takes the heartbeat of a replica.
     *
     * @param segment the id of the replica as the path names it
     */
    Promise<HttpResponse> heartbeat(String segment, String json) {
        if (!acceptsHeartbeats.getAsBoolean()) {
            return ApiResponses.refused(
                    HttpStatus.SERVICE_UNAVAILABLE,
                    "no contact with a majority of the core at " + settings.ipAddress());
        }
        ReplicaRecord replica;
        try {
            replica = HeartbeatReader.read(ApiRequests.decode(segment), json, Clocks.nowUs());
        } catch (MartenloomException | ConfigException e) {
            return ApiResponses.badRequest("beat: " + ApiRequests.reason(e));
        }
        registry.accept(replica, true);
        if (replica.draining()) {
            RingLog.debug("replica " + replica.id() + " drains");
            return acknowledgeByMajority(replica.id());
        }
        return Promise.of(ApiResponses.ok());
    }

    /**
     * Ends a replica for good, also one that is not known here yet: its heartbeats may come later
     * than this.
     *
     * @param segment the id of the replica as the path names it
     */
    Promise<HttpResponse> deregister(String segment) {
        var id = ApiRequests.decode(segment);
        if (!id.matches(ID_FORMAT)) {
            return ApiResponses.badRequest("instance: 1 to 256 printable characters are expected");
        }
        RingLog.debug("replica " + id + " is deregistered");
        registry.markEnded(id, Clocks.nowUs());
        return acknowledgeByMajority(id);
    }

    private Promise<HttpResponse> acknowledgeByMajority(String replicaId) {
        var response = new SettablePromise<HttpResponse>();
        ends.announce(
                replicaId,
                majorityKnows ->
                        response.set(
                                majorityKnows
                                        ? ApiResponses.ok()
                                        : ApiResponses.response(
                                                HttpStatus.SERVICE_UNAVAILABLE,
                                                "no majority confirmed it, ask another")));
        return response;
    }
}
