package martenloom.common.jobs;

import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/** The encoding of a job on the wire and on disk. */
public final class JobCodec {
    private JobCodec() {}

    /** Writes a job. */
    public static void write(Job job, RecordWriter out) {
        write(job, out, Integer.MAX_VALUE);
    }

    /**
     * Writes a job in the same form with those of its contents empty that are larger than this,
     * since they are kept apart.
     */
    public static void write(Job job, RecordWriter out, int largestContent) {
        out.text(job.id())
                .text(job.region())
                .text(job.method())
                .text(job.host())
                .text(job.path())
                .texts(job.headerFields())
                .blob(part(job, JobPart.BODY, largestContent))
                .text(job.digest())
                .flag(job.retriable())
                .flag(job.resumable());
        out.i64(job.submittedUs())
                .i64(job.deadlineUs())
                .u8(job.state().ordinal())
                .i64(job.fencingToken())
                .i32(job.attempts())
                .text(job.lastEventId())
                .blob(part(job, JobPart.CHECKPOINT, largestContent))
                .i32(job.status())
                .blob(part(job, JobPart.RESULT, largestContent));
        out.flag(job.confirmed()).i64(job.endedUs()).text(job.reason());
    }

    private static byte[] part(Job job, JobPart part, int largestContent) {
        var content = job.content(part);
        return content.length() > largestContent ? Content.EMPTY.bytes() : content.bytes();
    }

    /** Reads what {@link #write} wrote. */
    public static Job read(RecordReader in) {
        var job = new Job();
        job.setId(in.text());
        job.setRegion(in.text());
        job.setMethod(in.text());
        job.setHost(in.text());
        job.setPath(in.text());
        job.setHeaderFields(in.texts());
        job.setBody(in.blob());
        job.setDigest(in.text());
        job.setRetriable(in.flag());
        job.setResumable(in.flag());
        job.setSubmittedUs(in.i64());
        job.setDeadlineUs(in.i64());
        job.setState(JobState.ofOrdinal(in.u8()));
        job.setFencingToken(in.i64());
        job.setAttempts(in.i32());
        job.setLastEventId(in.text());
        job.setCheckpoint(in.blob());
        job.setStatus(in.i32());
        job.setResult(in.blob());
        job.setConfirmed(in.flag());
        job.setEndedUs(in.i64());
        job.setReason(in.text());
        return job;
    }
}
