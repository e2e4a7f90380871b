package martenloom.simulation.workload;

import java.util.Base64;
import java.util.Optional;
import java.util.function.Consumer;
import martenloom.common.codec.RecordWriter;
import martenloom.common.jobs.Job;
import martenloom.common.jobs.JobCodec;
import martenloom.core.state.Command.CancelJob;
import martenloom.core.state.Command.SubmitJob;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.engine.RandomStream;
import martenloom.simulation.history.CommandReply;
import martenloom.simulation.history.JobHistory;

/**
 * A client that submits a job, whose body is stored apart from the state, and cancels it after a
 * while, again and again.
 */
final class JobSubmitter {
    private static final long LONGEST_PAUSE_US = 4_000_000;
    private static final long DEADLINE_US = 3_600_000_000L;

    /** More than what stands in the bytes of a state. */
    private static final int LEAST_BODY_BYTES = 4_100;

    private static final int MORE_BODY_BYTES = 4_000;

    private final String name;
    private final RetryingClient client;
    private final EventQueue events;
    private final RandomStream random;
    private final JobHistory history;
    private int jobs;

    JobSubmitter(
            String name,
            RetryingClient client,
            EventQueue events,
            RandomStream random,
            JobHistory history) {
        this.name = name;
        this.client = client;
        this.events = events;
        this.random = random;
        this.history = history;
    }

    void start() {
        var id = name + "-" + ++jobs;
        var job = job(id);
        var out = new RecordWriter();
        JobCodec.write(job, out);
        client.send(
                new SubmitJob(id, Base64.getEncoder().encodeToString(out.bytes())),
                reply -> {
                    ifSuccessful(reply, success -> history.onAcknowledged(job));
                    events.after(random.between(0, LONGEST_PAUSE_US), () -> cancel(id));
                });
    }

    private Job job(String id) {
        var body = new byte[LEAST_BODY_BYTES + random.below(MORE_BODY_BYTES)];
        for (var i = 0; i < body.length; i++) {
            body[i] = (byte) random.below(Byte.MAX_VALUE);
        }
        var job = new Job();
        job.setId(id);
        job.setRegion("north");
        job.setBody(body);
        job.setDigest(id);
        job.setDeadlineUs(DEADLINE_US);
        return job;
    }

    private void cancel(String id) {
        history.onCancelled(id);
        client.send(
                new CancelJob(id),
                reply -> events.after(random.between(0, LONGEST_PAUSE_US), this::start));
    }

    private static void ifSuccessful(
            Optional<CommandReply> reply, Consumer<CommandReply> onSuccess) {
        reply.filter(CommandReply::isSuccess).ifPresent(onSuccess);
    }
}
