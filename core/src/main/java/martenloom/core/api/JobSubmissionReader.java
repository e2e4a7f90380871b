package martenloom.core.api;

import com.typesafe.config.Config;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import martenloom.common.error.InvalidConfigurationException;
import martenloom.common.jobs.Job;
import martenloom.core.state.Sha256;
import martenloom.routing.configuration.JsonText;

/** Reads the submission of a deferred job. */
final class JobSubmissionReader {
    private static final String STEP = "read job";
    private static final String DEFAULT_METHOD = "POST";
    private static final String METHOD_FORMAT = "[A-Z]{1,16}";
    private static final String HEADER_NAME_FORMAT = "[A-Za-z0-9-]{1,64}";
    private static final char LAST_PRINTABLE = '~';
    private static final long US_PER_MS = 1_000;

    private JobSubmissionReader() {}

    /**
     * The job as it was submitted; its deadline is relative.
     *
     * @throws martenloom.common.error.MartenloomException if a field is not valid
     * @throws com.typesafe.config.ConfigException if a field is missing or has another type
     */
    static Job read(String id, String json) {
        var submission = JsonText.parse(json);
        var job = new Job();
        job.setId(id);
        job.setHost(submission.getString("Hostname").toLowerCase(Locale.ROOT));
        job.setPath(path(submission));
        job.setMethod(method(submission));
        job.setRegion(textOr(submission, "Region", ""));
        job.setBody(textOr(submission, "Body", "").getBytes(StandardCharsets.UTF_8));
        job.setDeadlineUs((long) (submission.getDouble("DueMs") * US_PER_MS));
        job.setHeaderFields(headerFields(submission));
        job.setDigest(digest(job));
        return job;
    }

    private static String textOr(Config submission, String field, String absent) {
        return submission.hasPath(field) ? submission.getString(field) : absent;
    }

    private static String path(Config submission) {
        var path = submission.getString("Path");
        if (!path.startsWith("/")
                || path.chars()
                        .anyMatch(character -> character <= ' ' || character > LAST_PRINTABLE)) {
            throw new InvalidConfigurationException(
                    STEP, "Path: must begin with a slash and hold no blanks");
        }
        return path;
    }

    private static String method(Config submission) {
        var method = textOr(submission, "Method", DEFAULT_METHOD);
        if (!method.matches(METHOD_FORMAT)) {
            throw new InvalidConfigurationException(STEP, "Method: must be a word in capitals");
        }
        return method;
    }

    /** The header fields as lines, sorted. */
    private static List<String> headerFields(Config submission) {
        var fields = new ArrayList<String>();
        if (submission.hasPath("Headers")) {
            for (var header : submission.getObject("Headers").entrySet()) {
                var name = header.getKey();
                var value = String.valueOf(header.getValue().unwrapped());
                if (!name.matches(HEADER_NAME_FORMAT)
                        || value.chars()
                                .anyMatch(
                                        character ->
                                                character < ' ' || character > LAST_PRINTABLE)) {
                    throw new InvalidConfigurationException(
                            STEP, "Headers: '" + name + "' is no plain field");
                }
                fields.add(name + ": " + value);
            }
        }
        Collections.sort(fields);
        return fields;
    }

    /** By this a submission that is sent again is recognised. */
    private static String digest(Job job) {
        return Sha256.hexDigest(
                job.host()
                        + "\n"
                        + job.path()
                        + "\n"
                        + job.method()
                        + "\n"
                        + job.region()
                        + "\n"
                        + job.headerFields()
                        + "\n"
                        + job.deadlineUs(),
                job.body());
    }
}
