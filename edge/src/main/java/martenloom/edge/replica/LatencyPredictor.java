package martenloom.edge.replica;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import martenloom.routing.route.Route;
import martenloom.routing.route.ServiceSpec;

/**
 * Predicts how long a replica would take to the first token of a request, by its load, its prefix
 * cache and what was learned of its speed and of the sizes of prompts. Runs on the reactor thread.
 */
public final class LatencyPredictor {
    /** The tokens that an engine prefills in one step, beside the decoding of its streams. */
    public static final int PREFILL_CHUNK_TOKENS = 4000;

    private static final double SERVICE_RATE_WEIGHT_UP = 0.1;
    private static final double SERVICE_RATE_WEIGHT_DOWN = 0.015;
    private static final double PROMPT_SIZE_WEIGHT = 0.05;

    /** What an engine takes for a request besides prefill. */
    private static final double ENGINE_BASE_US = 20_000;

    /** What each request in flight adds at an engine, and each one above its capacity. */
    private static final double ENGINE_IN_FLIGHT_US = 700;

    private static final double ENGINE_OVERFLOW_US = 15_000;

    /** The share of the service time that each request in flight adds at a plain service. */
    private static final double PLAIN_IN_FLIGHT_SHARE = 0.05;

    /** The share of the pending prefill that a request of the highest rank waits for. */
    private static final double URGENT_WAIT_SHARE = 0.15;

    private final Map<String, Double> prefillTokensPerMs = new HashMap<>();
    private final Map<String, Double> usualPromptTokens = new HashMap<>();

    /** The prefill rate of a service, in tokens a millisecond. */
    double serviceRate(String service) {
        return prefillTokensPerMs.getOrDefault(
                service, LatencyEstimate.INITIAL_PREFILL_TOKENS_PER_MS);
    }

    /**
     * Takes a sample of the prefill rate of a replica. The prefill that others may have caused is
     * not counted, so a sample errs low: it pulls up faster than down. An edge among many sees each
     * replica seldom, so a replica's rate is that of its service until it was seen some times
     * itself.
     *
     * @param ofService all replicas of its service
     */
    void learnPrefillRate(
            ReplicaEndpoint replica, List<ReplicaEndpoint> ofService, double tokensPerMs) {
        var rate = serviceRate(replica.service());
        rate +=
                (tokensPerMs - rate)
                        * (tokensPerMs > rate ? SERVICE_RATE_WEIGHT_UP : SERVICE_RATE_WEIGHT_DOWN);
        prefillTokensPerMs.put(replica.service(), rate);
        replica.latency().onPrefill(tokensPerMs);
        for (var each : ofService) {
            each.latency().onServiceRate(rate);
        }
    }

    /** The usual size of a route's prompts, in tokens. */
    public double usualPromptTokens(Route route) {
        return usualPromptTokens.getOrDefault(route.name(), 0.0);
    }

    /** Takes the size of a prompt. */
    public void learnPromptSize(Route route, Prompt prompt) {
        var usual = usualPromptTokens.getOrDefault(route.name(), (double) prompt.tokens());
        usualPromptTokens.put(route.name(), usual + (prompt.tokens() - usual) * PROMPT_SIZE_WEIGHT);
    }

    /**
     * The predicted time from now to the first token of a request (or to the whole answer, for a
     * plain service), in microseconds.
     *
     * @param assumeShared whether the replica is taken to have the shared segments of the prompt
     */
    public double predictUs(
            ReplicaEndpoint replica,
            ServiceSpec service,
            Route route,
            Prompt prompt,
            boolean assumeShared,
            long now) {
        return service.inferenceEngine()
                ? predictEngineUs(replica, route, prompt, assumeShared, now)
                : predictPlainUs(replica, now);
    }

    /**
     * The predicted time from now to the first token of a new prompt, by the load of its engine
     * alone, in microseconds.
     */
    public static double predictNewPromptUs(ReplicaEndpoint replica, long now) {
        var inFlight = replica.load().inFlight(now);
        var capacity = Math.max(1, replica.capacity());
        return ENGINE_BASE_US
                + replica.load().pendingPrefillTokens(now)
                        / replica.latency().prefillTokensPerMs()
                        * 1000
                + inFlight * ENGINE_IN_FLIGHT_US
                + (inFlight > capacity ? (inFlight - capacity) * ENGINE_OVERFLOW_US : 0);
    }

    private static double predictPlainUs(ReplicaEndpoint replica, long now) {
        var inFlight = replica.load().inFlight(now);
        var capacity = Math.max(1, replica.capacity());
        var latency = replica.latency();
        var serviceUs = latency.serviceTimeUs();
        var waitUs = inFlight < capacity ? 0 : (inFlight - capacity + 1.0) / capacity * serviceUs;
        return latency.roundTripUs()
                + serviceUs
                + waitUs
                + inFlight * serviceUs * PLAIN_IN_FLIGHT_SHARE;
    }

    private double predictEngineUs(
            ReplicaEndpoint replica, Route route, Prompt prompt, boolean assumeShared, long now) {
        var inFlight = replica.load().inFlight(now);
        var capacity = Math.max(1, replica.capacity());
        var latency = replica.latency();
        var pending = replica.load().pendingPrefillTokens(now);
        var ahead =
                route.priority() == 0
                        ? Math.min(pending, PREFILL_CHUNK_TOKENS) + pending * URGENT_WAIT_SHARE
                        : pending;
        var own =
                Math.min(
                        replica.prefixCache().missingTokens(prompt, assumeShared),
                        Math.max(2 * usualPromptTokens(route), PREFILL_CHUNK_TOKENS));
        var predictedUs =
                latency.roundTripUs()
                        + ENGINE_BASE_US
                        + (ahead + own) / latency.prefillTokensPerMs() * 1000
                        + inFlight * ENGINE_IN_FLIGHT_US;
        return inFlight < capacity
                ? predictedUs
                : predictedUs + (inFlight - capacity + 1) * ENGINE_OVERFLOW_US;
    }
}
