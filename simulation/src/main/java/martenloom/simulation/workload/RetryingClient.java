package martenloom.simulation.workload;

import java.util.Optional;
import java.util.function.Consumer;
import martenloom.core.state.Command;
import martenloom.simulation.cluster.MemberApi;
import martenloom.simulation.cluster.MemberDirectory;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.engine.RandomStream;
import martenloom.simulation.history.CommandReply;

/**
 * Sends commands to the members: to any of them, and after a rejection without an outcome or a
 * time-out to another one, with a backoff, while the copies sent before are still in flight.
 */
final class RetryingClient {
    private static final long ATTEMPT_TIMEOUT_US = 1_000_000;
    private static final long FIRST_BACKOFF_US = 100_000;
    private static final long LONGEST_BACKOFF_US = 800_000;
    private static final int MOST_ATTEMPTS = 12;

    private static final long SHORTEST_DELAY_US = 500;
    private static final long USUAL_DELAY_US = 20_000;
    private static final long SHORTEST_LATE_DELAY_US = 1_000;

    /** A request is not read later than this: by then its client has closed the connection. */
    private static final long LONGEST_LATE_DELAY_US = 990_000;

    private static final int LOST_ONE_IN = 3;
    private static final int LATE_ONE_IN = 4;

    private final EventQueue events;
    private final RandomStream random;
    private final MemberDirectory members;
    private boolean lossy;

    RetryingClient(EventQueue events, RandomStream random, MemberDirectory members) {
        this.events = events;
        this.random = random;
        this.members = members;
    }

    /** Makes requests and replies get lost or come late, or not any longer. */
    void setLossy(boolean lossy) {
        this.lossy = lossy;
    }

    /**
     * Sends a command until there is a definite reply; calls back with an empty one when the client
     * gives up.
     */
    void send(Command command, Consumer<Optional<CommandReply>> onDone) {
        new Call(command, onDone).attempt(1);
    }

    /** One command with all its attempts, of which at most one is awaited. */
    private final class Call {
        private static final int NONE = 0;

        private final Command command;
        private final Consumer<Optional<CommandReply>> onDone;
        private boolean done;

        /** The attempt that is awaited, or {@link #NONE} during a backoff. */
        private int awaited;

        private Call(Command command, Consumer<Optional<CommandReply>> onDone) {
            this.command = command;
            this.onDone = onDone;
        }

        private void attempt(int attempt) {
            if (attempt > MOST_ATTEMPTS) {
                finish(Optional.empty());
                return;
            }
            awaited = attempt;
            var address = random.pick(members.addresses());
            events.after(drawDelayUs(), () -> arrive(address, attempt));
            events.after(ATTEMPT_TIMEOUT_US, () -> onNoOutcome(attempt));
        }

        private void arrive(String address, int attempt) {
            var member = drawLoss() ? Optional.<MemberApi>empty() : members.api(address);
            member.ifPresent(api -> api.submit(this, command, reply -> reply(attempt, reply)));
        }

        private void reply(int attempt, CommandReply reply) {
            if (!drawLoss()) {
                events.after(drawDelayUs(), () -> onReply(attempt, reply));
            }
        }

        /** A reply that comes after the client has given up its attempt is not read. */
        private void onReply(int attempt, CommandReply reply) {
            if (done || attempt != awaited) {
                return;
            }
            if (reply.isDefinite()) {
                finish(Optional.of(reply));
            } else {
                onNoOutcome(attempt);
            }
        }

        private void onNoOutcome(int attempt) {
            if (!done && attempt == awaited) {
                awaited = NONE;
                var backoffUs = Math.min(LONGEST_BACKOFF_US, FIRST_BACKOFF_US * attempt);
                events.after(backoffUs, () -> attempt(attempt + 1));
            }
        }

        private void finish(Optional<CommandReply> reply) {
            if (!done) {
                done = true;
                onDone.accept(reply);
            }
        }
    }

    private boolean drawLoss() {
        return lossy && random.oneIn(LOST_ONE_IN);
    }

    private long drawDelayUs() {
        return lossy && random.oneIn(LATE_ONE_IN)
                ? random.between(SHORTEST_LATE_DELAY_US, LONGEST_LATE_DELAY_US)
                : random.between(SHORTEST_DELAY_US, USUAL_DELAY_US);
    }
}
