package martenloom.launcher.harness;

/**
 * A route of a test's configuration.
 *
 * @param type the route type as the configuration names it
 * @param resumable whether a cut stream may go on at another replica
 * @param allowedRegion the only region that may serve it; empty where any may
 */
public record TestRoute(
        String name,
        String pathPrefix,
        String type,
        String service,
        int maxAttempts,
        boolean resumable,
        String allowedRegion,
        int timeoutMs) {
    private static final int TIMEOUT_MS = 8_000;

    /** A route with the usual time limit that is not resumable and that any region may serve. */
    public TestRoute(String name, String pathPrefix, String type, String service, int maxAttempts) {
        this(name, pathPrefix, type, service, maxAttempts, false, "", TIMEOUT_MS);
    }

    /** The same route, resumable. */
    public TestRoute asResumable() {
        return new TestRoute(
                name, pathPrefix, type, service, maxAttempts, true, allowedRegion, timeoutMs);
    }

    /** The same route, served in one region only. */
    public TestRoute onlyIn(String region) {
        return new TestRoute(
                name, pathPrefix, type, service, maxAttempts, resumable, region, timeoutMs);
    }

    /** The same route with another time limit. */
    public TestRoute withTimeoutMs(int limitMs) {
        return new TestRoute(
                name, pathPrefix, type, service, maxAttempts, resumable, allowedRegion, limitMs);
    }

    String json() {
        return "{\"Name\":\""
                + name
                + "\",\"Hostname\":\"cluster.example\",\"PathPrefix\":\""
                + pathPrefix
                + "\",\"RouteType\":\""
                + type
                + "\",\"TimeoutMs\":"
                + timeoutMs
                + ",\"TargetLatencyMs\":2000,\"Priority\":0,\"Backend\":\""
                + service
                + "\",\"MaxAttempts\":"
                + maxAttempts
                + ",\"SessionAffinity\":false,\"Resumable\":"
                + resumable
                + ",\"TargetGapMs\":800,\"AllowedRegions\":["
                + (allowedRegion.isEmpty() ? "" : '"' + allowedRegion + '"')
                + "]}";
    }
}
