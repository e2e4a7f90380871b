package martenloom.simulation.history;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import martenloom.common.jobs.Job;
import martenloom.core.state.ClusterState;
import martenloom.core.state.JobTable;
import org.junit.jupiter.api.Test;

/** What the history of jobs takes for broken. */
final class JobHistoryTest {
    private final JobHistory history = new JobHistory();

    private static Job job(String body) {
        var job = new Job();
        job.setId("job");
        job.setBody(body.getBytes());
        return job;
    }

    private static ClusterState state(long edition, Map<String, Job> jobs) {
        var founded = ClusterState.founded(List.of("a"));
        return new ClusterState(
                edition,
                founded.roster(),
                founded.configuration(),
                founded.evacuations(),
                founded.leases(),
                new JobTable(0, jobs),
                founded.scaling());
    }

    @Test
    void anAcknowledgedJobThatIsMissingOrHasAnotherBodyIsFound() {
        history.onCommitted(state(1, Map.of("job", job("body"))));
        history.onAcknowledged(job("body"));
        history.onCommitted(state(2, Map.of("job", job("body"))));
        assertThrows(
                InvariantViolation.class,
                () -> history.onCommitted(state(3, Map.of("job", job("")))));
        assertThrows(InvariantViolation.class, () -> history.onCommitted(state(4, Map.of())));
        history.onCancelled("job");
        history.onCommitted(state(5, Map.of()));
    }
}
