package martenloom.routing.route;

/** A service as the configuration describes it. Immutable. */
public final class ServiceSpec {
    /** Connections to one replica where the configuration does not say. */
    public static final int DEFAULT_CONNECTIONS = 64;

    /** Stands for a service that the table does not have. */
    public static final ServiceSpec UNKNOWN = builder().build();

    private final String name;

    /** The path of its health check. */
    private final String healthPath;

    /** Connections to one replica, from all edges together. */
    private final int maxConnections;

    /** How long a replica warms up after its start. */
    private final long warmupUs;

    /** Requests that one warming replica may get in a second; 0 for no limit. */
    private final double warmupRequestsPerS;

    /** Whether its replicas are inference engines; otherwise the four fields below are unset. */
    private final boolean inferenceEngine;

    /** Requests that one engine serves at the same time. */
    private final int engineCapacity;

    /** Tokens that the prefix cache of one engine holds. */
    private final long cacheTokens;

    /** Pieces of a prompt that one step of prefill takes. */
    private final int stepSize;

    /** The model that its engines serve. */
    private final String model;

    private ServiceSpec(Builder builder) {
        name = builder.name;
        healthPath = builder.healthPath;
        maxConnections = builder.maxConnections;
        warmupUs = builder.warmupUs;
        warmupRequestsPerS = builder.warmupRequestsPerS;
        inferenceEngine = builder.inferenceEngine;
        engineCapacity = builder.engineCapacity;
        cacheTokens = builder.cacheTokens;
        stepSize = builder.stepSize;
        model = builder.model;
    }

    public static Builder builder() {
        return new Builder();
    }

    public String name() {
        return name;
    }

    public String healthPath() {
        return healthPath;
    }

    public int maxConnections() {
        return maxConnections;
    }

    public long warmupUs() {
        return warmupUs;
    }

    public double warmupRequestsPerS() {
        return warmupRequestsPerS;
    }

    public boolean inferenceEngine() {
        return inferenceEngine;
    }

    public int engineCapacity() {
        return engineCapacity;
    }

    public long cacheTokens() {
        return cacheTokens;
    }

    public int stepSize() {
        return stepSize;
    }

    public String model() {
        return model;
    }

    /**
     * Requests that a warming replica may get in any one second, from all edges together.
     *
     * @param overage the factor by which the configured rate is multiplied
     * @param slack requests that are added to it
     */
    public int coldRequestsPerS(double overage, double slack) {
        return (int) Math.floor(warmupRequestsPerS * overage + slack);
    }

    /** Collects the fields of a service. Not thread-safe. */
    public static final class Builder {
        private String name = "";
        private String healthPath = "/";
        private int maxConnections = DEFAULT_CONNECTIONS;
        private long warmupUs;
        private double warmupRequestsPerS;
        private boolean inferenceEngine;
        private int engineCapacity;
        private long cacheTokens;
        private int stepSize = 1;
        private String model = "";

        private Builder() {}

        public Builder name(String value) {
            name = value;
            return this;
        }

        public Builder healthPath(String value) {
            healthPath = value;
            return this;
        }

        public Builder maxConnections(int value) {
            maxConnections = value;
            return this;
        }

        public Builder warmupUs(long value) {
            warmupUs = value;
            return this;
        }

        public Builder warmupRequestsPerS(double value) {
            warmupRequestsPerS = value;
            return this;
        }

        public Builder inferenceEngine(boolean value) {
            inferenceEngine = value;
            return this;
        }

        public Builder engineCapacity(int value) {
            engineCapacity = value;
            return this;
        }

        public Builder cacheTokens(long value) {
            cacheTokens = value;
            return this;
        }

        public Builder stepSize(int value) {
            stepSize = value;
            return this;
        }

        public Builder model(String value) {
            model = value;
            return this;
        }

        public ServiceSpec build() {
            return new ServiceSpec(this);
        }
    }
}
