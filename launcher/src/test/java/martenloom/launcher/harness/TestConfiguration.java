package martenloom.launcher.harness;

import java.util.ArrayList;
import java.util.List;

/**
 * The configuration that the tests order: routes of every type to a plain service and to one model,
 * and whatever routes a test adds. Immutable; each method gives the text of an order.
 */
public final class TestConfiguration {
    /** A route that the configuration has and that a test may take out again. */
    public static final TestRoute STREAM_ONCE =
            new TestRoute("streamo", "/o/", "streaming", "model", 1);

    private static final List<TestRoute> ROUTES =
            List.of(
                    new TestRoute("safe", "/safe/", "idempotent", "plain", 3),
                    new TestRoute("once", "/once/", "non_idempotent", "plain", 1),
                    new TestRoute("streamr", "/r/", "streaming", "model", 2).asResumable(),
                    STREAM_ONCE,
                    new TestRoute("home", "/home/", "idempotent", "plain", 2).onlyIn("north"));

    private TestConfiguration() {}

    /** The configuration with this revision and these routes besides the usual ones. */
    public static String of(int revision, TestRoute... more) {
        var routes = new ArrayList<>(ROUTES);
        routes.addAll(List.of(more));
        return json(revision, routes);
    }

    /** The configuration without one of its usual routes. */
    public static String without(TestRoute route, int revision) {
        return json(revision, ROUTES.stream().filter(each -> !each.equals(route)).toList());
    }

    /** An update that adds or replaces one route. */
    public static String upsert(int revision, TestRoute route) {
        return "{\"Revision\":" + revision + ",\"Upsert\":{\"Routes\":[" + route.json() + "]}}";
    }

    private static String json(int revision, List<TestRoute> routes) {
        return "{\"Revision\":"
                + revision
                + ",\"Routes\":["
                + String.join(",", routes.stream().map(TestRoute::json).toList())
                + "],\"Backends\":[{\"Name\":\"plain\",\"HealthPath\":\"/h\",\"MaxConnections\":60,\"WarmupS\":0,\"WarmupPerS\":0},"
                + "{\"Name\":\"model\",\"HealthPath\":\"/h\",\"MaxConnections\":60,\"WarmupS\":1.0,\"WarmupPerS\":8.0,\"InferenceEngine\":{\"Capacity\":8,\"CacheTokens\":100000,\"StepSize\":5,"
                + "\"Models\":[{\"Name\":\"m\"}]}}],\"Limits\":{\"MaxHeaderBytes\":8192,\"MaxBodyBytes\":100000,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
    }
}
