package martenloom.autoscaler;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import martenloom.common.error.InvalidConfigurationException;
import martenloom.common.error.UsageException;

/**
 * The settings of the autoscaler for one model. A value out of range is an {@link
 * InvalidConfigurationException} that names the model, the field and the range.
 *
 * @param windowS the window over which requests in flight are averaged
 * @param delayS how long fewer replicas must be wanted before scaling down
 * @param stepPercent the largest part of the replicas that one step takes away
 * @param utilizationPercent the part of its concurrency target that a replica should use
 * @param target the concurrency target of a replica; 0 for the capacity that it reports
 * @param floor the fewest replicas
 * @param ceiling the most replicas; 0 for as many as are registered
 */
public record ScalingSettings(
        int windowS,
        int delayS,
        int stepPercent,
        int utilizationPercent,
        int target,
        int floor,
        int ceiling) {
    /** The settings of a model that has none of its own. */
    public static final ScalingSettings DEFAULT = new ScalingSettings(60, 900, 50, 70, 0, 0, 0);

    private static final String USAGE_STEP = "read command line";

    /** The value of a field. */
    public int get(ScalingField field) {
        return switch (field) {
            case WINDOW -> windowS;
            case DELAY -> delayS;
            case STEP -> stepPercent;
            case UTILIZATION -> utilizationPercent;
            case TARGET -> target;
            case FLOOR -> floor;
            case CEILING -> ceiling;
        };
    }

    /**
     * The same settings with some fields changed, each checked against its range.
     *
     * @param model the model, for the message of the error
     */
    public ScalingSettings with(String model, Map<ScalingField, Double> changes) {
        var values = new EnumMap<ScalingField, Integer>(ScalingField.class);
        for (var field : ScalingField.values()) {
            values.put(
                    field,
                    changes.containsKey(field)
                            ? checked(model, field, changes.get(field))
                            : get(field));
        }
        var changed =
                new ScalingSettings(
                        values.get(ScalingField.WINDOW),
                        values.get(ScalingField.DELAY),
                        values.get(ScalingField.STEP),
                        values.get(ScalingField.UTILIZATION),
                        values.get(ScalingField.TARGET),
                        values.get(ScalingField.FLOOR),
                        values.get(ScalingField.CEILING));
        if (changed.ceiling > 0 && changed.floor > changed.ceiling) {
            throw invalid(
                    model,
                    ScalingField.FLOOR,
                    changed.floor
                            + " is above "
                            + ScalingField.CEILING.configurationName()
                            + " "
                            + changed.ceiling);
        }
        return changed;
    }

    private static int checked(String model, ScalingField field, double value) {
        var whole = value == Math.rint(value);
        if (!whole || value < field.minimum() || value > field.maximum()) {
            throw invalid(
                    model,
                    field,
                    (whole ? String.valueOf((long) value) : String.valueOf(value))
                            + " is not a whole number from "
                            + field.minimum()
                            + " to "
                            + field.maximum());
        }
        return (int) value;
    }

    private static InvalidConfigurationException invalid(
            String model, ScalingField field, String reason) {
        return new InvalidConfigurationException(
                "check autoscaling",
                "model '" + model + "' " + field.configurationName() + ": " + reason);
    }

    /** Parses the defaults of a daemon, such as {@code window=60,delay=900}. */
    public static ScalingSettings parse(String assignments) {
        var values = new EnumMap<ScalingField, Double>(ScalingField.class);
        for (var assignment : assignments.split(",")) {
            var field = assignedField(assignment);
            var number = assignment.substring(assignment.indexOf('=') + 1);
            try {
                values.put(field, Double.parseDouble(number));
            } catch (NumberFormatException e) {
                throw new UsageException(
                        USAGE_STEP,
                        "--scaling: " + field.keyword() + " '" + number + "' is not a number");
            }
        }
        return DEFAULT.with("(default)", values);
    }

    private static ScalingField assignedField(String assignment) {
        return Arrays.stream(ScalingField.values())
                .filter(field -> assignment.startsWith(field.keyword() + "="))
                .findFirst()
                .orElseThrow(
                        () ->
                                new UsageException(
                                        USAGE_STEP,
                                        "--scaling: '"
                                                + assignment
                                                + "' is not FIELD=NUMBER (window, delay, step,"
                                                + " utilization, target, floor, ceiling)"));
    }
}
