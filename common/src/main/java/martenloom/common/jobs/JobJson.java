package martenloom.common.jobs;

/** A job as the control API shows it. */
public final class JobJson {
    private static final int US_PER_MS = 1000;

    private JobJson() {}

    /**
     * The job as a JSON object.
     *
     * @param nowUs the time on the clock of the jobs from which age and slack are counted
     */
    public static String render(Job job, long nowUs) {
        return "{\"Id\":"
                + quoted(job.id())
                + ",\"State\":"
                + quoted(job.state().label())
                + ",\"Region\":"
                + quoted(job.region())
                + ",\"AgeMs\":"
                + (nowUs - job.submittedUs()) / US_PER_MS
                + ",\"SlackMs\":"
                + (job.deadlineUs() - nowUs) / US_PER_MS
                + ",\"Runs\":"
                + job.attempts()
                + ",\"Status\":"
                + job.status()
                + ",\"Confirmed\":"
                + job.confirmed()
                + ",\"Why\":"
                + quoted(job.reason())
                + "}";
    }

    private static String quoted(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", " ") + '"';
    }
}
