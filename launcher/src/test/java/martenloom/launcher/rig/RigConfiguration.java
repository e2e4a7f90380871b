package martenloom.launcher.rig;

/** The configuration that the rig orders: so many routes to a backend for each model. */
final class RigConfiguration {
    private static final int TIMEOUT_MS = 5_000;

    /** Every route of this many allows one region only. */
    private static final int BOUND_ROUTES = 3;

    private RigConfiguration() {}

    /** The text of the order; the time limit of the routes changes with the revision. */
    static String of(RigSize size, int revision) {
        var text = new StringBuilder("{\"Revision\":" + revision + ",\"Routes\":[");
        for (var i = 0; i < size.routes(); i++) {
            text.append(i == 0 ? "" : ",").append(route(size, revision, i));
        }
        text.append("],\"Backends\":[");
        for (var i = 0; i < size.models(); i++) {
            text.append(i == 0 ? "" : ",").append(backend(i));
        }
        return text.append("]}").toString();
    }

    private static String route(RigSize size, int revision, int number) {
        return "{\"Name\":\"r"
                + number
                + "\",\"Hostname\":\"t"
                + number
                + ".example\",\"PathPrefix\":\"/p/\",\"RouteType\":\"streaming\",\"TimeoutMs\":"
                + (TIMEOUT_MS + revision)
                + ",\"TargetLatencyMs\":800,\"Priority\":1,\"Backend\":\"s"
                + number % size.models()
                + "\",\"MaxAttempts\":2,\"SessionAffinity\":true,\"Resumable\":true,\"TargetGapMs\":600,\"AllowedRegions\":["
                + (number % BOUND_ROUTES == 0 ? "\"" + size.region(number) + "\"" : "")
                + "]}";
    }

    private static String backend(int number) {
        return "{\"Name\":\"s"
                + number
                + "\",\"HealthPath\":\"/h\",\"MaxConnections\":600,\"WarmupS\":3,\"WarmupPerS\":27,\"InferenceEngine\":{\"Capacity\":32,\"CacheTokens\":400000,\"Models\":[{\"Name\":\"m"
                + number
                + "\"}]}}";
    }
}
