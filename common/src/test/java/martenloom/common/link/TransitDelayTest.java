package martenloom.common.link;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The age of a record that was held up on its way. */
final class TransitDelayTest {
    @Test
    void aRecordHeldUpInACutLinkShowsItsAge() {
        var delay = new TransitDelay();
        assertEquals(
                0,
                delay.excessDelayUs(1_000, 901_000),
                "the clocks differ by 0.9 s, which is no delay");
        assertEquals(500, delay.excessDelayUs(2_000, 902_500));
        assertEquals(20_000_000, delay.excessDelayUs(3_000, 20_903_000));
        assertEquals(
                0, delay.excessDelayUs(20_100_000, 20_999_000), "a quicker one is the new measure");
    }
}
