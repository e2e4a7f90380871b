package martenloom.core.chain;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * A simulated network between members: each message is delayed, some are lost, links can be cut.
 */
final class LossyNetwork {
    private static final int MIN_DELAY_US = 500;
    private static final int DELAY_SPREAD_US = 40_000;
    private static final int LONG_DELAY_SPREAD_US = 400_000;
    private static final int ONE_LONG_DELAY_IN = 20;

    /** A message under way; those due at one time arrive in the order in which they were sent. */
    record Delivery(long atUs, int number, String from, String to, byte[] record) {}

    private record Link(String from, String to) {}

    private final Random random;
    private final PriorityQueue<Delivery> inTransit =
            new PriorityQueue<>(
                    Comparator.comparingLong(Delivery::atUs).thenComparingInt(Delivery::number));
    private final Set<Link> cutLinks = new HashSet<>();
    private double lossProbability;
    private int sent;
    private int largestRecord;

    LossyNetwork(Random random) {
        this.random = random;
    }

    void send(long nowUs, String from, String to, byte[] record) {
        if (random.nextDouble() < lossProbability || isCut(from, to)) {
            return;
        }
        largestRecord = Math.max(largestRecord, record.length);
        var spreadUs =
                random.nextInt(ONE_LONG_DELAY_IN) == 0 ? LONG_DELAY_SPREAD_US : DELAY_SPREAD_US;
        var atUs = nowUs + MIN_DELAY_US + random.nextInt(spreadUs);
        inTransit.add(new Delivery(atUs, sent++, from, to, record));
    }

    /** The size of the largest message that was sent. */
    int largestRecord() {
        return largestRecord;
    }

    /** Takes the next message that is due; what arrives over a link cut meanwhile is lost. */
    Optional<Delivery> nextDue(long nowUs) {
        while (!inTransit.isEmpty() && inTransit.peek().atUs <= nowUs) {
            var delivery = inTransit.poll();
            if (!isCut(delivery.from, delivery.to)) {
                return Optional.of(delivery);
            }
        }
        return Optional.empty();
    }

    void setLossProbability(double probability) {
        lossProbability = probability;
    }

    boolean isCut(String from, String to) {
        return cutLinks.contains(new Link(from, to));
    }

    void cutOneWay(String from, String to) {
        cutLinks.add(new Link(from, to));
    }

    void cut(String one, String other) {
        cutOneWay(one, other);
        cutOneWay(other, one);
    }

    /** Cuts all links between the members of two groups; those within a group stay. */
    void cut(Collection<String> group, Collection<String> others) {
        for (var one : group) {
            others.stream()
                    .filter(other -> !group.contains(other))
                    .forEach(other -> cut(one, other));
        }
    }

    void restoreAll() {
        cutLinks.clear();
    }
}
