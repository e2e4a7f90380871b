package martenloom.edge.overload;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/**
 * Overload reports after DOIC's loss algorithm, both halves, with no input or output. The reporter
 * half turns what the edges of a region see of its replicas into a reduction of 0 to 100 percent,
 * smoothed and with hysteresis, under a sequence made of the duty's grant number and a counter. The
 * receiving half keeps state by region and model: a newer sequence updates it, an equal or older
 * one is ignored, no report changes nothing, a validity of 0 or expiry ends it, and what was asked
 * for is given back in steps. Percentages of different reports are never added.
 */
public final class Overload {
    private Overload() {}

    public static final String LOSS = "loss";

    /**
     * The sequence: first the grant of the duty, which the core keeps on disk, then the holder's
     * own counter.
     */
    public record Sequence(long grant, long counter) implements Comparable<Sequence> {
        @Override
        public int compareTo(Sequence o) {
            return grant != o.grant
                    ? Long.compare(grant, o.grant)
                    : Long.compare(counter, o.counter);
        }
    }

    /** An overload report as it travels between daemons, after the loss algorithm of RFC 7683. */
    public record Report(
            String region,
            String model,
            String reporter,
            Sequence seq,
            long validityUs,
            String algorithm,
            int percent) {
        public String key() {
            return region + "/" + model;
        }

        public void write(RecordWriter o) {
            o.text(region)
                    .text(model)
                    .text(reporter)
                    .i64(seq.grant)
                    .i64(seq.counter)
                    .i64(validityUs)
                    .text(algorithm)
                    .i32(percent);
        }

        public static Report read(RecordReader in) {
            return new Report(
                    in.text(),
                    in.text(),
                    in.text(),
                    new Sequence(in.i64(), in.i64()),
                    in.i64(),
                    in.text(),
                    in.i32());
        }
    }

    /** Whether a receiver abates traffic to a region, or returns to it in steps. */
    public enum Phase {
        NONE,
        ACTIVE,
        RETURNING
    }

    /** The state kept for one region and model, with its counters and their denominators. */
    public static final class State {
        public Phase phase = Phase.NONE;
        public Optional<Report> report = Optional.empty();
        public Sequence last = new Sequence(-1, -1);
        public long untilUs;
        public double share;
        private double from;
        private long returnUs;
        private double carry;
        public long considered;
        public long selected;
        public long spilled;
        public long held;
        public long refused;
        public long stale;
    }

    /** The receiving half. */
    public static final class Receiver {
        public static final long STEP_US = 500_000;
        public static final int STEPS = 4;
        private final Map<String, State> states = new TreeMap<>();

        public Map<String, State> states() {
            return states;
        }

        public State at(String key) {
            return states.computeIfAbsent(key, k -> new State());
        }

        public boolean take(Report r, long now) {
            var s = at(r.key());
            if (!r.algorithm.equals(LOSS)
                    || r.percent < 0
                    || r.percent > 100
                    || r.seq.compareTo(s.last) <= 0) {
                s.stale++;
                return false;
            }
            tick(s, now);
            s.last = r.seq;
            if (r.validityUs <= 0) {
                leave(s, now);
                return true;
            }
            s.report = Optional.of(r);
            s.untilUs = now + r.validityUs;
            if (r.percent / 100.0 < s.share && s.phase != Phase.NONE) {
                s.share = Math.max(r.percent / 100.0, s.share - 1.0 / STEPS);
            } else {
                s.share = r.percent / 100.0;
            }
            s.phase = Phase.ACTIVE;
            return true;
        }

        private static void leave(State s, long now) {
            if (s.phase != Phase.ACTIVE) {
                return;
            }
            s.phase = s.share > 0 ? Phase.RETURNING : Phase.NONE;
            s.from = s.share;
            s.returnUs = now;
            s.report = Optional.empty();
        }

        public void tick(State s, long now) {
            if (s.phase == Phase.ACTIVE && now >= s.untilUs) {
                leave(s, now);
                s.returnUs = s.untilUs;
            }
            if (s.phase == Phase.RETURNING) {
                var k = 1 + (now - s.returnUs) / STEP_US;
                s.share = Math.max(0, s.from * (1 - (double) k / (STEPS + 1)));
                if (k > STEPS) {
                    s.phase = Phase.NONE;
                    s.share = 0;
                }
            }
        }

        /**
         * Whether this new prompt is among the share to be kept away; shares are met exactly over a
         * run of prompts.
         */
        public boolean select(String key, long now) {
            var s = at(key);
            tick(s, now);
            s.considered++;
            s.carry += s.share;
            if (s.share >= 1 || s.carry >= 1 - 1e-9) {
                s.carry = Math.max(0, s.carry - 1);
                s.selected++;
                return true;
            }
            return false;
        }
    }

    /** The reporting half, for one region and model. */
    public static final class Reporter {
        private static final double ON = 0.75;
        private static final double OFF = 0.45;
        public static final long VALID_US = 2_000_000;
        private long grant;
        private long counter;
        private double smooth;
        private boolean overloaded;
        private int lastPercent;

        /** A new grant starts a new run of counters. */
        public void granted(long g) {
            if (g != grant) {
                grant = g;
                counter = 0;
            }
        }

        public double smoothed() {
            return smooth;
        }

        /**
         * Takes the predicted time to a first token against the aim (1 means: just in time) and
         * answers with the report to send, if one is due. A report of nothing is sent once, with
         * validity 0, to end the condition.
         */
        public Optional<Report> observe(String region, String model, String me, double pressure) {
            smooth += (Math.min(pressure, 4) - smooth) * 0.35;
            if (smooth > ON) {
                overloaded = true;
            } else if (smooth < OFF) {
                overloaded = false;
            }
            var p = overloaded ? percent(smooth) : 0;
            if (p == 0 && lastPercent == 0) {
                return Optional.empty();
            }
            lastPercent = p;
            return Optional.of(
                    new Report(
                            region,
                            model,
                            me,
                            new Sequence(grant, ++counter),
                            p == 0 ? 0 : VALID_US,
                            LOSS,
                            p));
        }

        private static int percent(double x) {
            var p = (int) Math.round((x - OFF) / (1.2 - OFF) * 100);
            return Math.max(5, Math.min(100, p / 5 * 5));
        }
    }
}
