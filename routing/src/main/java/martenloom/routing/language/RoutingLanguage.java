package martenloom.routing.language;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import martenloom.autoscaler.ScaleSettings;
import martenloom.common.error.InvalidConfigurationException;
import martenloom.common.error.MartenloomException;
import martenloom.routing.route.RouteTable;

/**
 * The small language of routes and policies, and its compiler. One statement a line; words are
 * parted by blanks, and a word holding blanks stands in double quotes:
 *
 * <p>revision 7 limits head 16384 body 4194304 head-wait 3000ms idle 15000ms service huvo11a health
 * /healthz connections 370 warm 3000ms 32.0/s engine 64 400054 6 m route r-a3 host ficu95.example
 * under /lohu930/ streaming within 8000ms aim 800ms pause 600ms rank 1 tries 2 resumable affinity
 * to huvo11a 90 wuno96b 10 only catania palermo (on one line) scaling m window 60 delay 900 step 50
 * utilization 70 target 0 floor 2 ceiling 9
 *
 * <p>A fault gives line, column and reason. The core writes this text from an accepted
 * configuration; edges compile it.
 */
public final class RoutingLanguage {
    private RoutingLanguage() {}

    public static RouteTable compile(String text) {
        var p = new Parser();
        var n = 0;
        for (var line : text.split("\n", -1)) {
            p.line(++n, line);
        }
        return p.table();
    }

    public static String write(RouteTable t) {
        var b = new StringBuilder("revision ").append(t.revision).append('\n');
        var l = t.limits;
        b.append("limits head ")
                .append(l.headBytes)
                .append(" body ")
                .append(l.bodyBytes)
                .append(" head-wait ")
                .append(l.headMs)
                .append("ms idle ")
                .append(l.idleMs)
                .append("ms\n");
        t.services.values().forEach(s -> service(b, s));
        t.routes.forEach(r -> route(b, r));
        new TreeMap<>(t.scaling)
                .forEach(
                        (m, p) -> {
                            b.append("scaling ").append(q(m));
                            for (var f : ScaleSettings.Field.values()) {
                                b.append(' ').append(f.word).append(' ').append(p.get(f));
                            }
                            b.append('\n');
                        });
        return b.toString();
    }

    private static String q(String s) {
        return s.isEmpty() || s.contains(" ") || s.contains("\t") ? '"' + s + '"' : s;
    }

    private static void service(StringBuilder b, RouteTable.Service s) {
        b.append("service ")
                .append(q(s.name))
                .append(" health ")
                .append(q(s.healthPath))
                .append(" connections ")
                .append(s.maxConnections);
        if (s.warmPerS > 0) {
            b.append(" warm ")
                    .append(s.warmUs / 1000)
                    .append("ms ")
                    .append(s.warmPerS)
                    .append("/s");
        }
        if (s.engine) {
            b.append(" engine ")
                    .append(s.capacity)
                    .append(' ')
                    .append(s.cacheTokens)
                    .append(' ')
                    .append(s.stepSize)
                    .append(' ')
                    .append(q(s.model));
        }
        b.append('\n');
    }

    private static void route(StringBuilder b, RouteTable.Route r) {
        b.append("route ")
                .append(q(r.name))
                .append(" host ")
                .append(q(r.host))
                .append(" under ")
                .append(q(r.prefix))
                .append(' ')
                .append(r.kind.name().toLowerCase(Locale.ROOT))
                .append(" within ")
                .append(r.timeoutUs / 1000)
                .append("ms aim ")
                .append(r.aimUs / 1000)
                .append("ms pause ")
                .append(r.pauseUs / 1000)
                .append("ms rank ")
                .append(r.rank)
                .append(" tries ")
                .append(r.tries);
        if (r.resumable) {
            b.append(" resumable");
        }
        if (r.affinity) {
            b.append(" affinity");
        }
        b.append(" to");
        r.shares.forEach(s -> b.append(' ').append(q(s.service)).append(' ').append(s.weight));
        if (!r.regions.isEmpty()) {
            b.append(" only");
            r.regions.forEach(x -> b.append(' ').append(q(x)));
        }
        b.append('\n');
    }

    private static final class Parser {
        private long revision;
        private RouteTable.Limits limits = RouteTable.Limits.DEFAULT;
        private final Map<String, RouteTable.Service> services = new LinkedHashMap<>();
        private final List<RouteTable.Route> routes = new ArrayList<>();
        private final Map<String, ScaleSettings> scaling = new TreeMap<>();
        private final Set<String> places = new HashSet<>();
        private final List<String> words = new ArrayList<>();
        private final List<Integer> columns = new ArrayList<>();
        private int line;
        private int at;

        private MartenloomException bad(int word, String why) {
            var c =
                    word < columns.size()
                            ? columns.get(word)
                            : columns.isEmpty() ? 1 : columns.get(columns.size() - 1);
            return new InvalidConfigurationException(
                    "compile routing text", "line " + line + " column " + c + ": " + why);
        }

        private void split(String s) {
            words.clear();
            columns.clear();
            var i = 0;
            while (i < s.length()) {
                if (Character.isWhitespace(s.charAt(i))) {
                    i++;
                    continue;
                }
                if (s.charAt(i) == '#') {
                    return;
                }
                columns.add(i + 1);
                var q = s.charAt(i) == '"';
                var j = q ? s.indexOf('"', i + 1) : end(s, i);
                if (j < 0) {
                    words.add("");
                    throw bad(words.size() - 1, "a quote is not closed");
                }
                words.add(s.substring(q ? i + 1 : i, j));
                i = q ? j + 1 : j;
            }
        }

        private static int end(String s, int i) {
            var j = i;
            while (j < s.length() && !Character.isWhitespace(s.charAt(j))) {
                j++;
            }
            return j;
        }

