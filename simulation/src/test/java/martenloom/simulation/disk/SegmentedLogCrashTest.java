package martenloom.simulation.disk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import martenloom.core.storage.SegmentedLog;
import martenloom.simulation.engine.RandomStream;
import org.junit.jupiter.api.Test;

/**
 * A log whose process ends between any two steps of its disk, and whose machine may lose power
 * then: what was reported as written is read again, also after a disk that refused.
 */
final class SegmentedLogCrashTest {
    private static final int DAYS = 80;
    private static final int LIVES = 6;
    private static final int MOST_APPENDS = 12;
    private static final int MOST_STEPS = 40;
    private static final long TIMEOUT_MS = 10_000;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Set<String> texts(List<byte[]> payloads) {
        var texts = new LinkedHashSet<String>();
        payloads.forEach(payload -> texts.add(new String(payload, StandardCharsets.UTF_8)));
        return texts;
    }

    /** Guards against adds that were acknowledged and are not on the disk after a loss of power. */
    @Test
    void whatWasReportedIsReadAgainWhereverTheProcessEnds() {
        for (var day = 0; day < DAYS; day++) {
            var random = RandomStream.of(day, "log");
            var disk = new SimulatedDisk(random);
            var reported = Collections.synchronizedSet(new LinkedHashSet<String>());
            for (var life = 0; life < LIVES; life++) {
                disk.onProcessStart();
                var found = new SegmentedLog(disk, "tallies").load();
                assertTrue(
                        texts(found).containsAll(reported),
                        "day " + day + " life " + life + ": " + texts(found) + " of " + reported);
                disk.endProcessAfter(random.below(MOST_STEPS));
                live(disk, found, reported, life + "-", 1 + random.below(MOST_APPENDS));
                if (random.coin()) {
                    disk.losePower();
                }
            }
        }
    }

    /** Writes again what was found, and appends until the process ends. */
    private static void live(
            SimulatedDisk disk,
            List<byte[]> found,
            Set<String> reported,
            String prefix,
            int appends) {
        var log = new SegmentedLog(disk, "tallies");
        log.rewriteAsync(found, () -> reported.addAll(texts(found)));
        for (var i = 0; i < appends; i++) {
            var payload = prefix + i;
            log.appendAsync(bytes(payload), durable -> note(reported, payload, durable));
        }
        log.flush(TIMEOUT_MS);
    }

    private static void note(Set<String> reported, String payload, boolean durable) {
        if (durable) {
            reported.add(payload);
        }
    }

    @Test
    void aRefusedAppendIsReportedAndARewritingGoesOn() {
        var disk = new SimulatedDisk(RandomStream.of(1, "log"));
        var log = new SegmentedLog(disk, "tallies");
        var outcomes = Collections.synchronizedList(new ArrayList<Boolean>());
        log.rewriteAsync(List.of(bytes("first")), () -> {});
        log.appendAsync(bytes("second"), outcomes::add);
        log.flush(TIMEOUT_MS);
        disk.setFull(true);
        log.appendAsync(bytes("refused"), outcomes::add);
        log.flush(TIMEOUT_MS);
        disk.setFull(false);
        log.appendAsync(bytes("behind it"), outcomes::add);
        log.rewriteAsync(List.of(bytes("first"), bytes("second")), () -> {});
        log.appendAsync(bytes("third"), outcomes::add);
        log.flush(TIMEOUT_MS);
        assertEquals(List.of(true, false, false, true), outcomes);
        assertEquals(
                Set.of("first", "second", "third"),
                texts(new SegmentedLog(disk, "tallies").load()));
        assertEquals(1, disk.names().size(), "older segments are removed: " + disk.names());
    }
}
