package martenloom.core.api;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordWriter;
import martenloom.common.error.InvalidConfigurationException;
import martenloom.common.error.MartenloomException;
import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.jobs.Job;
import martenloom.common.jobs.JobCodec;
import martenloom.common.log.RingLog;
import martenloom.common.settings.IpPort;
import martenloom.common.settings.Settings;
import martenloom.core.forwarding.CommandSubmitter;
import martenloom.core.registry.Registry;
import martenloom.core.state.ClusterState;
import martenloom.core.state.Command;
import martenloom.core.state.Command.CancelJob;
import martenloom.core.state.Command.ConfirmJobResult;
import martenloom.core.state.Command.FinishEvacuation;
import martenloom.core.state.Command.GetJob;
import martenloom.core.state.Command.GetJobResult;
import martenloom.core.state.Command.ListJobs;
import martenloom.core.state.Command.Placing;
import martenloom.core.state.Command.ReadConfiguration;
import martenloom.core.state.Command.ReplaceConfiguration;
import martenloom.core.state.Command.SetPlacement;
import martenloom.core.state.Command.StartEvacuation;
import martenloom.core.state.Command.SubmitJob;
import martenloom.core.state.Command.UpdateConfiguration;
import martenloom.core.state.CommandCodec;
import martenloom.core.state.ResultCode;
import martenloom.core.state.Sha256;
import martenloom.core.state.StampedCommand;
import martenloom.routing.configuration.JsonText;
import martenloom.routing.route.RouteKind;
import martenloom.routing.route.RouteTable;

/**
 * The calls of replicas, the operator and clients that look up, in one dispatch on method and path
 * segments. A change is handed to the chain; a beat is answered once the book has it; a lookup
 * lists ready edges, near ones first.
 */
public final class ControlApi implements AsyncServlet {
    private static final HttpHeader BASE = HttpHeaders.of("X-Base-Revision");
    private static final HttpHeader RETRY = HttpHeaders.of("Retry-After");
    private static final int MOST_ADDRESSES = 64;
    private static final int MOST_BODY = 8 << 20;
    private static final String INSTANCE_ID = "[\\x21-\\x7e]{1,256}";

    /** Tells all that a replica drains or has ended, and then whether a majority knows it. */
    @FunctionalInterface
    public interface EndNotice {
        void tell(String replica, Consumer<Boolean> majorityKnows);
    }

    private final Eventloop loop;
    private final Settings settings;
    private final Registry registry;
    private final BooleanSupplier acceptsHeartbeats;
    private final CommandSubmitter chain;
    private final EndNotice endNotice;
    private final Supplier<RouteTable> table;
    private final Supplier<ClusterState> committed;
    private final Function<Set<String>, String> outside;
    private final BooleanSupplier inTouch;

    public ControlApi(
            Eventloop loop,
            Settings settings,
            Registry registry,
            BooleanSupplier acceptsHeartbeats,
            CommandSubmitter chain,
            EndNotice endNotice,
            Supplier<RouteTable> table,
            Supplier<ClusterState> committed,
            Function<Set<String>, String> outside,
            BooleanSupplier inTouch) {
        this.loop = loop;
        this.settings = settings;
        this.registry = registry;
        this.acceptsHeartbeats = acceptsHeartbeats;
        this.chain = chain;
        this.endNotice = endNotice;
        this.table = table;
        this.committed = committed;
        this.outside = outside;
        this.inTouch = inTouch;
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest q) {
        var seg = q.getPath().split("/");
        var key =
                q.getMethod()
                        + " "
                        + (seg.length > 1 ? seg[1] : "")
                        + (seg.length > 4
                                ? "/*/*/" + seg[4]
                                : seg.length > 3
                                        ? "/*/" + seg[3]
                                        : seg.length > 2 ? "/" + seg[2] : "");
        return switch (key) {
            case "GET lookup" -> Promise.of(lookup(q));
            case "POST configuration/replace" -> change(q, ReplaceConfiguration::new);
            case "POST configuration/update" -> change(q, UpdateConfiguration::new);
            case "GET configuration/describe" -> ask(new ReadConfiguration());
            case "POST evacuations/*/start" -> evacuation(seg[2], StartEvacuation::new);
            case "POST evacuations/*/finish" -> evacuation(seg[2], FinishEvacuation::new);
            case "POST placements/*/*/unload", "POST placements/*/*/load" ->
                    placement(seg[2], seg[3], seg[4]);
            case "POST instances/*/heartbeat" -> body(q).then(b -> beat(seg[2], b));
            case "POST instances/*/deregister" -> deregister(seg[2]);
            case "POST jobs/*/submit" -> body(q).then(b -> submit(seg[2], b));
            case "GET jobs" -> ask(new ListJobs());
            case "GET jobs/*/describe" -> job(seg[2], GetJob::new);
            case "GET jobs/*/result" -> job(seg[2], GetJobResult::new);
            case "POST jobs/*/confirm" -> job(seg[2], ConfirmJobResult::new);
            case "POST jobs/*/cancel" -> job(seg[2], CancelJob::new);
            default -> Promise.of(plain(404, "no such call: " + q.getMethod() + " " + q.getPath()));
        };
    }

