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
final class ProofTest {
    private static final long HOP_US = 40_000;
    private static final long STEP_US = 5_000;

    private record Mail(long at, String from, String to, byte[] record) {}

    private final Map<String, ChainMember> all = new TreeMap<>();
    private final Deque<Mail> mails = new ArrayDeque<>();
    private final Map<Long, ResultCode> answers = new TreeMap<>();
    private final Set<String> cut = new HashSet<>();
    private long now = 1_000_000;

    private void drain(String ip) {
        for (var l = all.get(ip).drainEffects(); !l.isEmpty(); l = all.get(ip).drainEffects()) {
            for (var c : l) {
                if (c instanceof ChainEffect.SendMessage s && all.containsKey(s.to())) {
                    mails.add(new Mail(now + HOP_US, ip, s.to(), s.record()));
                } else if (c instanceof ChainEffect.PersistState s) {
                    all.get(ip).onPersisted(now, s.token());
                } else if (c instanceof ChainEffect.CompleteRequest a) {
                    answers.put(a.request(), a.code());
                }
            }
        }
    }

    private void step() {
        now += STEP_US;
        while (!mails.isEmpty() && mails.peek().at <= now) {
            var m = mails.poll();
            if (!cut.contains(m.from) && !cut.contains(m.to)) {
                all.get(m.to).onMessage(now, m.from, m.record);
                drain(m.to);
            }
        }
        all.forEach(
                (ip, c) -> {
                    c.onTick(now);
                    drain(ip);
                });
    }

    private String head() {
        var names = List.of("10.0.0.1", "10.0.0.2", "10.0.0.3");
        names.forEach(
                n ->
                        all.put(
                                n,
                                new ChainMember(
                                        n,
                                        n.hashCode(),
                                        Optional.of(
                                                new PersistentMemberState(
                                                        Ballot.ZERO,
                                                        Ballot.ZERO,
                                                        ClusterState.founded(names))),
                                        Comparator.naturalOrder(),
                                        now)));
        for (var i = 0; i < 2000; i++) {
            step();
        }
        return names.stream().filter(n -> all.get(n).isHead()).findFirst().orElseThrow();
    }

    private void ask(String head, long request, Command command) {
        all.get(head).submit(now, request, StampedCommand.of(command));
        drain(head);
    }

    private static Command replace(String json) {
        return new ReplaceConfiguration(0, json);
    }

    @Test
    void manyAnswersThatWriteNothingTakeOneRoundAndKeepNoWriteWaiting() {
        var h = head();
        var t0 = now;
        for (var i = 1; i <= 40; i++) {
            ask(h, i, new ReadConfiguration());
        }
        ask(h, 41, replace("{\"Revision\":1,\"Routes\":[],\"Backends\":[]}"));
        for (var i = 42; i <= 80; i++) {
            ask(h, i, replace("{\"Revision\":1,\"Routes\":[],\"Backends\":[],\"Note\":" + i + "}"));
        }
        while (answers.size() < 80 && now - t0 < 60_000_000) {
            step();
        }
        assertEquals(80, answers.size());
        assertTrue(
                now - t0 <= 3 * (4 * HOP_US + 4 * STEP_US),
                "a round of proof, the write, and another round: " + (now - t0) + " us");
        assertEquals(ResultCode.OK, answers.get(41L));
        assertEquals(
                39,
                answers.entrySet().stream()
                        .filter(
                                e ->
                                        e.getKey() > 41
                                                && e.getValue() == ResultCode.PRECONDITION_FAILED)
                        .count(),
                "one winner");
    }

    @Test
    void aHeadThatWasCutOffGivesNone() {
        var h = head();
        cut.add(h);
        ask(h, 1, new ReadConfiguration());
        for (var i = 0; i < 2000; i++) {
            step();
        }
        assertEquals(ResultCode.UNAVAILABLE, answers.get(1L));
        assertTrue(
                all.entrySet().stream()
                        .anyMatch(e -> !e.getKey().equals(h) && e.getValue().isHead()),
                "another heads the rest");
    }

    /**
     * An update is judged on top of a state that may be old here: to refuse it takes proof as well.
     */
    @Test
    void aHeadThatWasCutOffDoesNotRefuseWhatIsInvalid() {
        var h = head();
        cut.add(h);
        ask(h, 1, replace("{\"Revision\":0,\"Routes\":[],\"Backends\":[]}"));
        ask(h, 2, new UpdateConfiguration(0, "not to be read"));
        for (var i = 0; i < 2000; i++) {
            step();
        }
        assertEquals(ResultCode.UNAVAILABLE, answers.get(1L));
        assertEquals(ResultCode.UNAVAILABLE, answers.get(2L));
    }
}
