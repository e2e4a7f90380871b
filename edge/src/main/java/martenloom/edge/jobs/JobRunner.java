package martenloom.edge.jobs;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.jobs.Job;
import martenloom.common.jobs.JobCodec;
import martenloom.common.jobs.JobUrgency;
import martenloom.common.log.RingLog;
import martenloom.edge.dispatch.Request;
import martenloom.edge.dispatch.RequestDispatcher;
import martenloom.edge.http.Head;

/**
 * Runs the deferred jobs of a region while this edge holds that duty. It picks by urgency, then by
 * shared prefix, takes a job only when the dispatcher has room to spare, and tells the core of
 * every step under the fence of its grant; when the grant ends it lets go of everything at once.
 * The core decides what a lost run means.
 */
public final class JobRunner {
    private static final int MOST = 6;
    private static final int KEEP_BYTES = 16 << 10;

    /**
     * How the core is told: act, subject, fence, number of the run, body; the reply is a status and
     * a text.
     */
    @FunctionalInterface
    public interface Core {
        void ask(
                String act,
                String job,
                long fence,
                long run,
                String body,
                BiConsumer<Integer, String> reply);
    }

    /** One line of what the home says of live jobs. */
    public record Line(
            String id,
            boolean running,
            long fence,
            int runs,
            long leftUs,
            long wholeUs,
            String prefix,
            String route) {}

    private final class Run implements Request.Sink {
        final Job job;
        final long fence;
        final ByteArrayOutputStream fresh = new ByteArrayOutputStream();
        Optional<Request> request = Optional.empty();
        String head = "";
        boolean telling;
        boolean over;
        int kept;

        Run(Job j, long f) {
            job = j;
            fence = f;
            kept = j.checkpoint().length;
        }

        @Override
        public void whole(byte[] h, byte[] body) {
            var s = new String(h, StandardCharsets.ISO_8859_1);
            var status = Integer.parseInt(s.substring(9, 12));
            var sealed = s.toLowerCase(Locale.ROOT).contains("\r\nx-server-seal:");
            if (sealed && status / 100 == 2) {
                fresh.writeBytes(body);
                done(status);
            } else if (sealed || s.contains("X-Attempt-Id")) {
                back(2, "the replica answered " + status);
            } else {
                back(status == 503 || status == 429 ? 0 : 1, "no answer: " + status);
            }
        }

        @Override
        public void open(byte[] h) {
            head = new String(h, StandardCharsets.ISO_8859_1);
        }

        @Override
        public void event(byte[] b) {
            fresh.writeBytes(b);
            if (fresh.size() > KEEP_BYTES) {
                keep();
            }
        }

        @Override
        public void end() {
            done(200);
        }

        @Override
        public void cut() {
            keep();
            back(1, "the stream was cut");
        }

        @Override
        public int waiting() {
            return 0;
        }

        void keep() {
            if (over || telling || !job.resumable() || fresh.size() == 0 || request.isEmpty()) {
                return;
            }
            telling = true;
            var n = fresh.toByteArray();
            fresh.reset();
            keep(request.get().lastEvent, n, 0);
        }

        /**
         * The same words again until there is a clear reply; the place they belong makes that
         * harmless.
         */
        private void keep(String last, byte[] n, int tries) {
            core.ask(
                    "JOB_KEEP",
                    job.id(),
                    fence,
                    job.attempts(),
                    body(new RecordWriter().text(last).i32(kept).blob(n)),
                    (s, t) -> {
                        if (s == 200) {
                            kept += n.length;
                            telling = false;
                        } else if (s == 503 && held.getAsBoolean() && tries < 50) {
                            later.accept(200_000L, () -> keep(last, n, tries + 1));
                        } else {
                            letGo(this, "the core said " + t);
                        }
                    });
        }

        void done(int status) {
            tell(
                    "JOB_DONE",
                    () -> body(new RecordWriter().i32(status).i32(kept).blob(fresh.toByteArray())),
                    0);
        }

        void back(int how, String why) {
            tell("JOB_BACK", () -> body(new RecordWriter().u8(how).text(why)), 0);
        }

        /** Tells the end until the core has a clear answer or the duty is gone. */
        private void tell(String act, Supplier<String> b, int tries) {
            over = true;
            if (!held.getAsBoolean() || fence != grant) {
                runs.remove(job.id());
                return;
            }
            if (telling && tries < 200) {
                later.accept(100_000L, () -> tell(act, b, tries + 1));
                return;
            }
            core.ask(
                    act,
                    job.id(),
                    fence,
                    job.attempts(),
                    b.get(),
                    (s, t) -> {
                        if (s == 503) {
                            later.accept(200_000L, () -> tell(act, b, tries + 1));
                        } else {
                            runs.remove(job.id());
                            RingLog.debug(
                                    "job "
                                            + job.id()
                                            + " "
                                            + act
                                            + ": "
                                            + s
                                            + " "
                                            + (s == 200 ? "" : t));
                        }
                    });
        }
    }

    private final RequestDispatcher dispatcher;
    private final Core core;
    private final BooleanSupplier held;
    private final BiConsumer<Long, Runnable> later;
    private final String me;
    private final Map<String, Run> runs = new TreeMap<>();
    private final Set<String> starting = new TreeSet<>();
    private final Set<String> ran = new TreeSet<>();
    private final Map<String, String> waits = new TreeMap<>();
    private List<Line> lines = List.of();
    private long grant;
    private long started;

