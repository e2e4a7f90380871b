package martenloom.common.link;

/**
 * Estimates how long records were under way on one link. The steady clocks of two daemons have no
 * common zero, but the difference between them is constant: the record with the least difference
 * between the clock at which it was sent and that at which it was read is taken as not delayed, and
 * any other as delayed by the excess. A record that sat in a cut link or in the queue of a stalled
 * process thereby shows its age, and what it says is not mistaken for news.
 */
public final class TransitDelay {
    private long leastUs = Long.MAX_VALUE;

    /**
     * The delay of a record that was sent at that time of the sender's clock and is read at this
     * time of ours.
     */
    public long measure(long sentUs, long readUs) {
        var difference = readUs - sentUs;
        leastUs = Math.min(leastUs, difference);
        return difference - leastUs;
    }
}
