package martenloom.core.state;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.error.MartenloomException;
import martenloom.core.state.Command.ConfigurationCommand;
import martenloom.core.state.Command.ReplaceConfiguration;
import martenloom.routing.configuration.Configurations;

/**
 * The configuration in force and the changes that led to it. Immutable.
 *
 * <p>Invariant: the revision only rises, and each revision follows the one that its change names as
 * the base.
 *
 * @param revision 0 before the first configuration
 * @param json the configuration as sent
 * @param routingText the same in the routing language
 * @param applied the changes that are recognised when they are sent again
 */
public record ConfigurationState(
        long revision, String json, String routingText, AppliedChanges applied) {
    /** The state before the first configuration. */
    static final ConfigurationState NONE = new ConfigurationState(0, "", "", AppliedChanges.EMPTY);

    /** The configuration in force as the result of a read. */
    <S> CommandResult<S> read() {
        return revision == 0
                ? CommandResult.refused(ResultCode.NOT_FOUND, json)
                : CommandResult.unchanged(json);
    }

    /**
     * Applies a change. One that was applied is acknowledged again, whatever came after it; its
     * base and its kind are part of it.
     */
    @SuppressWarnings("checkstyle:IllegalCatch") // an operator's text must not end a member
    CommandResult<ConfigurationState> decide(ConfigurationCommand change) {
        var digest = digest(change);
        if (applied.contains(digest)) {
            return CommandResult.unchanged("");
        }
        try {
            return apply(change, digest);
        } catch (MartenloomException e) {
            return CommandResult.refused(ResultCode.INVALID, e.getMessage());
        } catch (RuntimeException e) {
            return CommandResult.refused(
                    ResultCode.INVALID,
                    "the configuration cannot be read: " + e.getClass().getSimpleName());
        }
    }

    private CommandResult<ConfigurationState> apply(ConfigurationCommand change, byte[] digest) {
        var newRevision = Configurations.revisionOf(change.json());
        if (change.baseRevision() != revision) {
            return CommandResult.refused(
                    ResultCode.PRECONDITION_FAILED, "revision " + revision + " is in place");
        }
        var result =
                change instanceof ReplaceConfiguration
                        ? Configurations.replace(change.json())
                        : Configurations.update(json, change.json());
        if (newRevision <= revision) {
            return CommandResult.refused(
                    ResultCode.INVALID, "Revision: " + newRevision + " is not above " + revision);
        }
        return CommandResult.changed(
                new ConfigurationState(
                        result.revision(),
                        result.json(),
                        result.routingText(),
                        applied.with(digest)),
                "");
    }

    private static byte[] digest(ConfigurationCommand change) {
        var head = change.type().wireName() + " " + change.baseRevision() + "\n";
        var whole = Sha256.digest(head, change.json().getBytes(StandardCharsets.UTF_8));
        return Arrays.copyOf(whole, AppliedChanges.DIGEST_BYTES);
    }

    void write(RecordWriter out) {
        out.i64(revision).text(json).text(routingText);
        applied.write(out);
    }

    static ConfigurationState read(RecordReader in) {
        return new ConfigurationState(in.i64(), in.text(), in.text(), AppliedChanges.read(in));
    }
}
