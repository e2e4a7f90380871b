package martenloom.edge.jobs;

import martenloom.common.codec.RecordReader;
import martenloom.common.jobs.JobUrgency;

/**
 * What the home says of one job of the region that is not over.
 *
 * @param id the job
 * @param running whether the core has it as running, else it waits
 * @param fencingToken the fencing token under which it runs
 * @param runs how many runs it has had
 * @param leftUs how long it is to its due time, in microseconds
 * @param totalUs how long it was from its submission to its due time
 * @param prefix the first shared segment of its prompt, by which like jobs are run together
 * @param route the route on which it runs
 */
public record JobListing(
        String id,
        boolean running,
        long fencingToken,
        int runs,
        long leftUs,
        long totalUs,
        String prefix,
        String route) {
    /** Reads one item of the home's list. */
    public static JobListing read(RecordReader in) {
        return new JobListing(
                in.text(), in.flag(), in.i64(), in.i32(), in.i64(), in.i64(), in.text(), in.text());
    }

    /** How urgent the job is, from 0 to 3. */
    int urgency() {
        return JobUrgency.of(leftUs, totalUs);
    }
}
