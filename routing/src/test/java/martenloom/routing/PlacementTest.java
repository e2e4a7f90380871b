package martenloom.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import martenloom.routing.language.RoutingLanguage;
import martenloom.routing.placement.Placement;
import martenloom.routing.placement.PlacementFinding;
import org.junit.jupiter.api.Test;

/** What the loss of a region would strand, and which changes are to be refused for it. */
final class PlacementTest {
    private static final String MENU =
            """
            revision 1
            service s health / connections 9 engine 8 1000 5 m
            service t health / connections 9 engine 8 1000 5 n
            service plain health / connections 9
            route free host h under /f/ streaming within 9ms aim 9ms pause 9ms rank 1 tries 1 to s 1
            route homes host h under /h/ streaming within 9ms aim 9ms pause 9ms rank 1 tries 1 to s 1 only east west
            route bound host h under /b/ streaming within 9ms aim 9ms pause 9ms rank 1 tries 1 to t 1 only east
            """;

    private static Placement at(String... places) {
        var p = new Placement();
        for (var x : places) {
            var w = x.split(" ");
            p.addReplica(w[0], w[1], w[2]);
        }
        return p;
    }

    private static String said(Collection<PlacementFinding> f) {
        return String.join("\n", f.stream().map(PlacementFinding::text).toList());
    }

    private static List<PlacementFinding> added(Placement a, Placement b) {
        return Placement.regressions(a, b, RoutingLanguage.compile(MENU));
    }

    @Test
    void aStrandedModelIsNamedWithTheRegion() {
        var before = at("s east a", "s west b", "s north c", "t east d", "t north e");
        assertEquals(
                "model 'n' on route 'bound' is bound to region 'east' and cannot outlive it",
                said(before.findings(RoutingLanguage.compile(MENU))));
        var noNorth =
                before.without(
                        RoutingLanguage.compile(MENU).services().values(), "north", true, Set.of());
        assertEquals(
                "model 'n' would run nowhere if region 'east' were lost",
                said(added(before, noNorth)));
        assertEquals(
                "",
                said(
                        added(
                                before,
                                before.without(
                                        RoutingLanguage.compile(MENU).services().values(),
                                        "north",
                                        false,
                                        Set.of("c")))));
    }

    @Test
    void homesCountAndABoundRouteDoesNot() {
        var before = at("s east a", "s west b", "s north c", "t east d", "t north e");
        var noWest =
                before.without(
                        RoutingLanguage.compile(MENU).services().values(), "west", true, Set.of());
        assertEquals(
                "model 'm' on route 'homes' would run nowhere if region 'east' were lost",
                said(added(before, noWest)));
    }

    @Test
    void whatKeepsOrMendsABadStateIsNotRefusedAndNowhereAlwaysIs() {
        var bad = at("s east a", "s east a2", "t east d");
        var services = RoutingLanguage.compile(MENU).services().values();
        assertEquals(
                "",
                said(added(bad, bad.without(services, "east", false, Set.of("a2")))),
                "it stays as it was");
        assertEquals("", said(added(bad, at("s east a", "s west b", "s east a2", "t east d"))));
        assertTrue(
                said(added(bad, bad.without(services, "east", true, Set.of())))
                        .contains("model 'm' runs nowhere"));
        assertEquals(
                "",
                said(added(at("t east d"), at("s west b", "t east d"))),
                "from nowhere to one region is better");
    }

    @Test
    void itsTextReadsBack() {
        var p = at("s east a", "s west b", "t east d");
        assertEquals(p.encode(), Placement.decode(p.encode()).encode());
        assertEquals("", Placement.decode("").encode());
    }
}
