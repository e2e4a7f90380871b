package martenloom.common.settings;

/**
 * The bounds on times and rates within which the daemons have to work, from the table [Bounds] of
 * the settings file. The times for contact, acknowledgement, draining, application of a
 * configuration and evacuation are read so that a bad value is reported; no rule of the daemons
 * uses them. Immutable.
 */
public final class OperatingBounds {
    private static final int DEFAULT_CONTACT_MS = 4000;
    private static final int DEFAULT_ACKNOWLEDGEMENT_TIMEOUT_MS = 5000;
    private static final int DEFAULT_DRAIN_TIMEOUT_MS = 2500;
    private static final double DEFAULT_GRACE_PERIOD_S = 8;
    private static final int DEFAULT_CONFIGURATION_APPLY_MS = 2500;
    private static final double DEFAULT_RETRY_BUDGET_RATIO = 0.1;
    private static final double DEFAULT_RETRY_WINDOW_S = 10;
    private static final double DEFAULT_RETRY_BUDGET_SLACK = 10;
    private static final double DEFAULT_WARMUP_OVERAGE = 1;
    private static final double DEFAULT_WARMUP_SLACK = 0;
    private static final int DEFAULT_EVACUATION_MS = 5000;
    private static final double DEFAULT_MAX_TTL_S = 5;

    private final int contactMs;
    private final int acknowledgementTimeoutMs;
    private final int drainTimeoutMs;
    private final double gracePeriodS;
    private final int configurationApplyMs;
    private final double retryBudgetRatio;
    private final double retryWindowS;
    private final double retryBudgetSlack;
    private final double warmupOverage;
    private final double warmupSlack;
    private final int evacuationMs;
    private final double maxTtlS;

    OperatingBounds(SettingsFields fields) {
        contactMs = (int) fields.number("Bounds.ContactMs", DEFAULT_CONTACT_MS);
        acknowledgementTimeoutMs =
                (int) fields.number("Bounds.AckTimeoutMs", DEFAULT_ACKNOWLEDGEMENT_TIMEOUT_MS);
        drainTimeoutMs = (int) fields.number("Bounds.DrainMs", DEFAULT_DRAIN_TIMEOUT_MS);
        gracePeriodS = fields.number("Bounds.GracePeriodS", DEFAULT_GRACE_PERIOD_S);
        configurationApplyMs =
                (int) fields.number("Bounds.ConfigApplyMs", DEFAULT_CONFIGURATION_APPLY_MS);
        retryBudgetRatio = fields.number("Bounds.RetryBudgetRatio", DEFAULT_RETRY_BUDGET_RATIO);
        retryWindowS = fields.number("Bounds.RetryWindowS", DEFAULT_RETRY_WINDOW_S);
        retryBudgetSlack = fields.number("Bounds.RetrySlack", DEFAULT_RETRY_BUDGET_SLACK);
        warmupOverage = fields.number("Bounds.WarmupOverage", DEFAULT_WARMUP_OVERAGE);
        warmupSlack = fields.number("Bounds.WarmupSlack", DEFAULT_WARMUP_SLACK);
        evacuationMs = (int) fields.number("Bounds.EvacuationMs", DEFAULT_EVACUATION_MS);
        maxTtlS = fields.number("Bounds.ttl_max_s", DEFAULT_MAX_TTL_S);
    }

    public int contactMs() {
        return contactMs;
    }

    public int acknowledgementTimeoutMs() {
        return acknowledgementTimeoutMs;
    }

    public int drainTimeoutMs() {
        return drainTimeoutMs;
    }

    /** How long a daemon may take to shut down gracefully. */
    public double gracePeriodS() {
        return gracePeriodS;
    }

    public int configurationApplyMs() {
        return configurationApplyMs;
    }

    /** Retries allowed for each request of the window. */
    public double retryBudgetRatio() {
        return retryBudgetRatio;
    }

    /** The window of the retry budget. */
    public double retryWindowS() {
        return retryWindowS;
    }

    /** Retries allowed in a window whatever the number of requests. */
    public double retryBudgetSlack() {
        return retryBudgetSlack;
    }

    /** The factor by which a warming replica's request rate is multiplied. */
    public double warmupOverage() {
        return warmupOverage;
    }

    /** Requests each second that are added to that rate. */
    public double warmupSlack() {
        return warmupSlack;
    }

    public int evacuationMs() {
        return evacuationMs;
    }

    /** The longest time to live of an answer of the directory. */
    public double maxTtlS() {
        return maxTtlS;
    }
}
