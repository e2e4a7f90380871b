package martenloom.core.state;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.jobs.Job;
import martenloom.common.jobs.JobCodec;
import martenloom.common.jobs.JobJson;
import martenloom.common.jobs.JobState;

/**
 * The deferred jobs as part of the core's state: immutable, changed only by decide(), which is the
 * one place that moves a job from state to state. Whoever runs jobs shows the grant of its duty as
 * a fence; a former holder's words are refused. Times are on the book's own clock, which only goes
 * forward and is carried in the state.
 */
public final class JobTable {
    public static final int MOST_JOBS = 200;
    public static final int MOST_BODY = 256 << 10;
    public static final int MOST_BYTES = 4 << 20;
    public static final long RESULT_AGE_US = 3_600_000_000L;
    public static final long LATE_US = 10_000_000;
    public static final int MOST_RUNS = 8;
    public static final JobTable EMPTY = new JobTable(0, Map.of());

    public final long clockUs;
    public final Map<String, Job> jobs;

    private JobTable(long c, Map<String, Job> j) {
        clockUs = c;
        jobs = j;
    }

    /** What a call comes to. */
    public record Said(int status, String text, Optional<JobTable> next) {}

    public void write(RecordWriter o) {
        o.i64(clockUs).list(jobs.values(), (w, j) -> JobCodec.write(j, w));
    }

    public static JobTable read(RecordReader in) {
        var c = in.i64();
        var m = new TreeMap<String, Job>();
        in.list(
                x -> {
                    var j = JobCodec.read(x);
                    return m.put(j.id(), j);
                });
        return new JobTable(c, m);
    }

    public long live() {
        return jobs.values().stream().filter(j -> j.state().isLive()).count();
    }

    public long bytes() {
        return jobs.values().stream().mapToLong(Job::sizeBytes).sum();
    }

    private static Said no(int status, String why) {
        return new Said(status, why, Optional.empty());
    }

    private Said put(long at, Job j, String text) {
        var m = new TreeMap<>(jobs);
        m.put(j.id(), j);
        return new Said(200, text, Optional.of(new JobTable(Math.max(clockUs, at), m)));
    }

    public Said decide(ClusterState.Change c, Map<String, ClusterState.Duty> duties) {
        if (c.act == ClusterState.Act.JOB_CLOCK) {
            return tick(c.atUs);
        }
        if (c.act == ClusterState.Act.JOB_LIST) {
            return no(200, list(c.atUs));
        }
        if (c.act == ClusterState.Act.JOB_SUBMIT) {
            return submit(c);
        }
        var j = Optional.ofNullable(jobs.get(c.subject));
        if (j.isEmpty()) {
            return no(404, "job '" + c.subject + "' is not known");
        }
        return switch (c.act) {
            case JOB_GET -> no(200, JobJson.render(j.get(), Math.max(clockUs, c.atUs)));
            case JOB_RESULT -> result(j.get());
            case JOB_CONFIRM -> confirm(c, j.get());
            case JOB_CANCEL -> cancel(c, j.get());
            default -> fenced(c, j.get(), duties);
        };
    }

    private Said submit(ClusterState.Change c) {
        var j = JobCodec.read(new RecordReader(Base64.getDecoder().decode(c.body), false));
        var old = Optional.ofNullable(jobs.get(j.id()));
        if (old.isPresent()) {
            return old.get().digest().equals(j.digest())
                    ? no(200, JobJson.render(old.get(), Math.max(clockUs, c.atUs)))
                    : no(409, "job '" + j.id() + "' is known with other content");
        }
        if (j.sizeBytes() > MOST_BODY) {
            return no(
                    413,
                    "Body: the job has "
                            + j.sizeBytes()
                            + " bytes, over the limit of "
                            + MOST_BODY);
        }
        if (jobs.size() >= MOST_JOBS) {
            return no(
                    429,
                    "the core keeps "
                            + MOST_JOBS
                            + " jobs, its limit; confirm results or come back later");
        }
        if (bytes() + j.sizeBytes() > MOST_BYTES) {
            return no(
                    429,
                    "the core keeps "
                            + bytes()
                            + " bytes of jobs, near its limit of "
                            + MOST_BYTES);
        }
        var now = Math.max(clockUs, c.atUs);
        j.setSubmittedUs(now);
        j.setDeadlineUs(now + j.deadlineUs());
        return put(c.atUs, j, JobJson.render(j, now));
    }

