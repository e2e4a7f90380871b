package martenloom.edge.overload;

import java.util.Optional;

/**
 * The reduction of traffic to one region and model, with counters and their denominators.
 *
 * <p>{@code NONE -> ACTIVE} by a report; {@code ACTIVE -> RETURNING} by a report that ends the
 * condition or by expiry, {@code RETURNING -> NONE} after the last step, and {@code RETURNING ->
 * ACTIVE} by another report. While returning, the share that is withheld falls in equal steps. No
 * input or output, no clock. Runs on the reactor thread.
 */
public final class ReductionState {
    /** The length of a step of the return. */
    public static final long STEP_US = 500_000;

    /** The steps of the return. */
    public static final int STEPS = 4;

    /** Sums of shares that miss 1 by less are taken as 1. */
    private static final double ROUNDING = 1e-9;

    private ReductionPhase phase = ReductionPhase.NONE;
    private Optional<OverloadReport> report = Optional.empty();
    private ReportSequence lastSequence = ReportSequence.NONE;
    private long validUntilUs;
    private double share;
    private double shareBeforeReturn;
    private long returnSinceUs;

    /** The part of a prompt that is owed to the share, carried on to the next one. */
    private double carry;

    private long considered;
    private long selected;
    private long spilled;
    private long queued;
    private long rejected;
    private long stale;

    /** Whether a report is newer than all before it. */
    boolean isNewer(OverloadReport received) {
        return received.sequence().compareTo(lastSequence) > 0;
    }

    /** Applies a newer report. A smaller reduction is approached in steps, a larger one at once. */
    void apply(OverloadReport received, long now) {
        advance(now);
        lastSequence = received.sequence();
        if (received.validityUs() <= 0) {
            beginReturn(now);
            return;
        }
        report = Optional.of(received);
        validUntilUs = now + received.validityUs();
        if (received.share() < share && phase != ReductionPhase.NONE) {
            share = Math.max(received.share(), share - 1.0 / STEPS);
        } else {
            share = received.share();
        }
        phase = ReductionPhase.ACTIVE;
    }

    private void beginReturn(long sinceUs) {
        if (phase == ReductionPhase.ACTIVE) {
            phase = share > 0 ? ReductionPhase.RETURNING : ReductionPhase.NONE;
            shareBeforeReturn = share;
            returnSinceUs = sinceUs;
            report = Optional.empty();
        }
    }

    /** Lets time pass: expiry, and the steps of the return. */
    public void advance(long now) {
        if (phase == ReductionPhase.ACTIVE && now >= validUntilUs) {
            beginReturn(validUntilUs);
        }
        if (phase == ReductionPhase.RETURNING) {
            var step = 1 + (now - returnSinceUs) / STEP_US;
            share = Math.max(0, shareBeforeReturn * (1 - (double) step / (STEPS + 1)));
            if (step > STEPS) {
                phase = ReductionPhase.NONE;
                share = 0;
            }
        }
    }

    /**
     * Whether the next new prompt is among the share to be withheld; shares are met exactly over a
     * run of prompts.
     */
    boolean selectNext(long now) {
        advance(now);
        considered++;
        carry += share;
        if (share >= 1 || carry >= 1 - ROUNDING) {
            carry = Math.max(0, carry - 1);
            selected++;
            return true;
        }
        return false;
    }

    void countStale() {
        stale++;
    }

    /** A prompt that was withheld was sent to another region. */
    public void countSpilled() {
        spilled++;
    }

    /** A prompt that was withheld waits for a replica. */
    public void countQueued() {
        queued++;
    }

    /** A prompt that was withheld was rejected. */
    public void countRejected() {
        rejected++;
    }

    public ReductionPhase phase() {
        return phase;
    }

    /** The report in force. */
    public Optional<OverloadReport> report() {
        return report;
    }

    /** When the report in force expires, in microseconds. */
    public long validUntilUs() {
        return validUntilUs;
    }

    /** The share of new prompts that is withheld, 0 to 1. */
    public double share() {
        return share;
    }

    /** New prompts that would have gone to the region. */
    public long considered() {
        return considered;
    }

    /** New prompts that were withheld. */
    public long selected() {
        return selected;
    }

    public long spilled() {
        return spilled;
    }

    public long queued() {
        return queued;
    }

    public long rejected() {
        return rejected;
    }

    /** Reports that were ignored. */
    public long stale() {
        return stale;
    }
}
