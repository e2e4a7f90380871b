package martenloom.core.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** When a majority is said to know. */
final class QuorumAcknowledgementTest {
    private final List<Boolean> told = new ArrayList<>();

    @Test
    void aMajorityOfTheRosterDecidesOnce() {
        var receipt = new QuorumAcknowledgement(List.of("a", "b", "c", "d"), told::add);
        receipt.acknowledgedBy("a");
        receipt.acknowledgedBy("b");
        receipt.acknowledgedBy("b");
        receipt.acknowledgedBy("stranger");
        assertEquals(List.of(), told);
        receipt.acknowledgedBy("c");
        receipt.acknowledgedBy("d");
        receipt.timedOut();
        assertEquals(List.of(true), told);
    }

    @Test
    void lateReceiptsDoNotUndoAFailure() {
        var receipt = new QuorumAcknowledgement(List.of("a"), told::add);
        receipt.timedOut();
        receipt.acknowledgedBy("a");
        assertEquals(List.of(false), told);
    }
}
