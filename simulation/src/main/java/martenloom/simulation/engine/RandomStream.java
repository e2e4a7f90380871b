package martenloom.simulation.engine;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A seeded stream of random choices (xoshiro256** of Apache Commons RNG). Each part of the
 * simulation draws from a stream of its own, so that leaving one fault out of a schedule disturbs
 * the other parts as little as possible. Single-threaded.
 */
public final class RandomStream {
    /** The golden ratio in 64 bits, as in SplitMix: neighbouring seeds lie far apart. */
    private static final long SEED_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final UniformRandomProvider source;

    private RandomStream(UniformRandomProvider source) {
        this.source = source;
    }

    /** The stream of one part of the simulation; the same seed and part give the same stream. */
    public static RandomStream of(long seed, String part) {
        return new RandomStream(
                RandomSource.XO_SHI_RO_256_SS.create(seed * SEED_MULTIPLIER + part.hashCode()));
    }

    /** A whole number from 0 up to, but not including, the bound. */
    public int below(int bound) {
        return source.nextInt(bound);
    }

    /** A whole number between two bounds, the first included and the second not. */
    public long between(long from, long to) {
        return from + source.nextLong(to - from);
    }

    /** Any 64 bits. */
    public long any() {
        return source.nextLong();
    }

    /** True in one of two draws. */
    public boolean coin() {
        return source.nextBoolean();
    }

    /** True with the given probability; draws one number even when that is 0. */
    public boolean chance(double probability) {
        return source.nextDouble() < probability;
    }

    /** True in one of so many draws. */
    public boolean oneIn(int count) {
        return below(count) == 0;
    }

    /** One element of a list that is not empty. */
    public <T> T pick(List<T> from) {
        return from.get(below(from.size()));
    }
}
