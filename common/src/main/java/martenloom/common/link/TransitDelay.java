package martenloom.common.link;

/**
 * Estimates the transit delay of the records on one link beyond the least delay seen on it.
 *
 * <p>The steady clocks of two daemons have no common zero, but their offset is constant. So the
 * record with the least difference between the sender's clock at sending and the receiver's clock
 * at reading counts as not delayed, and any other as delayed by the excess over that difference. A
 * record that waited in a partitioned link or in the queue of a stalled process thereby shows its
 * age and is not mistaken for current. Not thread-safe.
 */
public final class TransitDelay {
    private long leastDifferenceUs = Long.MAX_VALUE;

    /**
     * The delay of one record in microseconds, 0 or more.
     *
     * @param sentUs the time of sending, on the sender's clock
     * @param readUs the time of reading, on the receiver's clock
     */
    public long excessDelayUs(long sentUs, long readUs) {
        var differenceUs = readUs - sentUs;
        leastDifferenceUs = Math.min(leastDifferenceUs, differenceUs);
        return differenceUs - leastDifferenceUs;
    }
}
