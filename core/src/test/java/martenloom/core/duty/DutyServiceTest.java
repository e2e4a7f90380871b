package martenloom.core.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import martenloom.common.codec.Codec;
import martenloom.core.chain.ChainCore;
import martenloom.core.state.CoreState;
import org.junit.jupiter.api.Test;

/** Leases at the head of a chain of one member, whose disk finishes a write when it is told to. */
final class DutyServiceTest {
    private static final String KEY = "scale/north";
    private static final long STEP_US = 50_000;

    private final List<String> granted = new ArrayList<>();
    private final Map<Long, BiConsumer<Integer, String>> asked = new HashMap<>();
    private final Deque<ChainCore.Store> stores = new ArrayDeque<>();
    private final ChainCore chain;
    private final DutyService duties;
    private boolean stalled;
    private long nowUs = 1_000_000;
    private long requests;

    DutyServiceTest() {
        var founded =
                new ChainCore.MemberState(
                        ChainCore.Ballot.ZERO,
                        ChainCore.Ballot.ZERO,
                        CoreState.founded(List.of("a")));
        chain = new ChainCore("a", 1, Optional.of(founded), Comparator.naturalOrder(), nowUs);
        duties = new DutyService(chain, this::ask, () -> nowUs);
    }

    private void ask(CoreState.Change change, BiConsumer<Integer, String> reply) {
        asked.put(++requests, reply);
        chain.onAsk(nowUs, requests, change);
    }

    private void run(long us) {
        for (var untilUs = nowUs + us; nowUs < untilUs; nowUs += STEP_US) {
            chain.onTick(nowUs);
            carryOut();
            duties.tick(nowUs);
            carryOut();
        }
    }

    private void carryOut() {
        for (var l = chain.drain(); !l.isEmpty(); l = chain.drain()) {
            l.forEach(this::carryOut);
            while (!stalled && !stores.isEmpty()) {
                chain.onStored(nowUs, stores.poll().token());
            }
        }
    }

    private void carryOut(ChainCore.Command command) {
        if (command instanceof ChainCore.Store store) {
            stores.add(store);
        } else if (command instanceof ChainCore.Answer answer) {
            Optional.ofNullable(asked.remove(answer.request()))
                    .ifPresent(r -> r.accept(answer.status(), answer.text()));
        }
    }

    private void want(String holder) {
        duties.want(KEY, holder, nowUs, this::onGrant);
    }

    private void onGrant(byte[] record) {
        var in = new Codec.In(record, true);
        var holder = in.text();
        in.text();
        granted.add(holder + " " + in.i64());
    }

    @Test
    void aHolderThatComesBackWhileItsSuccessorIsWrittenIsNotRenewed() {
        run(3_000_000);
        want("x");
        run(500_000);
        assertEquals(List.of("x 1"), granted);
        run(4_000_000);
        stalled = true;
        want("y");
        run(100_000);
        assertEquals(1, stores.size(), "the successor is being written");
        want("x");
        run(400_000);
        assertEquals(List.of("x 1"), granted, "nobody is renewed meanwhile");
        stalled = false;
        chain.onStored(nowUs, stores.poll().token());
        run(200_000);
        assertEquals(List.of("x 1", "y 2"), granted);
    }
}
