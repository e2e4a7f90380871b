package martenloom.core.forwarding;

import java.util.function.BiConsumer;
import martenloom.core.state.ResultCode;
import martenloom.core.state.StampedCommand;

/** Submits a command to the replicated state, wherever the head of the chain is. */
@FunctionalInterface
public interface CommandSubmitter {
    /**
     * Submits a command.
     *
     * @param reply is called once, on the reactor thread, with the code and the text of the result
     */
    void submit(StampedCommand command, BiConsumer<ResultCode, String> reply);
}
