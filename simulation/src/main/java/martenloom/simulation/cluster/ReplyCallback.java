package martenloom.simulation.cluster;

import martenloom.simulation.history.CommandReply;

/** Is called once with the reply to a command. */
@FunctionalInterface
public interface ReplyCallback {
    void onReply(CommandReply reply);
}