        private void line(int n, String s) {
            line = n;
            split(s);
            at = 0;
            if (words.isEmpty()) {
                return;
            }
            switch (word("a statement")) {
                case "revision" -> revision = number("");
                case "limits" -> limits();
                case "service" -> service();
                case "route" -> route();
                case "scaling" -> scaling();
                default ->
                        throw bad(
                                0,
                                "'"
                                        + words.get(0)
                                        + "' is no statement (revision, limits, service, route,"
                                        + " scaling)");
            }
            if (at < words.size()) {
                throw bad(at, "'" + words.get(at) + "' is not expected here");
            }
        }

        private boolean more() {
            return at < words.size();
        }

        private boolean ahead(String w) {
            return more() && words.get(at).equals(w);
        }

        private boolean take(String w) {
            if (ahead(w)) {
                at++;
                return true;
            }
            return false;
        }

        private String word(String what) {
            if (!more()) {
                throw bad(at, what + " is missing");
            }
            return words.get(at++);
        }

        private void must(String w) {
            if (!take(w)) {
                throw bad(at, "'" + w + "' is expected");
            }
        }

        private double decimal(String unit) {
            var w = word("a number");
            try {
                if (w.endsWith(unit)) {
                    return Double.parseDouble(w.substring(0, w.length() - unit.length()));
                }
            } catch (NumberFormatException e) {
                throw bad(
                        at - 1,
                        "'" + w + "' is not a number" + (unit.isEmpty() ? "" : " of " + unit));
            }
            throw bad(at - 1, "'" + w + "' is not a number of " + unit);
        }

        private long number(String unit) {
            return (long) decimal(unit);
        }

        private void limits() {
            must("head");
            var h = (int) number("");
            must("body");
            var b = (int) number("");
            must("head-wait");
            var w = (int) number("ms");
            must("idle");
            limits = new RouteTable.Limits(h, b, w, (int) number("ms"));
        }

        private void service() {
            var s = new RouteTable.Service();
            s.name = word("the service's name");
            must("health");
            s.healthPath = word("the health path");
            must("connections");
            s.maxConnections = (int) number("");
            if (take("warm")) {
                s.warmUs = number("ms") * 1000;
                s.warmPerS = decimal("/s");
            }
            if (take("engine")) {
                s.engine = true;
                s.capacity = (int) number("");
                s.cacheTokens = number("");
                s.stepSize = (int) number("");
                s.model = word("the model");
            }
            services.put(s.name, s);
        }

        private void route() {
            var r = new RouteTable.Route();
            r.name = word("the route's name");
            must("host");
            r.host = word("the host");
            must("under");
            r.prefix = word("the prefix");
            if (!r.prefix.startsWith("/") || !r.prefix.endsWith("/")) {
                throw bad(at - 1, "a prefix begins and ends with a slash");
            }
            if (!places.add(r.host + " " + r.prefix)) {
                throw bad(at - 1, "another route has this host and prefix");
            }
            r.kind = kind(word("the kind"));
            must("within");
            r.timeoutUs = number("ms") * 1000;
            if (r.timeoutUs <= 0) {
                throw bad(at - 1, "the time-out is 0");
            }
            must("aim");
            r.aimUs = number("ms") * 1000;
            must("pause");
            r.pauseUs = number("ms") * 1000;
            must("rank");
            r.rank = (int) number("");
            must("tries");
            r.tries = (int) Math.max(1, number(""));
            r.resumable = take("resumable");
            r.affinity = take("affinity");
            must("to");
            shares(r);
            if (take("only")) {
                while (more()) {
                    r.regions.add(word("a region"));
                }
            }
            routes.add(r);
        }

        private void scaling() {
            var m = word("the model");
            if (services.values().stream().noneMatch(s -> s.engine && s.model.equals(m))) {
                throw bad(at - 1, "no service has model '" + m + "'");
            }
            var v = new EnumMap<ScaleSettings.Field, Double>(ScaleSettings.Field.class);
            while (more()) {
                var w = word("a field");
                var f =
                        Arrays.stream(ScaleSettings.Field.values())
                                .filter(x -> x.word.equals(w))
                                .findFirst()
                                .orElseThrow(
                                        () -> bad(at - 1, "'" + w + "' is no field of scaling"));
                var n = decimal("");
                if (n != 0 || f != ScaleSettings.Field.TARGET && f != ScaleSettings.Field.CEILING) {
                    v.put(f, n);
                }
            }
            try {
                scaling.put(m, ScaleSettings.DEFAULT.with(m, v));
            } catch (MartenloomException x) {
                throw bad(at - 1, x.getMessage());
            }
        }

        private void shares(RouteTable.Route r) {
            var sum = 0L;
            while (more() && !ahead("only")) {
                var s = word("a service");
                if (!services.containsKey(s)) {
                    throw bad(at - 1, "service '" + s + "' is unknown");
                }
                var w = number("");
                if (w < 0) {
                    throw bad(at - 1, "a weight is below 0");
                }
                sum += w;
                r.shares.add(new RouteTable.Share(s, (int) w));
            }
            if (sum <= 0) {
                throw bad(at, "the weights of route '" + r.name + "' sum to 0");
            }
        }

        private RouteTable.Kind kind(String w) {
            try {
                return RouteTable.Kind.valueOf(w.toUpperCase(Locale.ROOT));
            } catch (IllegalArgumentException e) {
                throw bad(at - 1, "'" + w + "' is no kind (idempotent, non_idempotent, streaming)");
            }
        }

        private RouteTable table() {
            return new RouteTable(revision, limits, services.values(), routes, scaling);
        }
    }
}
