package martenloom.routing.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which route a request takes, and which service of it. */
final class RouteTableTest {
    private static Route route(String name, String prefix) {
        return Route.builder().name(name).host("h").pathPrefix(prefix).build();
    }

    @Test
    void theLongestPrefixWins() {
        var table =
                new RouteTable(
                        1,
                        ClientLimits.DEFAULT,
                        List.of(),
                        List.of(route("a", "/"), route("b", "/x/"), route("c", "/x/y/")),
                        Map.of());
        assertEquals("c", table.find("h", "/x/y/z").get().name());
        assertEquals("b", table.find("h", "/x/yy").get().name());
        assertEquals("a", table.find("h", "/q").get().name());
        assertTrue(table.find("other", "/q").isEmpty());
    }

    @Test
    void servicesArePickedByWeight() {
        var route =
                Route.builder().addService("s", 2).addService("t", 0).addService("u", 1).build();
        assertEquals("s", route.pickService(0));
        assertEquals("s", route.pickService(1));
        assertEquals("u", route.pickService(2));
        assertEquals("s", route.pickService(3));
        assertEquals("u", route.pickService(-1));
    }
}
