package martenloom.common.jobs;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * One deferred job, as the core keeps it and an edge runs it: its request, its {@link JobState},
 * and what its attempts have brought so far. Not thread-safe; the core changes a job only on a
 * {@link #copy()} that then replaces it. Times are microseconds on the replicated clock of the
 * jobs.
 */
public final class Job {
    private static final String PREFIX_FIELD = "x-prompt-prefix:";

    private String id = "";

    /** The region in which the job runs. */
    private String region = "";

    private String method = "POST";
    private String host = "";
    private String path = "";

    /** Header fields of the request, each as "name: value". */
    private List<String> headerFields = List.of();

    private Content body = Content.EMPTY;

    /** A hash of the submission, by which a repeated submission is recognised. */
    private String digest = "";

    /** Whether an attempt whose outcome is unknown may be followed by another. */
    private boolean retriable;

    /** Whether an attempt may go on from the checkpoint of the one before. */
    private boolean resumable;

    private long submittedUs;
    private long deadlineUs;
    private JobState state = JobState.WAITING;

    /** The token of the role lease under which the current attempt was started. */
    private long fencingToken;

    /** How many attempts were started. */
    private int attempts;

    /** The id of the last event in the checkpoint. */
    private String lastEventId = "";

    /** The part of the result that was saved while the attempt was running. */
    private Content checkpoint = Content.EMPTY;

    /** The HTTP status of the result. */
    private int status;

    private Content result = Content.EMPTY;

    /** The media type of the result; empty when it is not known. */
    private String mediaType = "";

    /** Whether the submitter has confirmed the receipt of the result. */
    private boolean confirmed;

    private long endedUs;

    /** Why the job is in this state, for the operator. */
    private String reason = "";

    public String id() {
        return id;
    }

    public void setId(String id) {
        this.id = id;
    }

    public String region() {
        return region;
    }

    public void setRegion(String region) {
        this.region = region;
    }

    public String method() {
        return method;
    }

    public void setMethod(String method) {
        this.method = method;
    }

    public String host() {
        return host;
    }

    public void setHost(String host) {
        this.host = host;
    }

    public String path() {
        return path;
    }

    public void setPath(String path) {
        this.path = path;
    }

    public List<String> headerFields() {
        return headerFields;
    }

    public void setHeaderFields(List<String> headerFields) {
        this.headerFields = headerFields;
    }

    public byte[] body() {
        return body.bytes();
    }

    public void setBody(byte[] bytes) {
        body = Content.of(bytes);
    }

    public String digest() {
        return digest;
    }

    public void setDigest(String digest) {
        this.digest = digest;
    }

    public boolean retriable() {
        return retriable;
    }

    public void setRetriable(boolean retriable) {
        this.retriable = retriable;
    }

    public boolean resumable() {
        return resumable;
    }

    public void setResumable(boolean resumable) {
        this.resumable = resumable;
    }

    public long submittedUs() {
        return submittedUs;
    }

    public void setSubmittedUs(long submittedUs) {
        this.submittedUs = submittedUs;
    }

    public long deadlineUs() {
        return deadlineUs;
    }

    public void setDeadlineUs(long deadlineUs) {
        this.deadlineUs = deadlineUs;
    }

    public JobState state() {
        return state;
    }

    public void setState(JobState state) {
        this.state = state;
    }

    public long fencingToken() {
        return fencingToken;
    }

    public void setFencingToken(long fencingToken) {
        this.fencingToken = fencingToken;
    }

    public int attempts() {
        return attempts;
    }

    public void setAttempts(int attempts) {
        this.attempts = attempts;
    }

    public String lastEventId() {
        return lastEventId;
    }

    public void setLastEventId(String lastEventId) {
        this.lastEventId = lastEventId;
    }

    public byte[] checkpoint() {
        return checkpoint.bytes();
    }

    public void setCheckpoint(byte[] bytes) {
        checkpoint = Content.of(bytes);
    }

    public int status() {
        return status;
    }

    public void setStatus(int status) {
        this.status = status;
    }

    public byte[] result() {
        return result.bytes();
    }

    public void setResult(byte[] bytes) {
        result = Content.of(bytes);
    }

    public String mediaType() {
        return mediaType;
    }

    public void setMediaType(String mediaType) {
        this.mediaType = mediaType;
    }

    public boolean confirmed() {
        return confirmed;
    }

    public void setConfirmed(boolean confirmed) {
        this.confirmed = confirmed;
    }

    public long endedUs() {
        return endedUs;
    }

    public void setEndedUs(long endedUs) {
        this.endedUs = endedUs;
    }

    public String reason() {
        return reason;
    }

    public void setReason(String reason) {
        this.reason = reason;
    }

    /** The singleton role that runs the jobs of this region. */
    public String role() {
        return "jobs/" + region;
    }

    /** What the job counts against the limit on memory for jobs. */
    public long sizeBytes() {
        return (long) body.length()
                + checkpoint.length()
                + result.length()
                + path.length()
                + headerFields.stream().mapToInt(String::length).sum();
    }

    /** The checkpoint with more bytes after it. */
    public byte[] checkpointFollowedBy(byte[] more) {
        var joined = Arrays.copyOf(checkpoint.bytes(), checkpoint.length() + more.length);
        System.arraycopy(more, 0, joined, checkpoint.length(), more.length);
        return joined;
    }

    /** The first part of its prompt prefix: jobs that share it are run together. */
    public String promptPrefix() {
        return headerFields.stream()
                .filter(field -> field.toLowerCase(Locale.ROOT).startsWith(PREFIX_FIELD))
                .findFirst()
                .map(field -> field.substring(PREFIX_FIELD.length()).strip().split("[:,]")[0])
                .orElse("");
    }

    /** One of its contents. */
    public Content content(JobPart part) {
        return switch (part) {
            case BODY -> body;
            case CHECKPOINT -> checkpoint;
            case RESULT -> result;
        };
    }

    /** Sets one of its contents. */
    public void setContent(JobPart part, Content content) {
        switch (part) {
            case BODY -> body = content;
            case CHECKPOINT -> checkpoint = content;
            case RESULT -> result = content;
        }
    }

    /** A copy that shares the contents, which never change. */
    public Job copy() {
        var copy = new Job();
        copy.id = id;
        copy.region = region;
        copy.method = method;
        copy.host = host;
        copy.path = path;
        copy.headerFields = headerFields;
        copy.digest = digest;
        copy.retriable = retriable;
        copy.resumable = resumable;
        copy.submittedUs = submittedUs;
        copy.deadlineUs = deadlineUs;
        copy.state = state;
        copy.fencingToken = fencingToken;
        copy.attempts = attempts;
        copy.lastEventId = lastEventId;
        copy.status = status;
        copy.mediaType = mediaType;
        copy.confirmed = confirmed;
        copy.endedUs = endedUs;
        copy.reason = reason;
        for (var part : JobPart.values()) {
            copy.setContent(part, content(part));
        }
        return copy;
    }
}
