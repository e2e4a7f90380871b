package martenloom.edge.memory;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import martenloom.common.callers.BodyBuffer;
import org.junit.jupiter.api.Test;

/** The account of the bytes of requests: one bound, order of arrival, no deadlock. */
final class MessageMemoryTest {
    private static final int BODY = 100_000;
    private static final int PIECE = 10_000;
    private static final int MANY = 640;
    private static final long STALLED_US = MessageMemory.STALLED_US + 1;

    private final List<String> offers = new ArrayList<>();

    private MessageMemory.Reservation open(MessageMemory memory, int bytes, String name) {
        return memory.open(bytes, 0, () -> offers.add(name));
    }

    @Test
    void aLaterBodyLeavesFreeWhatAnEarlierOneStillNeeds() {
        var memory = new MessageMemory(160_000); // 140,000 of them for large bodies
        var first = open(memory, BODY, "first");
        var second = open(memory, BODY, "second");
        assertEquals(PIECE, first.take(PIECE, 0));
        assertEquals(40_000, second.take(BODY, 0));
        assertEquals(0, second.take(PIECE, 0));
        assertEquals(BODY - PIECE, first.take(BODY - PIECE, 0));
        first.complete();
        assertEquals(List.of(), offers);
        first.close(0);
        assertEquals(List.of("second"), offers);
        assertEquals(60_000, second.take(60_000, 0));
    }

    @Test
    void whatWasAnnouncedAndDoesNotComeIsNotLeftFree() {
        var memory = new MessageMemory(160_000);
        open(memory, BODY, "announced");
        open(memory, BODY, "announced too");
        var sender = open(memory, BODY, "sender");
        assertEquals(0, sender.take(PIECE, 0));
        memory.offerRoom(STALLED_US);
        assertEquals(List.of("sender"), offers);
        assertEquals(BODY, sender.take(BODY, STALLED_US));
    }

    @Test
    void aSmallBodyDoesNotWaitBehindLargeOnes() {
        var memory = new MessageMemory(160_000);
        var large = open(memory, 2 * BODY, "large");
        assertEquals(140_000, large.take(2 * BODY, 0));
        var small = open(memory, 600, "small");
        assertEquals(600, small.take(600, 0));
    }

    @Test
    void whatIsGivenBackTwiceCountsOnce() {
        var memory = new MessageMemory(160_000);
        var body = open(memory, BODY, "body");
        body.take(BODY, 0);
        body.close(0);
        body.close(0);
        assertEquals(0, memory.heldBytes());
    }

    /** Guards against uploads of which each holds a part and none can be read to its end. */
    @Test
    void manyUploadsAtOnceAllComeToTheirEndWithinTheBound() {
        var memory = new MessageMemory(1_000_000);
        var left = new int[MANY];
        var uploads = new ArrayList<MessageMemory.Reservation>();
        for (var i = 0; i < MANY; i++) {
            left[i] = BODY;
            uploads.add(open(memory, BODY, "upload"));
        }
        var random = new Random(1);
        var open = MANY;
        for (var step = 0; open > 0 && step < 1_000_000; step++) {
            var i = random.nextInt(MANY);
            if (left[i] == 0) {
                continue;
            }
            left[i] -= uploads.get(i).take(Math.min(PIECE, left[i]), step);
            assertEquals(true, memory.heldBytes() <= 1_000_000);
            if (left[i] == 0) {
                uploads.get(i).complete();
                uploads.get(i).close(step);
                open--;
            }
        }
        assertEquals(0, open, "uploads that did not end");
        assertEquals(0, memory.heldBytes());
    }

    /** Guards against responses of unknown length that wait for each other's end. */
    @Test
    void theOldestResponseThatIsUnfinishedIsAlwaysReadOn() {
        var memory = new MessageMemory(160_000);
        var first = open(memory, 0, "first");
        var second = open(memory, 0, "second");
        assertEquals(true, first.takeRead(BODY, 0));
        assertEquals(false, second.takeRead(BODY, 0));
        assertEquals(true, first.takeRead(BODY, 0));
        assertEquals(List.of(), offers);
        first.complete();
        memory.offerRoom(0);
        assertEquals(List.of("second"), offers, "it is the oldest now");
        first.close(0);
        second.close(0);
        assertEquals(0, memory.heldBytes());
    }

    @Test
    void whatWaitsToGoOutTakesRoomUntilItHasGone() {
        var memory = new MessageMemory(160_000);
        var oldest = open(memory, BODY, "oldest");
        memory.hold(140_000, 0);
        assertEquals(true, memory.isFull());
        var response = open(memory, BODY, "response");
        assertEquals(false, response.takeRead(PIECE, 0));
        oldest.close(0);
        memory.hold(-140_000, 0);
        assertEquals(false, memory.isFull());
        assertEquals(true, response.takeRead(PIECE, 0));
    }

    @Test
    void aBodyIsHeldOnceAndGrowsWithItsBytes() {
        var announced = BodyBuffer.ofLength(BODY);
        var unknown = BodyBuffer.ofUnknownLength();
        var bytes = new byte[BODY];
        new Random(2).nextBytes(bytes);
        for (var at = 0; at < BODY; at += PIECE) {
            announced.append(bytes, at, PIECE);
            unknown.append(bytes, at, PIECE);
        }
        assertArrayEquals(bytes, announced.complete());
        assertArrayEquals(bytes, unknown.complete());
    }
}
