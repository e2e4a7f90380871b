package martenloom.routing.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collection;
import java.util.Set;
import martenloom.routing.language.RoutingLanguage;
import martenloom.routing.route.RouteTable;
import martenloom.routing.route.ServiceSpec;
import org.junit.jupiter.api.Test;

/** What the loss of a region leaves without replicas, and which changes make that worse. */
final class PlacementTest {
    private static final String ROUTES =
            """
            revision 1
            service s health / connections 9 engine 8 1000 5 m
            service t health / connections 9 engine 8 1000 5 n
            service plain health / connections 9
            route free host h under /f/ streaming within 9ms aim 9ms pause 9ms rank 1 tries 1 to s 1
            route homes host h under /h/ streaming within 9ms aim 9ms pause 9ms rank 1 tries 1 to s 1 only east west
            route bound host h under /b/ streaming within 9ms aim 9ms pause 9ms rank 1 tries 1 to t 1 only east
            """;

    private static final RouteTable TABLE = RoutingLanguage.compile(ROUTES);
    private static final Collection<ServiceSpec> SERVICES = TABLE.services().values();

    /** A placement from replicas, each as "service region id". */
    private static Placement placement(String... replicas) {
        var placement = new Placement();
        for (var replica : replicas) {
            var words = replica.split(" ");
            placement.addReplica(words[0], words[1], words[2]);
        }
        return placement;
    }

    private static String text(Collection<PlacementFinding> findings) {
        return String.join("\n", findings.stream().map(PlacementFinding::text).toList());
    }

    private static String regressions(Placement before, Placement after) {
        return text(Placement.regressions(before, after, TABLE));
    }

    @Test
    void aModelThatWouldRunNowhereIsNamedWithTheRegion() {
        var before = placement("s east a", "s west b", "s north c", "t east d", "t north e");
        assertEquals(
                "model 'n' on route 'bound' is bound to region 'east' and cannot outlive it",
                text(before.findings(TABLE)));
        var noNorth = before.without(SERVICES, "north", true, Set.of());
        assertEquals(
                "model 'n' would run nowhere if region 'east' were lost",
                regressions(before, noNorth));
        assertEquals(
                "", regressions(before, before.without(SERVICES, "north", false, Set.of("c"))));
    }

    @Test
    void allowedRegionsCountAndABoundRouteDoesNot() {
        var before = placement("s east a", "s west b", "s north c", "t east d", "t north e");
        var noWest = before.without(SERVICES, "west", true, Set.of());
        assertEquals(
                "model 'm' on route 'homes' would run nowhere if region 'east' were lost",
                regressions(before, noWest));
    }

    @Test
    void whatKeepsOrImprovesABadStateIsNoRegressionAndNowhereAlwaysIs() {
        var bad = placement("s east a", "s east a2", "t east d");
        assertEquals(
                "",
                regressions(bad, bad.without(SERVICES, "east", false, Set.of("a2"))),
                "it stays as it was");
        assertEquals(
                "", regressions(bad, placement("s east a", "s west b", "s east a2", "t east d")));
        assertTrue(
                regressions(bad, bad.without(SERVICES, "east", true, Set.of()))
                        .contains("model 'm' runs nowhere"));
        assertEquals(
                "",
                regressions(placement("t east d"), placement("s west b", "t east d")),
                "from nowhere to one region is better");
    }

    @Test
    void itsEncodingIsDecoded() {
        var placement = placement("s east a", "s west b", "t east d");
        assertEquals(placement.encode(), Placement.decode(placement.encode()).encode());
        assertEquals("", Placement.decode("").encode());
    }
}
