package martenloom.core.load;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import martenloom.common.load.LoadSummary;

/**
 * The newest load sample of each source. A sample carries the incarnation of its source and a
 * sequence number that rises within it; one that is late, repeated or of a former incarnation is
 * rejected. Samples lapse when they are older than a limit. Reads no clock; runs on the reactor
 * thread.
 */
final class LoadSamples {
    /** How many former incarnations of a source are remembered. */
    private static final int MAX_FORMER_INCARNATIONS = 8;

    private record Sample(
            long incarnation, long sequence, long receivedUs, LoadSummary loadSummary) {}

    private final long lapseUs;
    private final Map<String, Sample> bySource = new HashMap<>();
    private final Map<String, Set<Long>> formerIncarnations = new HashMap<>();

    /**
     * @param lapseUs the age at which a sample no longer counts
     */
    LoadSamples(long lapseUs) {
        this.lapseUs = lapseUs;
    }

    /** Takes a sample; false when it is rejected. */
    boolean accept(
            String source, long incarnation, long sequence, LoadSummary loadSummary, long nowUs) {
        var latest = Optional.ofNullable(bySource.get(source));
        var sameIncarnation = latest.filter(sample -> sample.incarnation == incarnation);
        if (sameIncarnation.filter(sample -> sequence <= sample.sequence).isPresent()
                || formerIncarnations.getOrDefault(source, Set.of()).contains(incarnation)) {
            return false;
        }
        if (latest.isPresent() && sameIncarnation.isEmpty()) {
            retire(source, latest.get().incarnation);
        }
        bySource.put(source, new Sample(incarnation, sequence, nowUs, loadSummary));
        return true;
    }

    private void retire(String source, long incarnation) {
        var former = formerIncarnations.computeIfAbsent(source, unused -> new LinkedHashSet<>());
        former.add(incarnation);
        if (former.size() > MAX_FORMER_INCARNATIONS) {
            former.remove(former.iterator().next());
        }
    }

    /** Drops the sample of a source; false when there was none. */
    boolean remove(String source) {
        return bySource.remove(source) != null;
    }

    /** Drops the samples that have lapsed; false when there were none. */
    boolean removeLapsed(long nowUs) {
        return bySource.values().removeIf(sample -> sample.receivedUs < nowUs - lapseUs);
    }

    /** The sequence number of the sample that counts now, or 0. */
    long sequenceOf(String source) {
        return Optional.ofNullable(bySource.get(source)).map(Sample::sequence).orElse(0L);
    }

    /** Adds all samples to a sum. */
    void addTo(LoadSummary sum) {
        bySource.values().forEach(sample -> sum.add(sample.loadSummary));
    }
}
