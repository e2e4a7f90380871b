package martenloom.simulation.history;

import static martenloom.simulation.history.Violations.assertBreaks;
import static org.junit.jupiter.api.Assertions.assertEquals;

import martenloom.core.state.Command.ReplaceConfiguration;
import martenloom.core.state.ResultCode;
import martenloom.simulation.history.ConfigurationHistory.Replacement;
import org.junit.jupiter.api.Test;

/** Stale reads, lost replacements and foreign replies are named, and nothing else is. */
final class ConfigurationHistoryTest {
    private static final CommandReply REVISION_1_IN_FORCE =
            new CommandReply(ResultCode.PRECONDITION_FAILED, "revision 1 is in place");

    private final ConfigurationHistory history = new ConfigurationHistory();
    private final CommittedState state = new CommittedState();

    private Replacement sendReplacement(long base, String note) {
        var revision = base + 1;
        var json =
                "{\"Revision\":"
                        + revision
                        + ",\"Routes\":[],\"Backends\":[],\"Note\":\""
                        + note
                        + "\"}";
        var replacement = new Replacement(base, revision, json);
        history.onSent(replacement);
        return replacement;
    }

    private void commit(Replacement replacement) {
        history.onCommitted(
                state.commit(new ReplaceConfiguration(replacement.base(), replacement.json())));
    }

    private static CommandReply configuration(String json) {
        return new CommandReply(ResultCode.OK, json);
    }

    @Test
    void aReadBelowTheFloorIsNotLinearizable() {
        var first = sendReplacement(0, "a");
        var second = sendReplacement(1, "b");
        commit(first);
        history.onAcknowledged(first);
        commit(second);
        assertEquals(
                1,
                history.onRead(configuration(first.json()), 1),
                "the second is not known to the reader yet");
        history.onAcknowledged(second);
        assertBreaks(Invariant.LINEARIZABLE, () -> history.onRead(configuration(first.json()), 2));
        assertBreaks(
                Invariant.LINEARIZABLE,
                () -> history.onRead(new CommandReply(ResultCode.NOT_FOUND, ""), 2));
        assertBreaks(Invariant.OWN_ANSWER, () -> history.onRead(configuration("{}"), 2));
    }

    @Test
    void aCommittedReplacementIsNotRejectedAndALostOneIsNotAcknowledged() {
        var winner = sendReplacement(0, "a");
        var loser = sendReplacement(0, "b");
        commit(winner);
        assertBreaks(Invariant.OWN_ANSWER, () -> history.onAcknowledged(loser));
        history.onRejected(loser, REVISION_1_IN_FORCE, 0);
        assertBreaks(
                Invariant.REPEATABLE_ORDER,
                () -> history.onRejected(winner, REVISION_1_IN_FORCE, 0));
        assertBreaks(
                Invariant.LINEARIZABLE, () -> history.onRejected(loser, REVISION_1_IN_FORCE, 2));
    }
}
