package martenloom.routing.language;

import martenloom.routing.route.RouteTable;

/**
 * The small language of routes and policies, in which the core sends an accepted configuration to
 * the edges. One statement a line; words are separated by blanks, a word that holds blanks stands
 * in double quotes, and {@code #} begins a comment:
 *
 * <pre>
 * revision 7
 * limits head 16384 body 4194304 head-wait 3000ms idle 15000ms
 * service huvo11a health /healthz connections 370 warm 3000ms 32.0/s engine 64 400054 6 m
 * route r-a3 host ficu95.example under /lohu930/ streaming within 8000ms aim 800ms pause 600ms
 *     rank 1 tries 2 resumable affinity to huvo11a 90 wuno96b 10 only catania palermo
 * scaling m window 60 delay 900 step 50 utilization 70 target 0 floor 2 ceiling 9
 * </pre>
 *
 * <p>(A route stands on one line.) Thread-safe: it keeps no state.
 */
public final class RoutingLanguage {
    private RoutingLanguage() {}

    /**
     * Compiles a text. What is wrong with it is an {@link
     * martenloom.common.error.InvalidConfigurationException} with line, column and reason.
     */
    public static RouteTable compile(String text) {
        var parser = new RoutingParser();
        var number = 0;
        for (var line : text.split("\n", -1)) {
            parser.parseLine(++number, line);
        }
        return parser.table();
    }

    /** The text that compiles to this table. */
    public static String print(RouteTable table) {
        return new RoutingPrinter().print(table);
    }
}
