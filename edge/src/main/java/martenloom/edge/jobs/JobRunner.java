package martenloom.edge.jobs;

import java.util.Base64;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.jobs.Job;
import martenloom.common.jobs.JobCodec;
import martenloom.common.log.RingLog;
import martenloom.edge.dispatch.RequestDispatcher;
import martenloom.edge.home.CoreReply;
import martenloom.edge.home.CoreRequests;
import martenloom.edge.http.HeaderField;
import martenloom.edge.http.MessageHead;

/**
 * Runs the deferred jobs of a region while this edge holds that role. It picks by urgency, then by
 * shared prefix, starts a job only when the dispatcher has capacity to spare, and reports every
 * step to the core under the fencing token of its lease. While the lease is not held it starts
 * nothing and abandons what may be repeated, since a successor would run it again; what may run
 * only once goes on, for nobody else may run it, and is reported if the same lease is held again.
 * The core decides what a lost run means. Runs on the reactor thread.
 */
public final class JobRunner implements JobRun.Owner {
    private static final int MAX_RUNS = 6;

    /** A run that is not listed is abandoned once it is older: the list may be from before it. */
    private static final long MIN_UNLISTED_US = 2_000_000;

    /** How long a run that was given back is left alone, so that the list may show it. */
    private static final long GIVEN_BACK_PAUSE_US = 600_000;

    private static final long MIN_TIME_REMAINING_MS = 2_000;

    /** The most urgent first, then like jobs together, then those with the least time left. */
    private static final Comparator<JobListing> PICK_ORDER =
            Comparator.comparingInt((JobListing listing) -> -listing.urgency())
                    .thenComparing(JobListing::prefix)
                    .thenComparingLong(JobListing::leftUs);

    private final RequestDispatcher dispatcher;
    private final JobReports reports;
    private final JobLease lease;
    private final Scheduler scheduler;
    private final Map<String, JobRun> runs = new TreeMap<>();

    /** The jobs for which the core was asked and has not replied, or has just replied. */
    private final Set<String> pending = new TreeSet<>();

    /** The jobs that ran here under the present lease. */
    private final Set<String> ran = new TreeSet<>();

    /** Why each waiting job was not started in the last turn, for the shell. */
    private final Map<String, String> waitReasons = new TreeMap<>();

    private List<JobListing> listings = List.of();
    private long started;

    /**
     * Creates a runner without a lease.
     *
     * @param holdsRole whether this edge holds the role now
     * @param runner the address of this edge
     */
    public JobRunner(
            RequestDispatcher dispatcher,
            CoreRequests core,
            BooleanSupplier holdsRole,
            Scheduler scheduler,
            String runner) {
        this.dispatcher = dispatcher;
        this.scheduler = scheduler;
        reports = new JobReports(core, runner);
        lease = new JobLease(holdsRole);
    }

    /** Takes the jobs of the region that are not over. */
    public void onListings(List<JobListing> newer) {
        listings = newer;
    }

    /** Takes the fencing token of a grant or of its renewal. */
    public void onLease(long fencingToken) {
        if (lease.renew(fencingToken)) {
            abandonAll("a new grant");
            ran.clear();
        }
    }

    /** Whether some job runs here. */
    public boolean isRunningAny() {
        return !runs.isEmpty();
    }

    @Override
    public void onEnded(JobRun run) {
        runs.remove(run.id().jobId());
    }

    @Override
    public void abandon(JobRun run, String reason) {
        RingLog.debug("job " + run.id().jobId() + " is abandoned: " + reason);
        runs.remove(run.id().jobId());
        run.abandon();
        run.request().ifPresent(dispatcher::cancelJob);
    }

    private void abandonAll(String reason) {
        List.copyOf(runs.values()).forEach(run -> abandon(run, reason));
        pending.clear();
    }

    /** Compares what runs with the listings, and starts what is to run. */
    public void tick() {
        if (!lease.isHeld()) {
            runs.values().stream()
                    .filter(JobRun::mayBeRepeated)
                    .toList()
                    .forEach(run -> abandon(run, "the role is not held"));
            return;
        }
        waitReasons.clear();
        abandonUnlisted();
        listings.stream().filter(this::isMissing).forEach(this::giveBack);
        listings.stream().filter(this::isStartable).sorted(PICK_ORDER).forEach(this::consider);
    }

    private void abandonUnlisted() {
        var listed = new HashSet<String>();
        listings.forEach(listing -> listed.add(listing.id()));
        for (var run : List.copyOf(runs.values())) {
            if (!listed.contains(run.id().jobId())
                    && !run.isOver()
                    && ageUs(run) > MIN_UNLISTED_US) {
                abandon(run, "it is no longer live");
            }
        }
    }