    private static Said result(Job j) {
        if (j.state() != JobState.DONE) {
            return no(
                    409,
                    "job '"
                            + j.id()
                            + "' is "
                            + j.state().label()
                            + (j.reason().isEmpty() ? "" : ": " + j.reason()));
        }
        return j.confirmed()
                ? no(410, "the result of job '" + j.id() + "' was confirmed and let go")
                : no(200, new String(j.result(), StandardCharsets.UTF_8));
    }

    private Said confirm(ClusterState.Change c, Job j) {
        if (j.state() != JobState.DONE) {
            return no(409, "job '" + j.id() + "' is " + j.state().label());
        }
        if (j.confirmed()) {
            return no(200, "");
        }
        var n = j.copy();
        n.setConfirmed(true);
        n.setResult(new byte[0]);
        n.setBody(new byte[0]);
        return put(c.atUs, n, "");
    }

    private Said cancel(ClusterState.Change c, Job j) {
        if (j.state() == JobState.CANCELLED) {
            return no(200, "");
        }
        if (!j.state().isLive() || j.state() == JobState.RUNNING && !j.retriable()) {
            return no(
                    409,
                    "job '"
                            + j.id()
                            + "' is "
                            + j.state().label()
                            + (j.state().isLive() ? " and may not be taken back" : ""));
        }
        return put(c.atUs, ended(j, JobState.CANCELLED, "cancelled", c.atUs), "");
    }

    private Job ended(Job j, JobState s, String why, long at) {
        var n = j.copy();
        n.setState(s);
        n.setReason(why);
        n.setEndedUs(Math.max(clockUs, at));
        if (s != JobState.DONE) {
            n.setCheckpoint(new byte[0]);
            n.setBody(new byte[0]);
        }
        return n;
    }

    // ---- what the holder of the duty says; base is its fence, version the number of the run

    private Said fenced(ClusterState.Change c, Job j, Map<String, ClusterState.Duty> duties) {
        var d = Optional.ofNullable(duties.get(j.role()));
        if (d.isEmpty() || d.get().grant != c.base) {
            return no(409, "fence " + c.base + " is not the grant in force");
        }
        if (c.act == ClusterState.Act.JOB_START) {
            return start(c, j);
        }
        if (j.state() != JobState.RUNNING
                || j.fencingToken() != c.base
                || j.attempts() != c.version) {
            return no(
                    409,
                    "job '"
                            + j.id()
                            + "' is "
                            + j.state().label()
                            + " under fence "
                            + j.fencingToken()
                            + ", run "
                            + j.attempts());
        }
        var in = new RecordReader(Base64.getDecoder().decode(c.body), false);
        return switch (c.act) {
            case JOB_KEEP -> {
                var n = j.copy();
                n.setLastEventId(in.text());
                var from = in.i32();
                var more = in.blob();
                if (from + more.length == j.checkpoint().length
                        && j.lastEventId().equals(n.lastEventId())) {
                    yield no(200, "");
                }
                if (from != j.checkpoint().length) {
                    yield no(
                            409,
                            "job '"
                                    + j.id()
                                    + "' has "
                                    + j.checkpoint().length
                                    + " bytes kept, not "
                                    + from);
                }
                n.setCheckpoint(j.checkpointFollowedBy(more));
                yield n.sizeBytes() > 2 * MOST_BODY
                        ? put(
                                c.atUs,
                                ended(j, JobState.FAILED, "the result is over the limit", c.atUs),
                                "")
                        : put(c.atUs, n, "");
            }
            case JOB_DONE -> {
                var n = ended(j, JobState.DONE, "", c.atUs);
                n.setStatus(in.i32());
                if (in.i32() != j.checkpoint().length) {
                    yield no(
                            409,
                            "job '" + j.id() + "' has " + j.checkpoint().length + " bytes kept");
                }
                n.setResult(j.checkpointFollowedBy(in.blob()));
                n.setCheckpoint(new byte[0]);
                n.setBody(new byte[0]);
                yield n.sizeBytes() > 2 * MOST_BODY
                        ? put(
                                c.atUs,
                                ended(j, JobState.FAILED, "the result is over the limit", c.atUs),
                                "")
                        : put(c.atUs, n, "");
            }
            case JOB_BACK -> back(c, j, in.u8(), in.text());
            default -> no(400, "no such word about a job");
        };
    }