    private static HttpResponse plain(int status, String text) {
        var b =
                HttpResponse.ofCode(status)
                        .withHeader(
                                HttpHeaders.CONTENT_TYPE,
                                status == 200 ? "application/json" : "text/plain")
                        .withBody(text, StandardCharsets.UTF_8);
        if (status == 503) {
            b.withHeader(RETRY, "0.2");
        }
        return b.build();
    }

    private static Promise<String> body(HttpRequest q) {
        return q.loadBody(MOST_BODY).map(b -> b.getString(StandardCharsets.UTF_8));
    }

    // ---- the operator

    private Promise<HttpResponse> change(HttpRequest q, BiFunction<Long, String, Command> command) {
        var h = Optional.ofNullable(q.getHeader(BASE)).orElse("");
        long base;
        try {
            base = Long.parseLong(h.trim());
        } catch (NumberFormatException e) {
            return Promise.of(plain(400, "X-Base-Revision: '" + h + "' is not a number"));
        }
        return body(q).then(b -> ask(command.apply(base, b)));
    }

    private Promise<HttpResponse> evacuation(String zone, Function<String, Command> command) {
        var h = URLDecoder.decode(zone, StandardCharsets.UTF_8);
        if (!settings.regionByZone().containsKey(h)) {
            return Promise.of(plain(404, "zone '" + h + "' is not known"));
        }
        return ask(command.apply(h));
    }

    /**
     * Takes a region's replicas of a model out of service, or back into it; the chain's head checks
     * what that strands.
     */
    private Promise<HttpResponse> placement(String region, String model, String order) {
        var g = URLDecoder.decode(region, StandardCharsets.UTF_8);
        var m = URLDecoder.decode(model, StandardCharsets.UTF_8);
        if (!settings.regionByZone().containsValue(g)) {
            return Promise.of(plain(404, "region '" + g + "' is not known"));
        }
        if (table.get().services().values().stream()
                .noneMatch(s -> s.inferenceEngine() && s.model().equals(m))) {
            return Promise.of(
                    plain(inTouch.getAsBoolean() ? 404 : 503, "model '" + m + "' is not known"));
        }
        return ask(new SetPlacement(g + "/" + m, Placing.ofWireName(order)));
    }

    /**
     * Hands a change over. An order gets the version on which it is accepted here, and keeps it
     * when it is handed over again.
     */
    private Promise<HttpResponse> ask(Command c) {
        var p = new SettablePromise<HttpResponse>();
        ask(committed.get().accepted(c), Clocks.nowUs(), p);
        return p;
    }

    private void ask(StampedCommand c, long since, SettablePromise<HttpResponse> p) {
        chain.submit(
                c,
                (s, t) -> {
                    if (s == ResultCode.UNAVAILABLE && Clocks.nowUs() - since < 850_000) {
                        Clocks.after(loop, 60_000, () -> ask(c, since, p));
                        return;
                    }
                    RingLog.debug(
                            "request "
                                    + CommandCodec.describe(c)
                                    + ": "
                                    + s.number()
                                    + " "
                                    + (s == ResultCode.OK ? "" : t));
                    p.set(plain(httpStatus(s), s == ResultCode.OK && t.isEmpty() ? "{}" : t));
                });
    }

    /**
     * The HTTP status of a result. The numbers of the codes are those of HTTP, save that the caller
     * of a stale order may retry it: the same call sent again gets a fresh version.
     */
    private static int httpStatus(ResultCode code) {
        return code == ResultCode.STALE_ORDER ? ResultCode.UNAVAILABLE.number() : code.number();
    }

