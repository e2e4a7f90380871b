package martenloom.core.state;

import java.util.Map;
import java.util.TreeMap;
import martenloom.common.codec.RecordWriter;

/**
 * How often each subject was ordered about, also after the order ended: an order acts only on the
 * version that was committed where and when its call was accepted, so that a copy that comes late
 * does nothing. Immutable.
 *
 * @param bySubject the versions in the order of their subjects; a subject that isn't in it has 0
 */
public record OrderVersions(Map<String, Long> bySubject) {
    /** Nothing was ordered yet. */
    static final OrderVersions NONE = new OrderVersions(Map.of());

    /** The version of a subject. */
    public long of(String subject) {
        return bySubject.getOrDefault(subject, 0L);
    }

    /** The same with another version of one subject. */
    OrderVersions with(String subject, long version) {
        var versions = new TreeMap<>(bySubject);
        versions.put(subject, version);
        return new OrderVersions(versions);
    }

    /** The same with the next version of one subject. */
    OrderVersions next(String subject) {
        return with(subject, of(subject) + 1);
    }

    /** Appends the entries, without their number, each subject after a prefix. */
    void write(RecordWriter out, String prefix) {
        bySubject.forEach((subject, version) -> out.text(prefix + subject).i64(version));
    }
}
