package martenloom.launcher;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigParseOptions;
import com.typesafe.config.ConfigRenderOptions;
import com.typesafe.config.ConfigSyntax;
import java.util.Set;
import martenloom.common.error.InvalidConfigurationException;
import martenloom.routing.configuration.Configurations;
import martenloom.routing.language.RoutingLanguage;
import martenloom.routing.placement.Placement;
import martenloom.routing.placement.PlacementFinding;
import martenloom.routing.route.RouteTable;

/**
 * check-placement: what the loss of a region would strand, and what a change would make worse, from
 * a file that holds a configuration, who runs where, and perhaps a change. The same function that
 * the head of the chain applies.
 */
final class PlacementCheck {
    private PlacementCheck() {}

    /**
     * Prints what is found; 0 when nothing is stranded (by the change, if there is one), 1
     * otherwise.
     */
    static int run(String json) {
        try {
            return check(
                    ConfigFactory.parseString(
                            json, ConfigParseOptions.defaults().setSyntax(ConfigSyntax.JSON)));
        } catch (ConfigException e) {
            throw new InvalidConfigurationException(
                    "check placement", String.valueOf(e.getMessage()).replace('\n', ' '));
        }
    }

    private static int check(Config c) {
        var t =
                RoutingLanguage.compile(
                        Configurations.replace(
                                        c.getObject("Configuration")
                                                .render(ConfigRenderOptions.concise()))
                                .routingText());
        var now = running(c, t);
        now.findings(t).forEach(f -> System.out.println("now: " + f.text()));
        if (!c.hasPath("Change")) {
            return now.findings(t).stream().allMatch(PlacementFinding::bound)
                    ? said("ok: every model outlives the loss of any one region")
                    : 1;
        }
        var bad = Placement.regressions(now, changed(now, c.getConfig("Change"), t), t);
        bad.forEach(f -> System.out.println("refused: " + f.text()));
        return bad.isEmpty() ? said("ok: the change strands nothing") : 1;
    }

    private static int said(String s) {
        System.out.println(s);
        return 0;
    }

    private static Placement running(Config c, RouteTable t) {
        var p = new Placement();
        for (var r : c.getConfigList("Running")) {
            var s = r.getString("Backend");
            if (!t.services().containsKey(s)) {
                throw new ConfigException.BadValue(
                        r.origin(), "Running.Backend", "service '" + s + "' is unknown");
            }
            r.getStringList("Replicas").forEach(x -> p.addReplica(s, r.getString("Region"), x));
        }
        return p;
    }

    private static Placement changed(Placement p, Config c, RouteTable t) {
        var m = c.getString("Model");
        var ss =
                t.services().values().stream()
                        .filter(s -> s.inferenceEngine() && s.model().equals(m))
                        .toList();
        if (ss.isEmpty()) {
            throw new ConfigException.BadValue(
                    c.origin(), "Change.Model", "model '" + m + "' is unknown");
        }
        return p.without(
                ss,
                c.getString("Region"),
                !c.hasPath("Replicas"),
                c.hasPath("Replicas") ? Set.copyOf(c.getStringList("Replicas")) : Set.of());
    }
}