    private static long ageUs(JobRun run) {
        return Clocks.nowUs() - run.request().map(request -> request.arrivedUs()).orElse(0L);
    }

    private boolean isKnownHere(JobListing listing) {
        return runs.containsKey(listing.id()) || pending.contains(listing.id());
    }

    /** Whether the core has a job as running under our own lease, and it is not known here. */
    private boolean isMissing(JobListing listing) {
        return listing.running()
                && listing.fencingToken() == lease.fencingToken()
                && !isKnownHere(listing);
    }

    /** Whether a job waits, or ran under an earlier lease. */
    private boolean isStartable(JobListing listing) {
        return !isKnownHere(listing)
                && (!listing.running() || listing.fencingToken() < lease.fencingToken());
    }

    /**
     * A run is missing that was abandoned when the lease ran out for a while, or of whose start the
     * reply was lost. Nobody else can have it, so we report how far it came.
     */
    private void giveBack(JobListing listing) {
        var id = listing.id();
        pending.add(id);
        reports.giveBack(
                lastRun(listing),
                ran.contains(id) ? RunFailure.MAY_HAVE_RUN : RunFailure.NOT_RUN,
                "it was let go",
                reply -> scheduler.after(GIVEN_BACK_PAUSE_US, () -> pending.remove(id)));
    }

    private void consider(JobListing listing) {
        var urgency = listing.urgency();
        if (runs.size() + pending.size() >= MAX_RUNS) {
            waitReasons.put(
                    listing.id(), "urgency " + urgency + ": " + MAX_RUNS + " jobs run already");
            return;
        }
        if (!dispatcher.hasJobCapacity(listing.route(), urgency)) {
            waitReasons.put(listing.id(), "urgency " + urgency + ": no room to spare for it");
            return;
        }
        pending.add(listing.id());
        var last = lastRun(listing);
        reports.start(last, reply -> onStarted(listing, urgency, last.fencingToken(), reply));
    }

    /** The last run that a listing counts, as this edge refers to it under its own lease. */
    private RunId lastRun(JobListing listing) {
        return new RunId(listing.id(), lease.fencingToken(), listing.runs());
    }

    private void onStarted(JobListing listing, int urgency, long fencingToken, CoreReply reply) {
        pending.remove(listing.id());
        if (reply.isAccepted() && !reply.text().isEmpty() && lease.isHeldWith(fencingToken)) {
            var encoded = Base64.getDecoder().decode(reply.text());
            run(JobCodec.read(new RecordReader(encoded, false)), urgency, listing.leftUs());
        }
    }

    private void run(Job job, int urgency, long leftUs) {
        var run = new JobRun(job, lease, reports, scheduler, this);
        runs.put(job.id(), run);
        ran.add(job.id());
        started++;
        var head = requestHead(job, run.id().fencingToken(), leftUs);
        run.setRequest(dispatcher.startJob(head, job.body(), run, urgency, job.lastEventId()));
        if (run.request().isEmpty()) {
            run.reportFailure(RunFailure.NOT_RUN, "no room when it was to start");
        }
    }

    private static MessageHead requestHead(Job job, long fencingToken, long leftUs) {
        var head = MessageHead.newRequest(job.method(), job.path());
        head.set(HeaderField.HOST, job.host());
        for (var field : job.headerFields()) {
            var colon = field.indexOf(':');
            head.set(field.substring(0, colon), field.substring(colon + 1).strip());
        }
        head.set(
                HeaderField.ATTEMPT_ID,
                "job-" + job.id() + "-" + fencingToken + "-" + job.attempts());
        head.set(
                HeaderField.TIME_REMAINING,
                String.valueOf(Math.max(MIN_TIME_REMAINING_MS, leftUs / 1000)));
        head.set(HeaderField.CONTENT_LENGTH, String.valueOf(job.body().length));
        return head;
    }

    /** For the shell: the lease, then one line for each job. */
    public String text() {
        var lines =
                new StringBuilder(
                        String.format(
                                "grant %d held %s running %d started %d\n",
                                lease.fencingToken(), lease.isHeld(), runs.size(), started));
        for (var listing : listings) {
            lines.append(
                    String.format(
                            "%s %s left %d ms of %d ms urgency %d %s\n",
                            listing.id(),
                            listing.running() ? "running" : "waiting",
                            listing.leftUs() / 1000,
                            listing.totalUs() / 1000,
                            listing.urgency(),
                            waitReasons.getOrDefault(listing.id(), "")));
        }
        return lines.toString();
    }
}
