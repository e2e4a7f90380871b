package martenloom.simulation.workload;

import java.util.Optional;
import martenloom.core.state.Command.FinishEvacuation;
import martenloom.core.state.Command.StartEvacuation;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.engine.RandomStream;
import martenloom.simulation.history.CommandReply;
import martenloom.simulation.history.EvacuationHistory;
import martenloom.simulation.history.Invariant;
import martenloom.simulation.history.InvariantViolation;

/** A client that evacuates one zone and brings it back, again and again. */
final class EvacuationOperator {
    private static final long LONGEST_PAUSE_US = 1_500_000;

    private final String zone;
    private final RetryingClient client;
    private final EventQueue events;
    private final RandomStream random;
    private final EvacuationHistory history;

    EvacuationOperator(
            String zone,
            RetryingClient client,
            EventQueue events,
            RandomStream random,
            EvacuationHistory history) {
        this.zone = zone;
        this.client = client;
        this.events = events;
        this.random = random;
        this.history = history;
    }

    void start() {
        send(true);
    }

    private void send(boolean evacuate) {
        var command = evacuate ? new StartEvacuation(zone) : new FinishEvacuation(zone);
        history.onSent(zone, evacuate);
        client.send(
                command,
                reply -> {
                    onReply(reply);
                    events.after(random.between(0, LONGEST_PAUSE_US), () -> send(!evacuate));
                });
    }

    private void onReply(Optional<CommandReply> reply) {
        if (reply.isEmpty()) {
            history.onGivenUp(zone);
        } else if (reply.get().isSuccess()) {
            history.onAcknowledged(zone);
        } else {
            throw new InvariantViolation(
                    Invariant.OWN_ANSWER, "an evacuation is answered with " + reply.get());
        }
    }
}
