package martenloom.autoscaler;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import martenloom.common.error.InvalidConfigurationException;
import martenloom.common.error.MartenloomException;
import martenloom.common.error.UsageException;

/**
 * What the operator may set of the scaling of one model, with the project's defaults and the ranges
 * of the source. A value out of range is a fault that names the model, the field and the range.
 * Target and ceiling of 0 stand for what the replicas say of themselves: their capacity, and as
 * many as are registered.
 */
public record ScaleSettings(
        int windowS,
        int delayS,
        int stepPercent,
        int utilizationPercent,
        int target,
        int floor,
        int ceiling) {
    public static final ScaleSettings DEFAULT = new ScaleSettings(60, 900, 50, 70, 0, 0, 0);

    /**
     * A field: its name in a configuration, its word in the routing language and on the command
     * line, and its range.
     */
    public enum Field {
        WINDOW("WindowS", "window", 10, 3600),
        DELAY("ScaleDownDelayS", "delay", 0, 3600),
        STEP("MaxScaleDownPercent", "step", 1, 50),
        UTILIZATION("TargetUtilizationPercent", "utilization", 1, 100),
        TARGET("ConcurrencyTarget", "target", 1, 1_000_000),
        FLOOR("MinReplicas", "floor", 0, 1_000_000),
        CEILING("MaxReplicas", "ceiling", 1, 1_000_000);

        public final String name;
        public final String word;
        final int least;
        final int most;

        Field(String name, String word, int least, int most) {
            this.name = name;
            this.word = word;
            this.least = least;
            this.most = most;
        }
    }

    public int get(Field f) {
        return switch (f) {
            case WINDOW -> windowS;
            case DELAY -> delayS;
            case STEP -> stepPercent;
            case UTILIZATION -> utilizationPercent;
            case TARGET -> target;
            case FLOOR -> floor;
            case CEILING -> ceiling;
        };
    }

    /** The same with some fields changed, each checked against its range. */
    public ScaleSettings with(String model, Map<Field, Double> m) {
        var v = new EnumMap<Field, Integer>(Field.class);
        for (var f : Field.values()) {
            v.put(f, m.containsKey(f) ? checked(model, f, m.get(f)) : get(f));
        }
        var p =
                new ScaleSettings(
                        v.get(Field.WINDOW),
                        v.get(Field.DELAY),
                        v.get(Field.STEP),
                        v.get(Field.UTILIZATION),
                        v.get(Field.TARGET),
                        v.get(Field.FLOOR),
                        v.get(Field.CEILING));
        if (p.ceiling > 0 && p.floor > p.ceiling) {
            throw bad(
                    model,
                    Field.FLOOR,
                    p.floor + " is above " + Field.CEILING.name + " " + p.ceiling);
        }
        return p;
    }

    private static int checked(String model, Field f, double v) {
        if (v != Math.rint(v) || v < f.least || v > f.most) {
            throw bad(
                    model,
                    f,
                    (v == Math.rint(v) ? String.valueOf((long) v) : String.valueOf(v))
                            + " is not a whole number from "
                            + f.least
                            + " to "
                            + f.most);
        }
        return (int) v;
    }

    private static MartenloomException bad(String model, Field f, String why) {
        return new InvalidConfigurationException(
                "check autoscaling", "model '" + model + "' " + f.name + ": " + why);
    }

    /** Reads words such as window=60,delay=900: the defaults of a daemon. */
    public static ScaleSettings parse(String words) {
        var m = new EnumMap<Field, Double>(Field.class);
        for (var w : words.split(",")) {
            var i = w.indexOf('=');
            var f =
                    Arrays.stream(Field.values())
                            .filter(x -> i > 0 && x.word.equals(w.substring(0, i)))
                            .findFirst()
                            .orElseThrow(
                                    () ->
                                            new UsageException(
                                                    "read command line",
                                                    "--scaling: '"
                                                            + w
                                                            + "' is not FIELD=NUMBER (window,"
                                                            + " delay, step, utilization, target,"
                                                            + " floor, ceiling)"));
            try {
                m.put(f, Double.parseDouble(w.substring(i + 1)));
            } catch (NumberFormatException e) {
                throw new UsageException(
                        "read command line",
                        "--scaling: " + f.word + " '" + w.substring(i + 1) + "' is not a number");
            }
        }
        return DEFAULT.with("(default)", m);
    }
}
