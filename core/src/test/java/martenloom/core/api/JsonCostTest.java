package martenloom.core.api;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which bodies are refused before they are parsed. */
final class JsonCostTest {
    @Test
    void depthIsBounded() {
        assertTrue(JsonCost.refusalOf("[".repeat(64) + "]".repeat(64)).isEmpty());
        assertTrue(JsonCost.refusalOf("{\"a\":" + "[".repeat(64)).isPresent());
    }

    @Test
    void valuesAreBounded() {
        var items = (int) (Runtime.getRuntime().maxMemory() / 3 / 400);
        assertTrue(JsonCost.refusalOf("[" + "0,".repeat(items) + "0]").isPresent());
        assertTrue(JsonCost.refusalOf("[" + "0,".repeat(1_000) + "0]").isEmpty());
    }

    /**
     * Guards against nesting behind three quotes, which the parser takes for a string of its own.
     */
    @Test
    void noStringHidesWhatStandsBehindIt() {
        var hidden = "{\"a\":[\"\"\"\\\"\"\"," + "[".repeat(100);
        assertTrue(JsonCost.refusalOf(hidden).isPresent());
        assertTrue(JsonCost.refusalOf("\"\"\"").isPresent());
        assertTrue(JsonCost.refusalOf("{\"a\":\"\",\"\":\"\\\"\"}").isEmpty());
    }

    @Test
    void whatStandsInStringsDoesNotCount() {
        assertTrue(JsonCost.refusalOf("{\"Body\":\"\\\"" + "[".repeat(100) + "\"}").isEmpty());
    }
}
