package martenloom.common.jobs;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/**
 * One deferred job as the core keeps it and an edge runs it. Its states are explicit; how urgent it
 * is follows from its slack alone, by the steps of urgency().
 */
public final class Job {
    /** Where a deferred job stands between its submission and the confirmation of its result. */
    public enum State {
        WAITING,
        RUNNING,
        DONE,
        FAILED,
        UNCERTAIN,
        CANCELLED,
        EXPIRED;

        public boolean live() {
            return this == WAITING || this == RUNNING;
        }

        public String word() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    public String id = "";
    public String region = "";
    public String method = "POST";
    public String host = "";
    public String path = "";
    public List<String> fields = List.of();
    public byte[] body = new byte[0];
    public String digest = "";
    public boolean repeatable;
    public boolean resumable;
    public long submittedUs;
    public long dueUs;
    public State state = State.WAITING;
    public long fence;
    public int runs;
    public String lastEvent = "";
    public byte[] kept = new byte[0];
    public int status;
    public byte[] result = new byte[0];
    public boolean confirmed;
    public long endedUs;
    public String why = "";

    public String duty() {
        return "jobs/" + region;
    }

    public long bytes() {
        return body.length
                + kept.length
                + result.length
                + path.length()
                + fields.stream().mapToInt(String::length).sum();
    }

    public static byte[] join(byte[] a, byte[] b) {
        var c = Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, c, a.length, b.length);
        return c;
    }

    /** The first shared part of its prompt, by which like jobs are run together. */
    public String prefix() {
        return fields.stream()
                .filter(f -> f.toLowerCase(Locale.ROOT).startsWith("x-prompt-prefix:"))
                .findFirst()
                .map(f -> f.substring(16).strip().split("[:,]")[0])
                .orElse("");
    }

    /**
     * The rule of urgency. 0: more than half of its time is left; 1: more than a fifth; 2: more
     * than a twentieth, or the last 20 s; 3: the last 5 s. A step higher is run in less room, and
     * asked of replicas with more weight.
     */
    public static int urgency(long leftUs, long wholeUs) {
        if (leftUs < 5_000_000) {
            return 3;
        }
        if (leftUs < 20_000_000 && leftUs * 2 < wholeUs || leftUs * 20 < wholeUs) {
            return 2;
        }
        return leftUs * 2 > wholeUs ? 0 : leftUs * 5 > wholeUs ? 1 : 2;
    }

    public Job copy() {
        var o = new RecordWriter();
        write(o);
        return read(new RecordReader(o.bytes(), false));
    }

    public void write(RecordWriter o) {
        o.text(id)
                .text(region)
                .text(method)
                .text(host)
                .text(path)
                .texts(fields)
                .blob(body)
                .text(digest)
                .flag(repeatable)
                .flag(resumable);
        o.i64(submittedUs)
                .i64(dueUs)
                .u8(state.ordinal())
                .i64(fence)
                .i32(runs)
                .text(lastEvent)
                .blob(kept)
                .i32(status)
                .blob(result);
        o.flag(confirmed).i64(endedUs).text(why);
    }

    public static Job read(RecordReader in) {
        var j = new Job();
        j.id = in.text();
        j.region = in.text();
        j.method = in.text();
        j.host = in.text();
        j.path = in.text();
        j.fields = in.texts();
        j.body = in.blob();
        j.digest = in.text();
        j.repeatable = in.flag();
        j.resumable = in.flag();
        j.submittedUs = in.i64();
        j.dueUs = in.i64();
        j.state = State.values()[in.u8()];
        j.fence = in.i64();
        j.runs = in.i32();
        j.lastEvent = in.text();
        j.kept = in.blob();
        j.status = in.i32();
        j.result = in.blob();
        j.confirmed = in.flag();
        j.endedUs = in.i64();
        j.why = in.text();
        return j;
    }

    private static String q(String s) {
        return '"' + s.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", " ") + '"';
    }

    public String json(long now) {
        return "{\"Id\":"
                + q(id)
                + ",\"State\":"
                + q(state.word())
                + ",\"Region\":"
                + q(region)
                + ",\"AgeMs\":"
                + (now - submittedUs) / 1000
                + ",\"SlackMs\":"
                + (dueUs - now) / 1000
                + ",\"Runs\":"
                + runs
                + ",\"Status\":"
                + status
                + ",\"Confirmed\":"
                + confirmed
                + ",\"Why\":"
                + q(why)
                + "}";
    }
}