    public JobRunner(
            RequestDispatcher f,
            Core c,
            BooleanSupplier held,
            BiConsumer<Long, Runnable> later,
            String me) {
        dispatcher = f;
        core = c;
        this.held = held;
        this.later = later;
        this.me = me;
    }

    private static String body(RecordWriter o) {
        return Base64.getEncoder().encodeToString(o.bytes());
    }

    public void onLines(List<Line> l) {
        lines = l;
    }

    public void onGrant(long g) {
        if (g != grant) {
            dropAll("a new grant");
            ran.clear();
        }
        grant = g;
    }

    public boolean busy() {
        return !runs.isEmpty();
    }

    private void letGo(Run r, String why) {
        RingLog.debug("job " + r.job.id() + " is let go: " + why);
        runs.remove(r.job.id());
        r.over = true;
        r.request.ifPresent(dispatcher::dropJob);
    }

    private void dropAll(String why) {
        List.copyOf(runs.values()).forEach(r -> letGo(r, why));
        starting.clear();
    }

    public void tick() {
        if (!held.getAsBoolean()) {
            if (!runs.isEmpty()) {
                dropAll("the duty is not held");
            }
            return;
        }
        waits.clear();
        var seen = new HashSet<String>();
        lines.forEach(l -> seen.add(l.id));
        for (var r : List.copyOf(runs.values())) {
            if (!seen.contains(r.job.id())
                    && !r.over
                    && Clocks.nowUs() - r.request.map(e -> e.arrivedUs).orElse(0L) > 2_000_000) {
                letGo(r, "it is no longer live");
            }
        }
        lines.stream()
                .filter(
                        l ->
                                l.running
                                        && l.fence == grant
                                        && !runs.containsKey(l.id)
                                        && !starting.contains(l.id))
                .forEach(this::disown);
        lines.stream()
                .filter(
                        l ->
                                !runs.containsKey(l.id)
                                        && !starting.contains(l.id)
                                        && (!l.running || l.fence < grant))
                .sorted(
                        Comparator.comparingInt((Line l) -> -JobUrgency.of(l.leftUs, l.wholeUs))
                                .thenComparing(Line::prefix)
                                .thenComparingLong(Line::leftUs))
                .forEach(this::consider);
    }

    /**
     * The core has a job as running under our own grant, and it is not in our hands: it was let go
     * when the lease ran out for a while, or the reply of its start was lost. Nobody else can have
     * it, so we say how far it came.
     */
    private void disown(Line l) {
        starting.add(l.id);
        core.ask(
                "JOB_BACK",
                l.id,
                grant,
                l.runs,
                body(new RecordWriter().u8(ran.contains(l.id) ? 1 : 0).text("it was let go")),
                (s, t) -> later.accept(600_000L, () -> starting.remove(l.id)));
    }

    private void consider(Line l) {
        var u = JobUrgency.of(l.leftUs, l.wholeUs);
        if (runs.size() + starting.size() >= MOST) {
            waits.put(l.id, "urgency " + u + ": " + MOST + " jobs run already");
            return;
        }
        if (!dispatcher.jobRoom(l.route, u)) {
            waits.put(l.id, "urgency " + u + ": no room to spare for it");
            return;
        }
        starting.add(l.id);
        var g = grant;
        core.ask(
                "JOB_START",
                l.id,
                g,
                l.runs,
                me,
                (s, t) -> {
                    starting.remove(l.id);
                    if (s == 200 && !t.isEmpty() && held.getAsBoolean() && g == grant) {
                        run(
                                JobCodec.read(
                                        new RecordReader(Base64.getDecoder().decode(t), false)),
                                g,
                                u,
                                l.leftUs);
                    }
                });
    }

    private void run(Job j, long g, int urgency, long leftUs) {
        var r = new Run(j, g);
        runs.put(j.id(), r);
        ran.add(j.id());
        started++;
        var e = dispatcher.startJob(head(j, g, leftUs), j.body(), r, urgency, j.lastEventId());
        r.request = e;
        if (e.isEmpty()) {
            r.back(0, "no room when it was to start");
        }
    }

    private static Head head(Job j, long g, long leftUs) {
        var h = new Head();
        h.one = j.method();
        h.two = j.path();
        h.three = "HTTP/1.1";
        h.set("Host", j.host());
        for (var f : j.headerFields()) {
            var c = f.indexOf(':');
            h.set(f.substring(0, c), f.substring(c + 1).strip());
        }
        h.set("X-Attempt-Id", "job-" + j.id() + "-" + g + "-" + j.attempts());
        h.set("X-Time-Remaining", String.valueOf(Math.max(2_000, leftUs / 1000)));
        h.set("Content-Length", String.valueOf(j.body().length));
        return h;
    }

    public String text() {
        var b =
                new StringBuilder(
                        String.format(
                                "grant %d held %s running %d started %d\n",
                                grant, held.getAsBoolean(), runs.size(), started));
        lines.forEach(
                l ->
                        b.append(
                                String.format(
                                        "%s %s left %d ms of %d ms urgency %d %s\n",
                                        l.id,
                                        l.running ? "running" : "waiting",
                                        l.leftUs / 1000,
                                        l.wholeUs / 1000,
                                        JobUrgency.of(l.leftUs, l.wholeUs),
                                        waits.getOrDefault(l.id, ""))));
        return b.toString();
    }
}
