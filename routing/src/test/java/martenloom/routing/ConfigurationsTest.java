package martenloom.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import martenloom.common.error.ErrorCode;
import martenloom.common.error.MartenloomException;
import martenloom.routing.configuration.Configurations;
import martenloom.routing.configuration.JsonText;
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
        var m = Configurations.replace(GOOD).routingText();
        assertEquals(m, RoutingLanguage.print(RoutingLanguage.compile(m)));
        var t = RoutingLanguage.compile(m);
        assertEquals("r1", t.find("h.example", "/a/b/c").get().name());
        assertTrue(t.find("h.example", "/ab").isEmpty());
        assertTrue(t.find("other", "/a/").isEmpty());
    }

    @Test
    void theLongestPrefixWins() {
        var t =
                RoutingLanguage.compile(
                        "service s health / connections 1\n"
                            + "route a host h under / idempotent within 1ms aim 1ms pause 0ms rank"
                            + " 0 tries 1 to s 1\n"
                            + "route b host h under /x/ idempotent within 1ms aim 1ms pause 0ms"
                            + " rank 0 tries 1 to s 1\n"
                            + "route c host h under /x/y/ idempotent within 1ms aim 1ms pause 0ms"
                            + " rank 0 tries 1 to s 1\n");
        assertEquals("c", t.find("h", "/x/y/z").get().name());
        assertEquals("b", t.find("h", "/x/yy").get().name());
        assertEquals("a", t.find("h", "/q").get().name());
    }

    @Test
    void anUpdateAddsReplacesAndRemoves() {
        var u =
                Configurations.update(
                        GOOD,
                        "{\"Revision\":9,\"Upsert\":{\"Routes\":["
                                + ROUTE.replace("8000", "7000")
                                + ","
                                + ROUTE.replace("r1", "r2").replace("/a/", "/b/")
                                + "]},\"Remove\":{\"Routes\":[\"none\"]}}");
        assertEquals(9, u.revision());
        var t = RoutingLanguage.compile(u.routingText());
        assertEquals(7_000_000, t.find("h.example", "/a/").get().timeoutUs());
        assertEquals(2, t.routes().size());
        var d =
                Configurations.update(
                        u.json(), "{\"Revision\":10,\"Remove\":{\"Routes\":[\"r1\"]}}");
        assertTrue(RoutingLanguage.compile(d.routingText()).find("h.example", "/a/x").isEmpty());
        assertEquals(
                3.0,
                JsonText.parse(d.json()).getConfigList("Backends").get(0).getDouble("WarmupS"),
                "what was not named stays as it was sent");
    }

    private static void bad(String json, String word) {
        var f = assertThrows(MartenloomException.class, () -> Configurations.replace(json));
        assertEquals(ErrorCode.CONFIGURATION, f.code());
        assertTrue(f.getMessage().contains(word), f.getMessage());
        assertFalse(f.getMessage().contains("\n"));
    }

    @Test
    void badConfigurationsAreRefusedWithTheReason() {
        bad(GOOD.substring(0, GOOD.length() / 2), "");
        bad(GOOD.replace("8000", "0"), "time-out");
        bad(GOOD.replace("s2\",\"Weight\":10", "s9\",\"Weight\":10"), "s9");
        bad(
                GOOD.replace("\"Weight\":90},{\"Backend\":\"s2\",\"Weight\":10}", "\"Weight\":0}"),
                "weights");
        bad(GOOD.replace("streaming", "sideways"), "sideways");
        bad(GOOD.replace("\"Revision\":7", "\"Revision\":0"), "Revision");
        bad(
                GOOD.replace(
                        "[" + ROUTE + "]", "[" + ROUTE + "," + ROUTE.replace("r1", "r2") + "]"),
                "prefix");
    }

    @Test
    void theCompilerNamesLineAndColumn() {
        var f =
                assertThrows(
                        MartenloomException.class,
                        () ->
                                RoutingLanguage.compile(
                                        "revision 3\nservice s health /h connections many\n"));
        assertTrue(f.getMessage().contains("line 2 column 33"), f.getMessage());
    }
}
