package martenloom.edge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Prompts are read from their header fields; what is malformed there is left out. */
final class PromptTest {
    @Test
    void allSegmentsButTheLastAreShared() {
        var prompt = new Prompt("system:900, tools : 200,own:50", "1150, 17");
        assertEquals(3, prompt.segmentCount());
        assertEquals("system", prompt.segment(0));
        assertEquals("tools", prompt.lastShared());
        assertEquals("own", prompt.own());
        assertEquals(50, prompt.ownTokens());
        assertEquals(1100, prompt.sharedTokens());
        assertEquals(1150, prompt.tokens());
        assertTrue(prompt.hasShared());
        assertTrue(prompt.hasLargeShared());
    }

    @Test
    void malformedSegmentsAreLeftOut() {
        var prompt = new Prompt("a:x,:5, b, c:-1, d:1.5", "many");
        assertEquals(1, prompt.segmentCount());
        assertEquals("d", prompt.own());
        assertEquals(1, prompt.ownTokens());
        assertEquals(0, prompt.tokens());
        assertFalse(prompt.hasShared());
    }

    @Test
    void aRequestWithoutFieldsHasNoSegments() {
        var prompt = new Prompt("", "");
        assertEquals(0, prompt.segmentCount());
        assertEquals(0, prompt.sharedTokens());
        assertFalse(prompt.hasLargeShared());
    }
}
