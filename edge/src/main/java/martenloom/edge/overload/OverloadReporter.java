package martenloom.edge.overload;

import java.util.Optional;

/**
 * The reporting half of overload reports, for one region and model, with no input or output: turns
 * what the edges see of the replicas into a reduction of 0 to 100 percent, smoothed and with
 * hysteresis. Runs on the reactor thread.
 */
public final class OverloadReporter {
    /** Pressures above this are taken as this. */
    static final double MAX_PRESSURE = 4;

    private static final double OVERLOADED_ABOVE = 0.75;
    private static final double RELIEVED_BELOW = 0.45;

    /** The pressure at which all new prompts are to be withheld. */
    private static final double FULL_REDUCTION_AT = 1.2;

    private static final double SMOOTHING = 0.35;
    private static final int PERCENT_STEP = 5;
    private static final long VALIDITY_US = 2_000_000;

    private final String region;
    private final String model;
    private final String reporter;
    private long fencingToken;
    private long counter;
    private double smoothedPressure;
    private boolean overloaded;
    private int lastPercent;

    /**
     * Creates the reporting half.
     *
     * @param reporter the address of this edge
     */
    public OverloadReporter(String region, String model, String reporter) {
        this.region = region;
        this.model = model;
        this.reporter = reporter;
    }

    /**
     * Takes the fencing token of the lease that is held; a new one starts a new run of counters.
     */
    public void onLease(long token) {
        if (token != fencingToken) {
            fencingToken = token;
            counter = 0;
        }
    }

    /**
     * Takes the pressure and answers with the report to send, if one is due. A report of no
     * reduction is sent once, with validity 0, to end the condition.
     *
     * @param pressure the predicted time to a first token against the target; 1 is just in time
     */
    public Optional<OverloadReport> observe(double pressure) {
        smoothedPressure += (Math.min(pressure, MAX_PRESSURE) - smoothedPressure) * SMOOTHING;
        if (smoothedPressure > OVERLOADED_ABOVE) {
            overloaded = true;
        } else if (smoothedPressure < RELIEVED_BELOW) {
            overloaded = false;
        }
        var percent = overloaded ? reductionPercent(smoothedPressure) : 0;
        if (percent == 0 && lastPercent == 0) {
            return Optional.empty();
        }
        lastPercent = percent;
        return Optional.of(
                new OverloadReport(
                        region,
                        model,
                        reporter,
                        new ReportSequence(fencingToken, ++counter),
                        percent == 0 ? 0 : VALIDITY_US,
                        OverloadReport.LOSS,
                        percent));
    }

    private static int reductionPercent(double pressure) {
        var percent =
                (int)
                        Math.round(
                                (pressure - RELIEVED_BELOW)
                                        / (FULL_REDUCTION_AT - RELIEVED_BELOW)
                                        * OverloadReport.MAX_PERCENT);
        return Math.max(
                PERCENT_STEP,
                Math.min(OverloadReport.MAX_PERCENT, percent / PERCENT_STEP * PERCENT_STEP));
    }
}
