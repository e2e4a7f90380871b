package martenloom.autoscaler;

/** A field of the {@link ScalingSettings} with its names and the range of its values. */
public enum ScalingField {
    WINDOW("WindowS", "window", 10, 3600),
    DELAY("ScaleDownDelayS", "delay", 0, 3600),
    STEP("MaxScaleDownPercent", "step", 1, 50),
    UTILIZATION("TargetUtilizationPercent", "utilization", 1, 100),
    TARGET("ConcurrencyTarget", "target", 1, 1_000_000),
    FLOOR("MinReplicas", "floor", 0, 1_000_000),
    CEILING("MaxReplicas", "ceiling", 1, 1_000_000);

    private final String configurationName;
    private final String keyword;
    private final int minimum;
    private final int maximum;

    ScalingField(String configurationName, String keyword, int minimum, int maximum) {
        this.configurationName = configurationName;
        this.keyword = keyword;
        this.minimum = minimum;
        this.maximum = maximum;
    }

    /** The name of the field in a configuration. */
    public String configurationName() {
        return configurationName;
    }

    /** The name of the field in the routing language and on the command line. */
    public String keyword() {
        return keyword;
    }

    int minimum() {
        return minimum;
    }

    int maximum() {
        return maximum;
    }

    /** Whether a value of 0 stands for a field that is not set. */
    public boolean zeroIsUnset() {
        return this == TARGET || this == CEILING;
    }
}
