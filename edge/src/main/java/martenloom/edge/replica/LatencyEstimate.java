package martenloom.edge.replica;

/**
 * How fast one replica was seen to be: moving averages of its round trip, of the service time of a
 * plain request and of the prefill rate. Runs on the reactor thread.
 */
public final class LatencyEstimate {
    /** Tokens a millisecond that a replica is taken to prefill before any was seen. */
    static final double INITIAL_PREFILL_TOKENS_PER_MS = 25;

    private static final int MIN_OWN_SAMPLES = 8;
    private static final double ROUND_TRIP_WEIGHT = 0.3;
    private static final double SERVICE_TIME_WEIGHT = 0.05;
    private static final double RATE_WEIGHT_UP = 0.2;
    private static final double RATE_WEIGHT_DOWN = 0.03;
    private static final double MIN_SERVICE_TIME_US = 1000;

    private double prefillTokensPerMs = INITIAL_PREFILL_TOKENS_PER_MS;
    private double serviceTimeUs = 30_000;
    private double roundTripUs = 1_000;
    private int prefillSamples;

    LatencyEstimate(double prefillTokensPerMs) {
        this.prefillTokensPerMs = prefillTokensPerMs;
    }

    /** The tokens that the replica prefills in a millisecond. */
    public double prefillTokensPerMs() {
        return prefillTokensPerMs;
    }

    /** The time in which the replica answers a plain request, in microseconds. */
    public double serviceTimeUs() {
        return serviceTimeUs;
    }

    /** The time to open a connection, in microseconds. */
    public double roundTripUs() {
        return roundTripUs;
    }

    /** Takes the time in which a connection was opened. */
    public void onConnected(long tookUs) {
        roundTripUs += (tookUs - roundTripUs) * ROUND_TRIP_WEIGHT;
    }

    /** Takes the time from sending a plain request to its complete response. */
    public void onAnswered(long tookUs) {
        serviceTimeUs +=
                (Math.max(MIN_SERVICE_TIME_US, tookUs - roundTripUs) - serviceTimeUs)
                        * SERVICE_TIME_WEIGHT;
    }

    /** Takes a sample of the prefill rate, in tokens a millisecond. */
    void onPrefill(double tokensPerMs) {
        prefillSamples++;
        prefillTokensPerMs +=
                (tokensPerMs - prefillTokensPerMs)
                        * (tokensPerMs > prefillTokensPerMs ? RATE_WEIGHT_UP : RATE_WEIGHT_DOWN);
    }

    /** Takes the rate of the service as long as this replica was seen too seldom itself. */
    void onServiceRate(double tokensPerMs) {
        if (prefillSamples < MIN_OWN_SAMPLES) {
            prefillTokensPerMs = tokensPerMs;
        }
    }
}
