package martenloom.edge.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** When connections go on whose clients have sent requests ahead. */
final class SentAheadRequestsTest {
    private final Eventloop loop = Eventloop.builder().withCurrentThread().build();
    private final List<Integer> begun = new ArrayList<>();
    private boolean anyWaiting;
    private final SentAheadRequests requests = new SentAheadRequests(loop, () -> anyWaiting);

    private void add(int count) {
        for (var i = 0; i < count; i++) {
            var number = i;
            requests.add(() -> begun.add(number));
        }
    }

    @Test
    void atOnceWhereNobodyWaits() {
        add(2);
        loop.run();
        assertEquals(Set.of(0, 1), Set.copyOf(begun));
    }

    @Test
    void oneAfterAnotherWhereOthersWait() {
        anyWaiting = true;
        add(40);
        loop.run();
        requests.tick();
        assertEquals(List.of(0), begun);
        anyWaiting = false;
        requests.tick();
        assertEquals(17, begun.size());
    }
}
