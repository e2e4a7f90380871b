package martenloom.edge.jobs;

/**
 * Names one run of a job.
 *
 * @param jobId the job
 * @param fencingToken the fencing token under which it runs
 * @param number the number of the run among those of its job
 */
record RunId(String jobId, long fencingToken, int number) {}
