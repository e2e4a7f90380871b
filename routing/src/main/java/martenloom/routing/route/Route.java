package martenloom.routing.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A route as the configuration describes it. Immutable; times are whole microseconds. */
public final class Route {
    private final String name;

    /** The host name of its requests, in lower case. */
    private final String host;

    /** Begins and ends with a slash. */
    private final String pathPrefix;

    private final RouteKind kind;

    /** The time for a whole request with all its attempts. */
    private final long timeoutUs;

    /** The latency that its requests should keep to. */
    private final long latencyTargetUs;

    /** The longest gap that a stream should have between two parts; 0 for no target. */
    private final long tokenGapTargetUs;

    private final int priority;
    private final int maxAttempts;

    /** Whether a stream can be resumed by another attempt. */
    private final boolean resumable;

    /** Whether the requests of a session go to the same replica. */
    private final boolean sessionAffinity;

    private final List<WeightedService> trafficSplit;

    /** The regions in which its requests may be served; empty for all. */
    private final Set<String> allowedRegions;

    private Route(Builder builder) {
        name = builder.name;
        host = builder.host;
        pathPrefix = builder.pathPrefix;
        kind = builder.kind;
        timeoutUs = builder.timeoutUs;
        latencyTargetUs = builder.latencyTargetUs;
        tokenGapTargetUs = builder.tokenGapTargetUs;
        priority = builder.priority;
        maxAttempts = builder.maxAttempts;
        resumable = builder.resumable;
        sessionAffinity = builder.sessionAffinity;
        trafficSplit = List.copyOf(builder.trafficSplit);
        allowedRegions = Collections.unmodifiableSet(builder.allowedRegions);
    }

    public static Builder builder() {
        return new Builder();
    }

    public String name() {
        return name;
    }

    public String host() {
        return host;
    }

    public String pathPrefix() {
        return pathPrefix;
    }

    public RouteKind kind() {
        return kind;
    }

    public long timeoutUs() {
        return timeoutUs;
    }

    public long latencyTargetUs() {
        return latencyTargetUs;
    }

    public long tokenGapTargetUs() {
        return tokenGapTargetUs;
    }

    public int priority() {
        return priority;
    }

    public int maxAttempts() {
        return maxAttempts;
    }

    public boolean resumable() {
        return resumable;
    }

    public boolean sessionAffinity() {
        return sessionAffinity;
    }

    public List<WeightedService> trafficSplit() {
        return trafficSplit;
    }

    public Set<String> allowedRegions() {
        return allowedRegions;
    }

    /** Whether a request whose outcome is unknown may be sent again. */
    public boolean retriable() {
        return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAMING && resumable;
    }

    /** Whether requests of this route may be served in a region. */
    public boolean allows(String region) {
        return allowedRegions.isEmpty() || allowedRegions.contains(region);
    }

    /** The weights of all services together. */
    public int weightSum() {
        var sum = 0;
        for (var share : trafficSplit) {
            sum += share.weight();
        }
        return sum;
    }

    /**
     * Picks a service by weight.
     *
     * @param ticket any number; the caller spreads its numbers evenly
     */
    public String pickService(int ticket) {
        var sum = weightSum();
        var left = sum < 1 ? 0 : Math.floorMod(ticket, sum);
        for (var share : trafficSplit) {
            left -= share.weight();
            if (left < 0) {
                return share.service();
            }
        }
        return trafficSplit.isEmpty() ? "" : trafficSplit.get(0).service();
    }

    /** Collects the fields of a route. Not thread-safe; builds one route. */
    public static final class Builder {
        private String name = "";
        private String host = "";
        private String pathPrefix = "/";
        private RouteKind kind = RouteKind.NON_IDEMPOTENT;
        private long timeoutUs;
        private long latencyTargetUs;
        private long tokenGapTargetUs;
        private int priority = 1;
        private int maxAttempts = 1;
        private boolean resumable;
        private boolean sessionAffinity;
        private final List<WeightedService> trafficSplit = new ArrayList<>();
        private final Set<String> allowedRegions = new LinkedHashSet<>();

        private Builder() {}

        public Builder name(String value) {
            name = value;
            return this;
        }

        public Builder host(String value) {
            host = value;
            return this;
        }

        public Builder pathPrefix(String value) {
            pathPrefix = value;
            return this;
        }

        public Builder kind(RouteKind value) {
            kind = value;
            return this;
        }

        public Builder timeoutUs(long value) {
            timeoutUs = value;
            return this;
        }

        public Builder latencyTargetUs(long value) {
            latencyTargetUs = value;
            return this;
        }

        public Builder tokenGapTargetUs(long value) {
            tokenGapTargetUs = value;
            return this;
        }

        public Builder priority(int value) {
            priority = value;
            return this;
        }

        public Builder maxAttempts(int value) {
            maxAttempts = value;
            return this;
        }

        public Builder resumable(boolean value) {
            resumable = value;
            return this;
        }

        public Builder sessionAffinity(boolean value) {
            sessionAffinity = value;
            return this;
        }

        /** Adds a service with its weight. */
        public Builder addService(String service, int weight) {
            trafficSplit.add(new WeightedService(service, weight));
            return this;
        }

        /** Adds regions in which the requests may be served. */
        public Builder allowRegions(Collection<String> regions) {
            allowedRegions.addAll(regions);
            return this;
        }

        public Route build() {
            return new Route(this);
        }
    }
}
