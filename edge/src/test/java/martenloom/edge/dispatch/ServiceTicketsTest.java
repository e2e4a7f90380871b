package martenloom.edge.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import martenloom.routing.route.Route;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How the requests of a route are spread over its services. */
final class ServiceTicketsTest {
    private final ServiceTickets tickets = new ServiceTickets(new Random(1));

    private static Route route(String name, int first, int second) {
        return Route.builder()
                .name(name)
                .addService("first", first)
                .addService("second", second)
                .build();
    }

    private void pick(Route route, Map<String, Integer> picked) {
        picked.merge(route.name() + route.pickService(tickets.next(route)), 1, Integer::sum);
    }

    /** Guards against weights that all requests of an edge fall on one side of. */
    @ParameterizedTest
    @ValueSource(ints = {2, 3, 7, 60, 61, 100, 122, 183, 1000, 6100, 99_991})
    void eachTicketComesUpOnceARound(int sum) {
        var route = route("route", 1, sum - 1);
        var seen = new HashSet<Integer>();
        for (var i = 0; i < sum; i++) {
            seen.add(tickets.next(route));
        }
        assertEquals(sum, seen.size());
    }

    /** Guards against a share that depends on the requests of other routes in between. */
    @Test
    void routesByTurnsEachGetTheSharesOfTheirWeights() {
        var even = route("even", 1, 1);
        var uneven = route("uneven", 90, 10);
        var picked = new HashMap<String, Integer>();
        for (var i = 0; i < 100; i++) {
            pick(even, picked);
            pick(uneven, picked);
        }
        assertEquals(
                Map.of("evenfirst", 50, "evensecond", 50, "unevenfirst", 90, "unevensecond", 10),
                picked);
    }
}