    // ---- deferred jobs

    private Promise<HttpResponse> job(String id, Function<String, Command> command) {
        return ask(command.apply(URLDecoder.decode(id, StandardCharsets.UTF_8)));
    }

    private Promise<HttpResponse> submit(String id, String text) {
        var j = new Job();
        j.setId(URLDecoder.decode(id, StandardCharsets.UTF_8));
        if (!j.id().matches("[A-Za-z0-9._-]{1,64}")) {
            return Promise.of(
                    plain(400, "Id: 1 to 64 letters, digits, dots, dashes or underlines"));
        }
        try {
            read(j, JsonText.parse(text));
        } catch (MartenloomException | com.typesafe.config.ConfigException e) {
            return Promise.of(
                    plain(400, "job: " + String.valueOf(e.getMessage()).replace('\n', ' ')));
        }
        var t = table.get();
        var q = j.path().indexOf('?');
        var r = t.find(j.host(), q < 0 ? j.path() : j.path().substring(0, q));
        if (r.isEmpty()) {
            return Promise.of(
                    plain(
                            inTouch.getAsBoolean() ? 404 : 503,
                            "Path: no route for host '"
                                    + j.host()
                                    + "' and path '"
                                    + j.path()
                                    + "'"));
        }
        if (j.deadlineUs() < 1_000_000) {
            return Promise.of(
                    plain(
                            422,
                            "DueMs: "
                                    + j.deadlineUs() / 1000
                                    + " cannot be met, 1000 is the least"));
        }
        if (!r.get().allowedRegions().isEmpty()) {
            var o = outside.apply(r.get().allowedRegions());
            if (!o.isEmpty()) {
                return Promise.of(
                        plain(
                                422,
                                "AllowedRegions of route '"
                                        + r.get().name()
                                        + "' leave out region '"
                                        + o
                                        + "', where the core would keep the job"));
            }
        }
        j.setRetriable(r.get().retriable());
        j.setResumable(r.get().kind() == RouteKind.STREAMING && r.get().resumable());
        j.setRegion(j.region().isEmpty() ? settings.region() : j.region());
        if (!settings.regionByZone().containsValue(j.region()) || !r.get().allows(j.region())) {
            return Promise.of(
                    plain(400, "Region: '" + j.region() + "' is not known or not allowed"));
        }
        var o = new RecordWriter();
        JobCodec.write(j, o);
        return ask(new SubmitJob(j.id(), Base64.getEncoder().encodeToString(o.bytes())));
    }

    private static void read(Job j, com.typesafe.config.Config c) {
        j.setHost(c.getString("Hostname").toLowerCase(Locale.ROOT));
        j.setPath(c.getString("Path"));
        if (!j.path().startsWith("/") || j.path().chars().anyMatch(x -> x <= ' ' || x > 126)) {
            throw new InvalidConfigurationException(
                    "read job", "Path: must begin with a slash and hold no blanks");
        }
        j.setMethod(c.hasPath("Method") ? c.getString("Method") : "POST");
        if (!j.method().matches("[A-Z]{1,16}")) {
            throw new InvalidConfigurationException(
                    "read job", "Method: must be a word in capitals");
        }
        j.setRegion(c.hasPath("Region") ? c.getString("Region") : "");
        j.setBody((c.hasPath("Body") ? c.getString("Body") : "").getBytes(StandardCharsets.UTF_8));
        j.setDeadlineUs((long) (c.getDouble("DueMs") * 1000));
        var f = new ArrayList<String>();
        if (c.hasPath("Headers")) {
            for (var e : c.getObject("Headers").entrySet()) {
                var v = String.valueOf(e.getValue().unwrapped());
                if (!e.getKey().matches("[A-Za-z0-9-]{1,64}")
                        || v.chars().anyMatch(x -> x < ' ' || x > 126)) {
                    throw new InvalidConfigurationException(
                            "read job", "Headers: '" + e.getKey() + "' is no plain field");
                }
                f.add(e.getKey() + ": " + v);
            }
        }
        Collections.sort(f);
        j.setHeaderFields(f);
        j.setDigest(
                Sha256.hexDigest(
                        j.host()
                                + "\n"
                                + j.path()
                                + "\n"
                                + j.method()
                                + "\n"
                                + j.region()
                                + "\n"
                                + f
                                + "\n"
                                + j.deadlineUs(),
                        j.body()));
    }

