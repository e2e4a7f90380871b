package martenloom.core.membership;

import io.activej.eventloop.Eventloop;
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
 * The graceful shutdown of a core daemon at SIGTERM. Callers and edges are sent elsewhere, the head
 * is asked to form a chain without this member, and the process may end when such a chain is active
 * and no caller waits, or shortly before the grace period ends.
 *
 * <p>Runs on the reactor thread, but for {@link #awaitEnd} and {@link #hasBegun}.
 */
public final class GracefulShutdown {
    private static final long STEP_US = 200_000;
    private static final long US_PER_S = 1_000_000;

    /** For this share of the grace period a member that is needed waits for another one. */
    private static final double PATIENT_SHARE = 0.45;

    /** So much of the grace period is left for the end of the process itself. */
    private static final long PROCESS_END_US = 900_000;

    /** So long after its release the process waits for answers that callers are owed. */
    private static final long ANSWERS_TIMEOUT_US = 900_000;

    private final Eventloop loop;
    private final Settings settings;
    private final ChainMember chain;
    private final CommandSubmitter commands;
    private final BooleanSupplier callersWaiting;
    private volatile boolean begun;

    /** Whether the head has accepted that this member departs. */
    private boolean accepted;

    /** From when on this member asks to be released in any case. */
    private long urgentFromUs;

    private long deadlineUs;

    /** When the chain could first do without this member; 0 before. */
    private volatile long releasedUs;

    /**
     * @param callersWaiting whether callers of this daemon wait for an answer
     */
    public GracefulShutdown(
            Eventloop loop,
            Settings settings,
            ChainMember chain,
            CommandSubmitter commands,
            BooleanSupplier callersWaiting) {
        this.loop = loop;
        this.settings = settings;
        this.chain = chain;
        this.commands = commands;
        this.callersWaiting = callersWaiting;
    }

    /** Whether the shutdown has begun, so that callers are to be sent elsewhere. Thread-safe. */
    public boolean hasBegun() {
        return begun;
    }

    /**
     * Shuts down; called from another thread than the reactor's. Returns when the process may end.
     *
     * @return whether the chain does without this member
     */
    public boolean awaitEnd() {
        var done = new CountDownLatch(1);
        var graceUs = (long) (settings.bounds().gracePeriodS() * US_PER_S);
        urgentFromUs = Clocks.nowUs() + (long) (graceUs * PATIENT_SHARE);
        deadlineUs = Clocks.nowUs() + graceUs - PROCESS_END_US;
        loop.execute(
                () -> {
                    RingLog.debug("graceful shutdown begins");
                    begun = true;
                    chain.startLeaving(Clocks.nowUs());
                    step(done);
                });
        try {
            done.await(graceUs - PROCESS_END_US / 2, TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return releasedUs > 0;
    }

    private void step(CountDownLatch done) {
        var nowUs = Clocks.nowUs();
        if (mayEnd(nowUs) || nowUs >= deadlineUs) {
            RingLog.debug(
                    releasedUs > 0
                            ? "graceful shutdown done, the chain does without this member"
                            : "graceful shutdown cut short by the end of the grace period");
            done.countDown();
            return;
        }
        if (releasedUs == 0) {
            requestRelease(nowUs);
        }
        Clocks.after(loop, STEP_US, () -> step(done));
    }

    private void requestRelease(long nowUs) {
        var urgency = nowUs < urgentFromUs ? Urgency.CAN_WAIT : Urgency.IMMEDIATE;
        commands.submit(
                StampedCommand.of(new MarkDeparting(settings.ipAddress(), urgency)),
                (code, text) -> accepted |= code == ResultCode.OK);
    }

    /**
     * Not before the chain can do without this member; then when no caller waits, or soon after.
     */
    private boolean mayEnd(long nowUs) {
        var learning = chain.role() == MemberRole.LEARNER;
        if (releasedUs == 0 && (accepted || learning) && chain.mayTerminate(nowUs)) {
            releasedUs = nowUs;
        }
        return releasedUs > 0
                && (!callersWaiting.getAsBoolean() || nowUs - releasedUs > ANSWERS_TIMEOUT_US);
    }
}
