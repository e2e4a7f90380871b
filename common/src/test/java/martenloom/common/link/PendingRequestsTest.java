package martenloom.common.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** An answer reaches the caller that asked for it, and nobody else. */
final class PendingRequestsTest {
    private final List<String> told = new ArrayList<>();
    private final PendingRequests<Object> requests = new PendingRequests<>(7);
    private final Object link = new Object();

    private RequestId ask(String caller) {
        return requests.register(
                link, (status, text) -> told.add(caller + " " + status + " " + text));
    }

    @Test
    void anAnswerToAFormerLifeIsDropped() {
        var former = new PendingRequests<Object>(6).register(link, (status, text) -> {});
        var id = ask("a");
        assertEquals(former.number(), id.number(), "both lives count alike");
        assertFalse(requests.complete(former, link, 200, "of the former life"));
        assertEquals(List.of(), told);
        assertTrue(requests.complete(id, link, 200, "mine"));
        assertEquals(List.of("a 200 mine"), told);
    }

    @Test
    void anAnswerFromAnotherChannelIsDroppedAndTheCallerToldWhenItExpires() {
        var id = ask("a");
        assertFalse(requests.complete(id, new Object(), 200, "from a stranger"));
        requests.expire(id, "no answer");
        requests.expire(id, "no answer");
        assertFalse(requests.complete(id, link, 200, "too late"));
        assertEquals(List.of("a 503 no answer"), told);
    }

    @Test
    void aClosedChannelTellsItsCallersOnceAndLeavesOthersAlone() {
        ask("a");
        var other = requests.register("other", (status, text) -> told.add("b " + status));
        requests.channelClosed(link, "closed");
        requests.channelClosed(link, "closed");
        assertEquals(List.of("a 503 closed"), told);
        assertTrue(requests.complete(other, "other", 200, ""));
        assertEquals(0, requests.size());
    }
}
