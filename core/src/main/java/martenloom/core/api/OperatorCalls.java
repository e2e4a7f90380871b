package martenloom.core.api;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Function;
import martenloom.common.callers.HttpCallers;
import martenloom.common.settings.Settings;
import martenloom.core.configuration.CompiledRoutes;
import martenloom.core.state.Command;
import martenloom.core.state.Command.Placing;
import martenloom.core.state.Command.SetPlacement;

/**
 * The calls of the operator: configuration, evacuations and placements. Runs on the reactor thread.
 */
final class OperatorCalls {
    private static final HttpHeader BASE_REVISION = HttpHeaders.of("X-Base-Revision");

    private final Settings settings;
    private final CompiledRoutes routes;
    private final CommandCalls commands;
    private final RequestBodies bodies;

    OperatorCalls(
            Settings settings, CompiledRoutes routes, CommandCalls commands, RequestBodies bodies) {
        this.settings = settings;
        this.routes = routes;
        this.commands = commands;
        this.bodies = bodies;
    }

    /**
     * Changes the configuration.
     *
     * @param change the command, from the base revision in the header and the body of the request
     */
    Promise<HttpResponse> changeConfiguration(
            HttpRequest request, BiFunction<Long, String, Command> change) {
        var header = Optional.ofNullable(request.getHeader(BASE_REVISION)).orElse("");
        long baseRevision;
        try {
            baseRevision = Long.parseLong(header.trim());
        } catch (NumberFormatException e) {
            return ApiResponses.badRequest("X-Base-Revision: '" + header + "' is not a number");
        }
        return bodies.read(request, json -> commands.submit(change.apply(baseRevision, json)));
    }

    /**
     * Starts or finishes an evacuation.
     *
     * @param segment the zone as the path names it
     */
    Promise<HttpResponse> evacuate(
            HttpRequest request, String segment, Function<String, Command> order) {
        var zone = ApiRequests.decode(segment);
        if (!settings.regionByZone().containsKey(zone)) {
            return ApiResponses.notFound("zone '" + zone + "' is not known");
        }
        return submitWhileWaiting(request, order.apply(zone));
    }

    /**
     * Takes a region's replicas of a model out of service, or back into it; the head of the chain
     * checks what that strands. Region and model are given as the path names them.
     */
    Promise<HttpResponse> place(
            HttpRequest request, String regionSegment, String modelSegment, Placing placing) {
        var region = ApiRequests.decode(regionSegment);
        var model = ApiRequests.decode(modelSegment);
        if (!settings.regionByZone().containsValue(region)) {
            return ApiResponses.notFound("region '" + region + "' is not known");
        }
        if (!isServed(model)) {
            return ApiResponses.refused(
                    commands.unknownStatus(), "model '" + model + "' is not known");
        }
        return submitWhileWaiting(request, new SetPlacement(region + "/" + model, placing));
    }

    /** Submits an order without a base once its call was read to its end. */
    private Promise<HttpResponse> submitWhileWaiting(HttpRequest request, Command order) {
        return bodies.read(
                request,
                unused -> commands.submitWhileWaiting(order, HttpCallers.callerOf(request)));
    }

    private boolean isServed(String model) {
        return routes.table().services().values().stream()
                .anyMatch(service -> service.inferenceEngine() && service.model().equals(model));
    }
}
