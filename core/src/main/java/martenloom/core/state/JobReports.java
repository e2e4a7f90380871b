package martenloom.core.state;

import martenloom.common.jobs.Job;
import martenloom.common.jobs.JobJson;

/** The jobs of a table as text: in JSON for the control API and in lines for the shell. */
final class JobReports {
    private static final long MS_US = 1_000;

    private JobReports() {}

    /** Where a job stands, as the beginning of a reason. */
    static String standing(Job job) {
        return "job '" + job.id() + "' is " + job.state().label();
    }

    /** All jobs with their ages at a stamp, as the control API lists them. */
    static String json(JobTable table, long atUs) {
        var nowUs = table.clockAt(atUs);
        var text = new StringBuilder("{\"Jobs\":[");
        var separator = "";
        for (var job : table.byId().values()) {
            text.append(separator).append(JobJson.render(job, nowUs));
            separator = ",";
        }
        return text.append("]}").toString();
    }

    /** All jobs with their ages at a stamp, one a line. */
    static String text(JobTable table, long atUs) {
        var nowUs = table.clockAt(atUs);
        var text = new StringBuilder();
        for (var job : table.byId().values()) {
            text.append(
                    String.format(
                            "%s %s %s age %d ms slack %d ms runs %d fence %d %s\n",
                            job.id(),
                            job.state().label(),
                            job.region(),
                            (nowUs - job.submittedUs()) / MS_US,
                            (job.deadlineUs() - nowUs) / MS_US,
                            job.attempts(),
                            job.fencingToken(),
                            job.reason()));
        }
        return text.toString();
    }
}
