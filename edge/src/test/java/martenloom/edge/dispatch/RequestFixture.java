package martenloom.edge.dispatch;

import java.util.ArrayList;
import java.util.List;
import martenloom.edge.http.MessageHead;
import martenloom.routing.route.Route;
import martenloom.routing.route.RouteKind;

/** Requests for tests of the rules, and a sink that records what it is given. */
final class RequestFixture {
    static final long ARRIVED_US = 1_000_000;
    static final long TIMEOUT_US = 2_000_000;

    private RequestFixture() {}

    static Route route(RouteKind kind, boolean resumable, int attempts) {
        return Route.builder()
                .name("route")
                .kind(kind)
                .resumable(resumable)
                .maxAttempts(attempts)
                .timeoutUs(TIMEOUT_US)
                .latencyTargetUs(500_000)
                .build();
    }

    /** A request with these header fields, each a name and a value. */
    static Request request(Route route, String... fields) {
        var head = MessageHead.newRequest("POST", "/path");
        for (var i = 0; i < fields.length; i += 2) {
            head.set(fields[i], fields[i + 1]);
        }
        return new Request(head, new byte[0], route, "service", new RecordingSink(), ARRIVED_US);
    }

    /** Writes down each call in one line. */
    static final class RecordingSink implements ResponseSink {
        final List<String> calls = new ArrayList<>();

        @Override
        public void respond(byte[] head, byte[] body) {
            calls.add("respond " + new String(head).strip() + " " + new String(body));
        }

        @Override
        public void beginStream(byte[] head) {
            calls.add("begin " + new String(head));
        }

        @Override
        public void sendEvents(byte[] events) {
            calls.add("events " + (events.length < 100 ? new String(events) : events.length));
        }

        @Override
        public void endStream() {
            calls.add("end");
        }

        @Override
        public void abortStream() {
            calls.add("abort");
        }

        @Override
        public int unsentBytes() {
            return 0;
        }
    }
}
