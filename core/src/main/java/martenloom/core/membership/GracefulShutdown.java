package martenloom.core.membership;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import martenloom.common.clock.Clocks;
import martenloom.common.log.RingLog;
import martenloom.common.settings.Settings;
import martenloom.core.chain.ChainMember;
import martenloom.core.chain.MemberRole;
import martenloom.core.forwarding.CommandSubmitter;
import martenloom.core.state.Command.MarkDeparting;
import martenloom.core.state.Command.Urgency;
import martenloom.core.state.ResultCode;
import martenloom.core.state.StampedCommand;

/**
 * The way of a core daemon out of the chain at SIGTERM: callers and edges are sent elsewhere, the
 * head is asked to let this member go, and the process ends when a chain without it is active, or
 * shortly before the grace period ends.
 */
public final class GracefulShutdown {
    /** What edges are told about the age of our knowledge, so that they choose another home. */
    public static final long FAR_TOO_OLD_US = 3_600_000_000L;

    private static final long ASK_AGAIN_US = 200_000;

    /** For this share of the grace period a needed member waits for another to come back. */
    private static final double WAITS_SHARE = 0.45;

    /** So much of the grace period is left for the end of the process itself. */
    private static final long END_US = 900_000;

    /** So long after its release the process waits for answers that its callers are owed. */
    private static final long ANSWERS_US = 900_000;

    private final Eventloop loop;
    private final Settings settings;
    private final ChainMember chain;
    private final CommandSubmitter orders;
    private final BooleanSupplier owesAnswers;
    private volatile boolean begun;
    private boolean taken;
    private long urgentUs;
    private long endUs;
    private volatile long releasedUs;

    public GracefulShutdown(
            Eventloop loop,
            Settings settings,
            ChainMember chain,
            CommandSubmitter orders,
            BooleanSupplier owesAnswers) {
        this.loop = loop;
        this.settings = settings;
        this.chain = chain;
        this.orders = orders;
        this.owesAnswers = owesAnswers;
    }

    public boolean begun() {
        return begun;
    }

    /**
     * Called from another thread; returns when the process may end, and says whether the chain does
     * without this member, so that it ends in order.
     */
    public boolean run() {
        var done = new CountDownLatch(1);
        var graceUs = (long) (settings.bounds().gracePeriodS() * 1_000_000);
        urgentUs = Clocks.nowUs() + (long) (graceUs * WAITS_SHARE);
        endUs = Clocks.nowUs() + graceUs - END_US;
        loop.execute(
                () -> {
                    RingLog.debug("leaving");
                    begun = true;
                    chain.startLeaving(Clocks.nowUs());
                    step(done);
                });
        try {
            done.await(graceUs - END_US / 2, TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return releasedUs > 0;
    }

    private void step(CountDownLatch done) {
        var now = Clocks.nowUs();
        if (mayEnd(now) || now >= endUs) {
            var how = releasedUs > 0 ? "in order" : "at the end of the grace period";
            RingLog.debug("left " + how);
            done.countDown();
            return;
        }
        if (releasedUs == 0) {
            var urgency = now < urgentUs ? Urgency.CAN_WAIT : Urgency.IMMEDIATE;
            var order = StampedCommand.of(new MarkDeparting(settings.ipAddress(), urgency));
            orders.submit(order, (code, text) -> taken |= code == ResultCode.OK);
        }
        Clocks.after(loop, ASK_AGAIN_US, () -> step(done));
    }

    /**
     * Not before the chain can do without this member; then when no caller waits, or soon after.
     */
    private boolean mayEnd(long now) {
        var learning = chain.role() == MemberRole.LEARNER;
        if (releasedUs == 0 && (taken || learning) && chain.mayTerminate(now)) {
            releasedUs = now;
        }
        return releasedUs > 0 && (!owesAnswers.getAsBoolean() || now - releasedUs > ANSWERS_US);
    }

    /** The answer to every caller from now on. */
    public static HttpResponse goElsewhere() {
        return HttpResponse.ofCode(503)
                .withHeader(HttpHeaders.CONNECTION, "close")
                .withHeader(HttpHeaders.RETRY_AFTER, "1")
                .withPlainText("this daemon is leaving")
                .build();
    }
}
