package martenloom.routing.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import martenloom.common.error.ErrorCode;
import martenloom.common.error.InvalidConfigurationException;
import martenloom.routing.language.RoutingLanguage;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/**
 * Configurations are read, checked, merged and turned into the routing language; bad ones name what
 * and where.
 */
final class ConfigurationsTest {
    private static final String ROUTE =
            "{\"Name\":\"r1\",\"Hostname\":\"H.example\",\"PathPrefix\":\"/a/\",\"RouteType\":\"streaming\",\"TimeoutMs\":8000,\"TargetLatencyMs\":800,"
                + "\"Priority\":1,\"TrafficSplit\":[{\"Backend\":\"s1\",\"Weight\":90},{\"Backend\":\"s2\",\"Weight\":10}],\"MaxAttempts\":2,\"SessionAffinity\":true,\"Resumable\":true,"
                + "\"TargetGapMs\":600,\"AllowedRegions\":[\"north\",\"south\"]}";
    private static final String BACKENDS =
            "\"Backends\":[{\"Name\":\"s1\",\"HealthPath\":\"/healthz\",\"MaxConnections\":370,\"WarmupS\":3.0,\"WarmupPerS\":32.0,"
                + "\"InferenceEngine\":{\"Capacity\":64,\"CacheTokens\":400054,\"StepSize\":6,\"Models\":[{\"Name\":\"m\"}]}},{\"Name\":\"s2\",\"HealthPath\":\"/h\",\"MaxConnections\":110}]";
    private static final String LIMITS =
            "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}";
    private static final String GOOD =
            "{\"Revision\":7,\"Routes\":[" + ROUTE + "]," + BACKENDS + "," + LIMITS + "}";

    @Test
    void aConfigurationBecomesRoutingText() {
        Approvals.verify(Configurations.replace(GOOD).routingText());
    }

    @Test
    void theRoutingTextCompilesToTheSameTable() {
        var routingText = Configurations.replace(GOOD).routingText();
        var table = RoutingLanguage.compile(routingText);
        assertEquals(routingText, RoutingLanguage.print(table));
        assertEquals("r1", table.find("h.example", "/a/b/c").get().name());
        assertTrue(table.find("h.example", "/ab").isEmpty());
        assertTrue(table.find("other", "/a/").isEmpty());
    }

    @Test
    void anUpdateAddsReplacesAndRemoves() {
        var updated =
                Configurations.update(
                        GOOD,
                        "{\"Revision\":9,\"Upsert\":{\"Routes\":["
                                + ROUTE.replace("8000", "7000")
                                + ","
                                + ROUTE.replace("r1", "r2").replace("/a/", "/b/")
                                + "]},\"Remove\":{\"Routes\":[\"none\"]}}");
        assertEquals(9, updated.revision());
        var table = RoutingLanguage.compile(updated.routingText());
        assertEquals(7_000_000, table.find("h.example", "/a/").get().timeoutUs());
        assertEquals(2, table.routes().size());
        var removed =
                Configurations.update(
                        updated.json(), "{\"Revision\":10,\"Remove\":{\"Routes\":[\"r1\"]}}");
        assertTrue(
                RoutingLanguage.compile(removed.routingText()).find("h.example", "/a/x").isEmpty());
        assertEquals(
                3.0,
                JsonText.parse(removed.json())
                        .getConfigList("Backends")
                        .get(0)
                        .getDouble("WarmupS"),
                "what was not named stays as it was sent");
    }

    private static void assertRejected(String json, String word) {
        var error =
                assertThrows(
                        InvalidConfigurationException.class, () -> Configurations.replace(json));
        assertEquals(ErrorCode.CONFIGURATION, error.code());
        assertTrue(error.getMessage().contains(word), error.getMessage());
        assertFalse(error.getMessage().contains("\n"));
    }

    @Test
    void badConfigurationsAreRejectedWithTheReason() {
        assertRejected(GOOD.substring(0, GOOD.length() / 2), "");
        assertRejected(GOOD.replace("8000", "0"), "time-out");
        assertRejected(GOOD.replace("s2\",\"Weight\":10", "s9\",\"Weight\":10"), "s9");
        assertRejected(
                GOOD.replace("\"Weight\":90},{\"Backend\":\"s2\",\"Weight\":10}", "\"Weight\":0}"),
                "weights");
        assertRejected(GOOD.replace("streaming", "sideways"), "sideways");
        assertRejected(GOOD.replace("\"Revision\":7", "\"Revision\":0"), "Revision");
        assertRejected(
                GOOD.replace(
                        "[" + ROUTE + "]", "[" + ROUTE + "," + ROUTE.replace("r1", "r2") + "]"),
                "prefix");
    }
}
