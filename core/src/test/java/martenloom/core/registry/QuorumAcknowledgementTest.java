package martenloom.core.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** When a majority is said to know. */
final class QuorumAcknowledgementTest {
    private final List<Boolean> outcomes = new ArrayList<>();

    @Test
    void aMajorityOfTheRosterDecidesOnce() {
        var quorum = new QuorumAcknowledgement(List.of("a", "b", "c", "d"), outcomes::add);
        quorum.acknowledgedBy("a");
        quorum.acknowledgedBy("b");
        quorum.acknowledgedBy("b");
        quorum.acknowledgedBy("stranger");
        assertEquals(List.of(), outcomes);
        quorum.acknowledgedBy("c");
        quorum.acknowledgedBy("d");
        quorum.timedOut();
        assertEquals(List.of(true), outcomes);
    }

    @Test
    void lateAcknowledgementsDoNotUndoATimeout() {
        var quorum = new QuorumAcknowledgement(List.of("a"), outcomes::add);
        quorum.timedOut();
        quorum.acknowledgedBy("a");
        assertEquals(List.of(false), outcomes);
    }
}