    // ---- replicas

    private Promise<HttpResponse> beat(String id, String text) {
        if (!acceptsHeartbeats.getAsBoolean()) {
            return Promise.of(outOfContact());
        }
        try {
            var now = Clocks.nowUs();
            var c = JsonText.parse(text);
            var r = new ReplicaRecord();
            r.setId(URLDecoder.decode(id, StandardCharsets.UTF_8));
            r.setService(c.getString("Backend"));
            r.setAddress(c.getString("Address"));
            IpPort.parse("Address", r.address());
            r.setZone(c.getString("Zone"));
            r.setCapacity(c.hasPath("Capacity") ? Math.max(1, (int) c.getDouble("Capacity")) : 1);
            r.setDraining(c.hasPath("State") && c.getString("State").equals("draining"));
            r.setSequence(c.getLong("Sequence"));
            r.setWarmFromUs(
                    now
                            + (c.hasPath("WarmupLeftMs")
                                    ? (long) (c.getDouble("WarmupLeftMs") * 1000)
                                    : 0));
            r.setDrainDeadlineUs(
                    c.hasPath("RemainingMs")
                            ? now + (long) (c.getDouble("RemainingMs") * 1000)
                            : Long.MAX_VALUE);
            r.setLastHeartbeatUs(now);
            registry.take(r, true);
            if (r.draining()) {
                RingLog.debug("replica " + r.id() + " drains");
                return acknowledgedByMajority(r.id());
            }
            return Promise.of(plain(200, "{}"));
        } catch (MartenloomException | com.typesafe.config.ConfigException e) {
            var why = String.valueOf(e.getMessage()).replace('\n', ' ');
            return Promise.of(plain(400, "beat: " + why));
        }
    }

    /** Nothing that is taken here would reach an edge: the replica goes on to another daemon. */
    private HttpResponse outOfContact() {
        return plain(503, "no contact with a majority of the core at " + settings.ipAddress());
    }

    /**
     * Ends a replica for good, also one that is not known here yet: its beats may come later than
     * this.
     */
    private Promise<HttpResponse> deregister(String id) {
        var instance = URLDecoder.decode(id, StandardCharsets.UTF_8);
        if (!instance.matches(INSTANCE_ID)) {
            var why = "instance: 1 to 256 printable characters are expected";
            return Promise.of(plain(400, why));
        }
        RingLog.debug("replica " + instance + " is deregistered");
        registry.bury(instance, Clocks.nowUs());
        return acknowledgedByMajority(instance);
    }

    /**
     * Acknowledges that a replica drains or has ended once a majority of the core knows it. A
     * daemon that is cut off has told those it can reach, but cannot promise that all will know in
     * time, so it gives no acknowledgement and the replica turns to another.
     */
    private Promise<HttpResponse> acknowledgedByMajority(String replica) {
        var answer = new SettablePromise<HttpResponse>();
        endNotice.tell(
                replica,
                known ->
                        answer.set(
                                known
                                        ? plain(200, "{}")
                                        : plain(503, "no majority confirmed it, ask another")));
        return answer;
    }

    // ---- clients

    private HttpResponse lookup(HttpRequest q) {
        var zone = Optional.ofNullable(q.getQueryParameter("Zone")).orElse("");
        var region = Optional.ofNullable(q.getQueryParameter("Region")).orElse("");
        var host = Optional.ofNullable(q.getQueryParameter("Name")).orElse("");
        var open =
                registry.members(Clocks.nowUs()).stream()
                        .filter(e -> e.ready() && !e.draining())
                        .toList();
        var near = EdgeDirectory.choose(open, zone, region, EdgeDirectory.homes(table.get(), host));
        if (near.isEmpty()) {
            return plain(503, "no edge is ready");
        }
        var b = new StringBuilder("{\"Addresses\":[");
        near.stream()
                .limit(MOST_ADDRESSES)
                .forEach(
                        e ->
                                b.append(b.charAt(b.length() - 1) == '[' ? "" : ",")
                                        .append('"')
                                        .append(e.frontendAddress())
                                        .append('"'));
        var ttl = Math.min(settings.bounds().maxTtlS(), 4.0);
        return plain(200, b.append("],\"TtlS\":").append(ttl).append('}').toString());
    }
}