    /**
     * Starts the run after the one that the holder knew of: a copy that comes after that run was
     * taken back starts nothing.
     */
    private Said start(ClusterState.Change c, Job j) {
        if (j.attempts() != c.version) {
            return no(
                    409,
                    "job '" + j.id() + "' has had " + j.attempts() + " runs, not " + c.version);
        }
        if (j.state() == JobState.RUNNING && j.fencingToken() < c.base) {
            if (!j.retriable()) {
                return put(
                        c.atUs,
                        ended(
                                j,
                                JobState.UNCERTAIN,
                                "its runner was lost and it may have run",
                                c.atUs),
                        "");
            }
        } else if (j.state() != JobState.WAITING) {
            return no(409, "job '" + j.id() + "' is " + j.state().label());
        }
        var n = j.copy();
        n.setState(JobState.RUNNING);
        n.setFencingToken(c.base);
        n.setAttempts(n.attempts() + 1);
        n.setReason("running at " + c.body);
        var o = new RecordWriter();
        JobCodec.write(n, o);
        return put(c.atUs, n, Base64.getEncoder().encodeToString(o.bytes()));
    }

    /**
     * How a run came to nothing: 0 it did not run, 1 it may have run, 2 the replica's answer was a
     * failure.
     */
    private Said back(ClusterState.Change c, Job j, int how, String why) {
        if (how == 1 && !j.retriable()) {
            return put(c.atUs, ended(j, JobState.UNCERTAIN, why, c.atUs), "");
        }
        if (how == 2 && !j.retriable() || how > 0 && j.attempts() >= MOST_RUNS) {
            return put(c.atUs, ended(j, JobState.FAILED, why, c.atUs), "");
        }
        var n = j.copy();
        n.setState(JobState.WAITING);
        n.setReason(why);
        return put(c.atUs, n, "");
    }

    /** Moves the clock, ends what is past its due time, and lets go of old ends. */
    private Said tick(long at) {
        var now = Math.max(clockUs, at);
        var m = new TreeMap<String, Job>();
        for (var j : jobs.values()) {
            if (j.state() == JobState.WAITING && now > j.deadlineUs()) {
                m.put(
                        j.id(),
                        ended(j, JobState.EXPIRED, "its due time passed while it waited", at));
            } else if (j.state() == JobState.RUNNING && now > j.deadlineUs() + LATE_US) {
                m.put(
                        j.id(),
                        j.retriable()
                                ? ended(j, JobState.EXPIRED, "its due time passed while it ran", at)
                                : ended(j, JobState.UNCERTAIN, "no word came from its runner", at));
            } else if (j.state().isLive() || now - j.endedUs() < RESULT_AGE_US) {
                m.put(j.id(), j);
            }
        }
        return new Said(200, "", Optional.of(new JobTable(now, m)));
    }

    private String list(long at) {
        var b = new StringBuilder("{\"Jobs\":[");
        jobs.values()
                .forEach(
                        j ->
                                b.append(b.charAt(b.length() - 1) == '[' ? "" : ",")
                                        .append(JobJson.render(j, Math.max(clockUs, at))));
        return b.append("]}").toString();
    }

    public String text(long at) {
        var b = new StringBuilder();
        var now = Math.max(clockUs, at);
        jobs.values()
                .forEach(
                        j ->
                                b.append(
                                        String.format(
                                                "%s %s %s age %d ms slack %d ms runs %d fence %d"
                                                        + " %s\n",
                                                j.id(),
                                                j.state().label(),
                                                j.region(),
                                                (now - j.submittedUs()) / 1000,
                                                (j.deadlineUs() - now) / 1000,
                                                j.attempts(),
                                                j.fencingToken(),
                                                j.reason())));
        return b.toString();
    }
}
