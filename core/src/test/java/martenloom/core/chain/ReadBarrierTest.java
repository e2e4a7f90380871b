package martenloom.core.chain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import martenloom.core.state.ClusterState;
import martenloom.core.state.Command;
import martenloom.core.state.Command.ReadConfiguration;
import martenloom.core.state.Command.ReplaceConfiguration;
import martenloom.core.state.Command.UpdateConfiguration;
import martenloom.core.state.ResultCode;
import martenloom.core.state.StampedCommand;
import org.junit.jupiter.api.Test;

/**
 * Answers that write nothing share one round of the chain, and none is given by a head that was cut
 * off meanwhile.
 */
final class ReadBarrierTest {
    private static final List<String> MEMBERS = List.of("10.0.0.1", "10.0.0.2", "10.0.0.3");
    private static final long HOP_US = 40_000;
    private static final long STEP_US = 5_000;
    private static final int MANY_STEPS = 2000;

    private record Delivery(long atUs, String from, String to, byte[] record) {}

    private final Map<String, ChainMember> members = new TreeMap<>();
    private final Deque<Delivery> inTransit = new ArrayDeque<>();
    private final Map<Long, ResultCode> answers = new TreeMap<>();
    private final Set<String> cutOff = new HashSet<>();
    private long nowUs = 1_000_000;

    private void carryOutEffects(String address) {
        var effects = members.get(address).drainEffects();
        while (!effects.isEmpty()) {
            effects.forEach(effect -> carryOut(address, effect));
            effects = members.get(address).drainEffects();
        }
    }

    private void carryOut(String address, ChainEffect effect) {
        if (effect instanceof ChainEffect.SendMessage message) {
            if (members.containsKey(message.to())) {
                inTransit.add(
                        new Delivery(nowUs + HOP_US, address, message.to(), message.record()));
            }
        } else if (effect instanceof ChainEffect.PersistState write) {
            members.get(address).onPersisted(nowUs, write.token());
        } else if (effect instanceof ChainEffect.CompleteRequest answer) {
            answers.put(answer.request(), answer.code());
        }
    }

    private void step() {
        nowUs += STEP_US;
        while (!inTransit.isEmpty() && inTransit.peek().atUs <= nowUs) {
            var delivery = inTransit.poll();
            if (!cutOff.contains(delivery.from) && !cutOff.contains(delivery.to)) {
                members.get(delivery.to).onMessage(nowUs, delivery.from, delivery.record);
                carryOutEffects(delivery.to);
            }
        }
        members.forEach(
                (address, member) -> {
                    member.onTick(nowUs);
                    carryOutEffects(address);
                });
    }

    private void runManySteps() {
        for (var i = 0; i < MANY_STEPS; i++) {
            step();
        }
    }

    /** Starts three members and runs them until one of them heads the others. */
    private String electHead() {
        var founded =
                new PersistentMemberState(Ballot.ZERO, Ballot.ZERO, ClusterState.founded(MEMBERS));
        for (var address : MEMBERS) {
            members.put(
                    address,
                    new ChainMember(
                            address,
                            address.hashCode(),
                            Optional.of(founded),
                            Comparator.naturalOrder(),
                            nowUs));
        }
        runManySteps();
        return MEMBERS.stream()
                .filter(address -> members.get(address).isHead())
                .findFirst()
                .orElseThrow();
    }

    private void submit(String head, long request, Command command) {
        members.get(head).submit(nowUs, request, StampedCommand.of(command));
        carryOutEffects(head);
    }

    private static Command replace(String json) {
        return new ReplaceConfiguration(0, json);
    }

    @Test
    void manyAnswersThatWriteNothingTakeOneRoundAndKeepNoWriteWaiting() {
        var head = electHead();
        var sinceUs = nowUs;
        var write = 41L;
        var requests = 80;
        for (var i = 1; i < write; i++) {
            submit(head, i, new ReadConfiguration());
        }
        submit(head, write, replace("{\"Revision\":1,\"Routes\":[],\"Backends\":[]}"));
        for (var i = write + 1; i <= requests; i++) {
            submit(
                    head,
                    i,
                    replace("{\"Revision\":1,\"Routes\":[],\"Backends\":[],\"Note\":" + i + "}"));
        }
        while (answers.size() < requests && nowUs - sinceUs < 60_000_000) {
            step();
        }
        assertEquals(requests, answers.size());
        assertTrue(
                nowUs - sinceUs <= 3 * (4 * HOP_US + 4 * STEP_US),
                "a heartbeat, the write, and another heartbeat: " + (nowUs - sinceUs) + " us");
        assertEquals(ResultCode.OK, answers.get(write));
        assertEquals(
                requests - write,
                answers.entrySet().stream()
                        .filter(
                                answer ->
                                        answer.getKey() > write
                                                && answer.getValue()
                                                        == ResultCode.PRECONDITION_FAILED)
                        .count(),
                "one winner");
    }

    @Test
    void aHeadThatWasCutOffGivesNoAnswer() {
        var head = electHead();
        cutOff.add(head);
        submit(head, 1, new ReadConfiguration());
        runManySteps();
        assertEquals(ResultCode.UNAVAILABLE, answers.get(1L));
        assertTrue(
                members.entrySet().stream()
                        .anyMatch(
                                entry -> !entry.getKey().equals(head) && entry.getValue().isHead()),
                "another heads the rest");
    }

    /**
     * An update is judged on top of a state that may be old here: to reject it takes proof as well.
     */
    @Test
    void aHeadThatWasCutOffDoesNotRejectWhatIsInvalid() {
        var head = electHead();
        cutOff.add(head);
        submit(head, 1, replace("{\"Revision\":0,\"Routes\":[],\"Backends\":[]}"));
        submit(head, 2, new UpdateConfiguration(0, "not to be read"));
        runManySteps();
        assertEquals(ResultCode.UNAVAILABLE, answers.get(1L));
        assertEquals(ResultCode.UNAVAILABLE, answers.get(2L));
    }
}
