package martenloom.edge.overload;

import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/**
 * An overload report as it travels between daemons, after the loss algorithm of RFC 7683: the share
 * of new prompts that the edges elsewhere shall withhold from a region's replicas of a model.
 *
 * @param region the overloaded region
 * @param model the model whose replicas are overloaded
 * @param reporter the address of the edge that made the report
 * @param sequence its place among the reports of this region and model
 * @param validityUs how long it is in force; 0 ends the condition
 * @param algorithm the algorithm by which traffic is reduced
 * @param percent the reduction that is asked for, 0 to 100
 */
public record OverloadReport(
        String region,
        String model,
        String reporter,
        ReportSequence sequence,
        long validityUs,
        String algorithm,
        int percent) {
    /** The only algorithm there is. */
    public static final String LOSS = "loss";

    static final int MAX_PERCENT = 100;

    /** What the report is about, as a key: region and model. */
    public String key() {
        return key(region, model);
    }

    /** The key of a region and model. */
    public static String key(String region, String model) {
        return region + "/" + model;
    }

    /** Whether it can be applied: the algorithm is known and the reduction is a percentage. */
    boolean isApplicable() {
        return algorithm.equals(LOSS) && percent >= 0 && percent <= MAX_PERCENT;
    }

    /** The reduction as a share of 1. */
    double share() {
        return percent / 100.0;
    }

    /** Writes the report into a record. */
    public void write(RecordWriter out) {
        out.text(region)
                .text(model)
                .text(reporter)
                .i64(sequence.fencingToken())
                .i64(sequence.counter())
                .i64(validityUs)
                .text(algorithm)
                .i32(percent);
    }

    /** Reads a report that {@link #write} wrote. */
    public static OverloadReport read(RecordReader in) {
        return new OverloadReport(
                in.text(),
                in.text(),
                in.text(),
                new ReportSequence(in.i64(), in.i64()),
                in.i64(),
                in.text(),
                in.i32());
    }
}
