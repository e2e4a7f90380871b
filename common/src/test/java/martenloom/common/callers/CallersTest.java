package martenloom.common.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Room for each new caller, within both bounds. */
final class CallersTest {
    private static final int MAX_CONNECTIONS = 3;
    private static final int CAPACITY = 1_000;

    private final MemoryAccount memory = new MemoryAccount(CAPACITY);
    private final List<Runnable> delayed = new ArrayList<>();
    private final Callers callers =
            new Callers(MAX_CONNECTIONS, memory, (delayUs, task) -> delayed.add(task));
    private final List<String> ended = new ArrayList<>();

    /** A connection that gives up what it holds when it is refused. */
    private final class FakeConnection implements Callers.Connection {
        private final String name;
        private final Callers.Caller caller;
        private long held;
        private boolean stalled;

        FakeConnection(String name) {
            this.name = name;
            caller = callers.open(this);
        }

        boolean hold(long bytes) {
            held = bytes;
            return caller.hold(bytes);
        }

        @Override
        public long heldBytes() {
            return held;
        }

        @Override
        public boolean isStalled(long nowUs) {
            return stalled;
        }

        @Override
        public void refuse() {
            ended.add(name + " refused");
            hold(0);
        }

        @Override
        public void close() {
            ended.add(name + " closed");
            caller.close();
        }
    }

    private boolean admits() throws Exception {
        return !callers.acceptFilter().filterAccept(null, null, null, false);
    }

    @Test
    void theLongestAwaitedGivesWayToANewCaller() throws Exception {
        var first = new FakeConnection("first");
        new FakeConnection("second");
        new FakeConnection("third");
        first.caller.serve();
        first.caller.await();
        assertTrue(admits());
        assertEquals(List.of("second closed"), ended);
        assertEquals(MAX_CONNECTIONS - 1, callers.size());
    }

    @Test
    void oneThatIsServedNeverGivesWay() throws Exception {
        for (var i = 0; i < MAX_CONNECTIONS; i++) {
            new FakeConnection("served").caller.serve();
        }
        assertFalse(admits());
        assertEquals(List.of(), ended);
    }

    /** Guards against descriptors that are closed but not yet free. */
    @Test
    void onlySoManyCloseBetweenTwoSelections() throws Exception {
        var admitted = 0;
        for (var i = 0; i < 100; i++) {
            if (admits()) {
                new FakeConnection("silent");
                admitted++;
            }
        }
        assertEquals(MAX_CONNECTIONS + 32, admitted);
        delayed.forEach(Runnable::run);
        assertTrue(admits());
    }

    @Test
    void memoryIsTakenFromTheLongestAwaitedOfThoseThatHoldMuch() {
        new FakeConnection("idle").hold(10);
        new FakeConnection("crowd one").hold(400);
        new FakeConnection("crowd two").hold(400);
        assertTrue(new FakeConnection("ordinary").hold(300));
        assertEquals(List.of("crowd one refused"), ended);
        assertEquals(710, memory.heldBytes());
    }

    @Test
    void whoFindsNoRoomBesideThoseThatAreServedIsToBeRefused() {
        var served = new FakeConnection("served");
        served.hold(900);
        served.caller.serve();
        var late = new FakeConnection("late");
        assertFalse(late.hold(200));
        assertTrue(late.hold(50));
        assertEquals(List.of(), ended);
    }

    /** Guards against new callers that are shut out by those that hold much. */
    @Test
    void thoseThatHoldMuchLeaveAPartToOthers() {
        var roomy = new Callers(MAX_CONNECTIONS, new MemoryAccount(100_000), (delayUs, task) -> {});
        var large = roomy.open(new FakeConnection("large"));
        large.serve();
        assertFalse(large.hold(90_000));
        assertTrue(large.hold(80_000));
        assertTrue(roomy.open(new FakeConnection("small")).hold(20_000));
    }

    @Test
    void whoHasStalledIsRefused() {
        var stalled = new FakeConnection("stalled");
        stalled.hold(100);
        stalled.stalled = true;
        new FakeConnection("sender").hold(100);
        callers.refuseStalled(0);
        assertEquals(List.of("stalled refused"), ended);
    }

    @Test
    void aClosedCallerHoldsNothing() {
        var caller = new FakeConnection("caller");
        caller.hold(100);
        caller.caller.close();
        caller.caller.close();
        assertFalse(caller.hold(100));
        assertEquals(0, memory.heldBytes());
        assertEquals(0, callers.size());
    }
}
