package martenloom.core.api;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import martenloom.common.fleet.EdgeRecord;
import martenloom.routing.route.ClientLimits;
import martenloom.routing.route.Route;
import martenloom.routing.route.RouteTable;
import org.junit.jupiter.api.Test;

/** Which edges a lookup names. */
final class EdgeDirectoryTest {
    private final List<EdgeRecord> ready =
            List.of(
                    edge("n", "north-a", "north"),
                    edge("s", "south-b", "south"),
                    edge("w", "west-c", "west"));

    private static EdgeRecord edge(String ip, String zone, String region) {
        var edge = new EdgeRecord();
        edge.setIp(ip);
        edge.setZone(zone);
        edge.setRegion(region);
        return edge;
    }

    private static RouteTable table(List<String>... regionsOfRoutes) {
        var routes = new ArrayList<Route>();
        for (var regions : regionsOfRoutes) {
            routes.add(
                    Route.builder()
                            .host("cluster.example")
                            .pathPrefix("/" + routes.size() + "/")
                            .allowRegions(regions)
                            .build());
        }
        return new RouteTable(1, ClientLimits.DEFAULT, List.of(), routes, Map.of());
    }

    private String named(String zone, String region, Set<String> homes) {
        return String.join(
                ",",
                EdgeDirectory.choose(ready, zone, region, homes).stream()
                        .map(e -> e.ip())
                        .toList());
    }

    @Test
    void theNearestComeFirstAndThenTheHomesOfTheHost() {
        assertEquals("n", named("north-a", "north", Set.of("south")));
        assertEquals("n", named("north-z", "north", Set.of("south")));
        assertEquals("s", named("east-a", "east", Set.of("south")));
        assertEquals("s,w", named("east-a", "east", Set.of("south", "west")));
        assertEquals("n,s,w", named("east-a", "east", Set.of()));
        assertEquals(
                "n,s,w",
                named("east-a", "east", Set.of("far")),
                "a home without an edge is no reason to name none");
    }

    @Test
    @SuppressWarnings("unchecked")
    void homesAreTheRegionsThatTheHostsBoundRoutesShare() {
        assertEquals(
                Set.of("south"),
                EdgeDirectory.homes(
                        table(List.of("north", "south"), List.of(), List.of("south", "west")),
                        "CLUSTER.example"));
        assertEquals(
                Set.of("north", "west"),
                EdgeDirectory.homes(table(List.of("north"), List.of("west")), "cluster.example"),
                "they share none");
        assertEquals(Set.of(), EdgeDirectory.homes(table(List.of("north")), "other.example"));
        assertEquals(
                Set.of(),
                EdgeDirectory.homes(table(Arrays.asList(new String[0])), "cluster.example"));
    }
}
