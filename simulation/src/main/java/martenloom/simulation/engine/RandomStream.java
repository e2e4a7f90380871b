package martenloom.simulation.engine;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A seeded stream of random choices (xoshiro256** of Apache Commons RNG). Each part of the
 * simulation draws from a stream of its own, so that dropping one trouble from a schedule disturbs
 * the others as little as possible.
 */
public final class RandomStream {
    /** The golden ratio in 64 bits, as in SplitMix: neighbouring seeds lie far apart. */
    private static final long SPREAD = 0x9E3779B97F4A7C15L;

    private final UniformRandomProvider source;

    private RandomStream(UniformRandomProvider source) {
        this.source = source;
    }

    /** The stream of one part of the simulation; the same seed and part give the same stream. */
    public static RandomStream of(long seed, String part) {
        return new RandomStream(
                RandomSource.XO_SHI_RO_256_SS.create(seed * SPREAD + part.hashCode()));
    }

    /** A whole number from 0 up to, but not including, the bound. */
    public int below(int bound) {
        return source.nextInt(bound);
    }

    /** A whole number between two bounds, the first included and the second not. */
    public long between(long from, long to) {
        return from + source.nextLong(to - from);
    }

    public long any() {
        return source.nextLong();
    }

    public boolean coin() {
        return source.nextBoolean();
    }

    public boolean chance(double probability) {
        return source.nextDouble() < probability;
    }

    public boolean oneIn(int n) {
        return below(n) == 0;
    }

    public <T> T pick(List<T> from) {
        return from.get(below(from.size()));
    }
}
