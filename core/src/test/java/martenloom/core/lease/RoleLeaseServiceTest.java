package martenloom.core.lease;

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
import martenloom.common.codec.RecordReader;
import martenloom.core.chain.Ballot;
import martenloom.core.chain.ChainEffect;
import martenloom.core.chain.ChainMember;
import martenloom.core.chain.PersistentMemberState;
import martenloom.core.state.ClusterState;
import martenloom.core.state.ResultCode;
import martenloom.core.state.StampedCommand;
import org.junit.jupiter.api.Test;

/** Leases at the head of a chain of one member, whose disk finishes a write on demand. */
final class RoleLeaseServiceTest {
    private static final String ROLE = "scale/north";
    private static final long STEP_US = 50_000;

    private final List<String> granted = new ArrayList<>();
    private final Map<Long, BiConsumer<ResultCode, String>> asked = new HashMap<>();
    private final Deque<ChainEffect.PersistState> stores = new ArrayDeque<>();
    private final ChainMember chain;
    private final RoleLeaseService roleLeases;
    private boolean stalled;
    private long nowUs = 1_000_000;
    private long requests;

    RoleLeaseServiceTest() {
        var founded =
                new PersistentMemberState(
                        Ballot.ZERO, Ballot.ZERO, ClusterState.founded(List.of("a")));
        chain = new ChainMember("a", 1, Optional.of(founded), Comparator.naturalOrder(), nowUs);
        roleLeases = new RoleLeaseService(chain, this::ask, () -> nowUs);
    }

    private void ask(StampedCommand change, BiConsumer<ResultCode, String> reply) {
        asked.put(++requests, reply);
        chain.submit(nowUs, requests, change);
    }

    private void run(long durationUs) {
        for (var untilUs = nowUs + durationUs; nowUs < untilUs; nowUs += STEP_US) {
            chain.onTick(nowUs);
            carryOut();
            roleLeases.tick(nowUs);
            carryOut();
        }
    }

    private void carryOut() {
        for (var outputs = chain.drainEffects();
                !outputs.isEmpty();
                outputs = chain.drainEffects()) {
            outputs.forEach(this::carryOut);
            while (!stalled && !stores.isEmpty()) {
                chain.onPersisted(nowUs, stores.poll().token());
            }
        }
    }

    private void carryOut(ChainEffect command) {
        if (command instanceof ChainEffect.PersistState store) {
            stores.add(store);
        } else if (command instanceof ChainEffect.CompleteRequest answer) {
            Optional.ofNullable(asked.remove(answer.request()))
                    .ifPresent(reply -> reply.accept(answer.code(), answer.text()));
        }
    }

    private void request(String holder) {
        roleLeases.request(ROLE, holder, nowUs, this::onGrant);
    }

    private void onGrant(byte[] record) {
        var in = new RecordReader(record, true);
        var holder = in.text();
        in.text();
        granted.add(holder + " " + in.i64());
    }

    @Test
    void aHolderThatComesBackWhileItsSuccessorIsWrittenIsNotRenewed() {
        run(3_000_000);
        request("x");
        run(500_000);
        assertEquals(List.of("x 1"), granted);
        run(4_000_000);
        stalled = true;
        request("y");
        run(100_000);
        assertEquals(1, stores.size(), "the successor is being written");
        request("x");
        run(400_000);
        assertEquals(List.of("x 1"), granted, "nobody is renewed meanwhile");
        stalled = false;
        chain.onPersisted(nowUs, stores.poll().token());
        run(200_000);
        assertEquals(List.of("x 1", "y 2"), granted);
    }
}
