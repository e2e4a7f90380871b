package martenloom.core.state;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.error.InvalidConfigurationException;
import martenloom.common.error.MartenloomException;
import martenloom.routing.configuration.Configurations;
import martenloom.routing.language.RoutingLanguage;
import martenloom.routing.placement.Placement;
import martenloom.routing.placement.PlacementFinding;
import martenloom.routing.route.RouteTable;

/**
 * What the core keeps: the configuration as sent and in the routing language, the evacuations, the
 * duty grants, and the roster of core members. A state is immutable and carries its edition;
 * decide() is the only way from one state to the next, and says by status what the caller is to be
 * told.
 */
public final class ClusterState {
    /**
     * What the caller of a stale order is told inside the core: the order did nothing and may be
     * given anew. The control desk answers it with 503, since the same call sent again gets a fresh
     * version.
     */
    public static final int STALE_ORDER = 598;

    private static final String EVACUATION = "evacuation/";
    private static final String PLACEMENT = "placement/";
    private static final String SCALING = "scaling/";
    private static final int ORDER_BITS = 32;

    /** The base of a LEAVE that may wait for another member to come back. */
    public static final long LEAVE_SOON = 0;

    /** The base of a LEAVE whose sender will end soon in any case. */
    public static final long LEAVE_NOW = 1;

    public final long edition;
    public final List<String> roster;
    public final long revision;
    public final String json;
    public final String routingText;
    public final AppliedChanges applied;
    public final Set<String> evacuated;
    public final Map<String, Duty> duties;
    public final JobTable jobTable;

    /**
     * Desired counts and who rests, by region and model; what is not named runs as it is
     * registered.
     */
    public final Map<String, Scale> scales;

    /** Members of the roster that left in order and have not been in the chain since. */
    public final Set<String> departed;

    /**
     * How often each evacuation and placement was ordered, also after it ended, and the newest
     * order of each scaler. An order acts only on the version that was committed where and when its
     * call was accepted.
     */
    public final Map<String, Long> versions;

    /**
     * How many replicas of a model a region is to have, and which of them rest. Pinned by the
     * operator: all rest.
     */
    public record Scale(int desired, boolean pinned, long grant, Set<String> resting) {
        private void write(RecordWriter o) {
            o.i32(desired).flag(pinned).i64(grant).texts(resting);
        }

        private static Scale read(RecordReader in) {
            return new Scale(in.i32(), in.flag(), in.i64(), new TreeSet<>(in.texts()));
        }
    }

    /** Who holds a duty and the number of the grant; a higher grant fences every lower one. */
    public static final class Duty {
        public final long grant;
        public final String holder;

        public Duty(long g, String h) {
            grant = g;
            holder = h;
        }
    }

    /** The kinds of orders; their ordinals are part of the wire and disk formats. */
    public enum Act {
        REPLACE,
        UPDATE,
        EVAC_START,
        EVAC_FINISH,
        DUTY,
        ROSTER,
        READ,
        JOB_SUBMIT,
        JOB_GET,
        JOB_LIST,
        JOB_RESULT,
        JOB_CONFIRM,
        JOB_CANCEL,
        JOB_START,
        JOB_KEEP,
        JOB_DONE,
        JOB_BACK,
        JOB_CLOCK,
        SCALE,
        PLACE,
        ROSTER_OUT,
        LEAVE;

        /** What an edge may ask for as the holder of a duty. */
        public boolean ofRunner() {
            return this == JOB_START
                    || this == JOB_KEEP
                    || this == JOB_DONE
                    || this == JOB_BACK
                    || this == SCALE;
        }

        /** What changes the placement, and is judged by what runs at the moment of the write. */
        public boolean ofPlacement() {
            return this == SCALE || this == PLACE;
        }

        boolean ofJobs() {
            return name().startsWith("JOB_");
        }
    }

    /**
     * A change asked for: the act, the base it builds on, a subject (zone, duty key or member) and
     * a body. The version tells copies that come late: of an operator's order the version it was
     * accepted on, of a scaler's order its number under the grant, of a word about a job the number
     * of its run.
     */
    public static final class Change {
        /** The version of an order that no daemon has accepted yet; it is never the current one. */
        public static final long NOT_ACCEPTED = -1;

        public final Act act;
        public final long base;
        public final String subject;
        public final String body;
        public final long atUs;
        public final String survey;
        public final long version;

        public Change(Act a, long base, String subject, String body) {
            this(a, base, subject, body, 0, "", NOT_ACCEPTED);
        }

        private Change(
                Act a, long base, String subject, String body, long at, String s, long version) {
            act = a;
            atUs = at;
            survey = s;
            this.version = version;
            this.base = base;
            this.subject = subject;
            this.body = body;
        }

        /** The same, stamped by the head with the job clock. */
        public Change stamped(long at) {
            return new Change(act, base, subject, body, at, survey, version);
        }

        /**
         * The same, with what runs where as the head sees it at this moment: every member decides
         * by the same words.
         */
        public Change surveyed(String s) {
            return new Change(act, base, subject, body, atUs, s, version);
        }

        /** The same, with the version that tells it from a late copy. */
        public Change versioned(long v) {
            return new Change(act, base, subject, body, atUs, survey, v);
        }

        public void write(RecordWriter o) {
            o.u8(act.ordinal())
                    .i64(base)
                    .text(subject)
                    .text(body)
                    .i64(atUs)
                    .text(survey)
                    .i64(version);
        }

        public static Change read(RecordReader in) {
            return new Change(
                    Act.values()[in.u8()],
                    in.i64(),
                    in.text(),
                    in.text(),
                    in.i64(),
                    in.text(),
                    in.i64());
        }
    }

    /**
     * What a change comes to: a status, a text for the caller, and the next state where there is
     * one.
     */
    public static final class Outcome {
        public final int status;
        public final String text;
        public final Optional<ClusterState> next;

        public Outcome(int s, String t, Optional<ClusterState> n) {
            status = s;
            text = t;
            next = n;
        }
    }

    private ClusterState(Draft d) {
        edition = d.edition;
        roster = List.copyOf(d.roster);
        revision = d.revision;
        json = d.json;
        routingText = d.routingText;
        applied = d.applied;
        evacuated = d.evacuated;
        duties = d.duties;
        jobTable = d.jobTable;
        scales = d.scales;
        versions = d.versions;
        departed = d.departed;
    }

    /** A state in the making: a copy of another in which single parts are replaced. */
    private static final class Draft {
        long edition;
        List<String> roster = List.of();
        long revision;
        String json = "";
        String routingText = "";
        AppliedChanges applied = AppliedChanges.EMPTY;
        Set<String> evacuated = Set.of();
        Map<String, Duty> duties = Map.of();
        JobTable jobTable = JobTable.EMPTY;
        Map<String, Scale> scales = Map.of();
        Map<String, Long> versions = Map.of();
        Set<String> departed = Set.of();

        void version(String key, long v) {
            versions = new TreeMap<>(versions);
            versions.put(key, v);
        }

        Outcome done(String text) {
            edition++;
            return new Outcome(200, text, Optional.of(new ClusterState(this)));
        }
    }

    private Draft draft() {
        var d = new Draft();
        d.edition = edition;
        d.roster = roster;
        d.revision = revision;
        d.json = json;
        d.routingText = routingText;
        d.applied = applied;
        d.evacuated = evacuated;
        d.duties = duties;
        d.jobTable = jobTable;
        d.scales = scales;
        d.versions = versions;
        d.departed = departed;
        return d;
    }

    public static ClusterState founded(List<String> roster) {
        var d = new Draft();
        d.roster = roster;
        return new ClusterState(d);
    }

    public byte[] bytes() {
        var o =
                new RecordWriter()
                        .i64(edition)
                        .texts(roster)
                        .i64(revision)
                        .text(json)
                        .text(routingText);
        applied.write(o);
        o.texts(evacuated);
        o.list(
                duties.entrySet(),
                (w, x) -> w.text(x.getKey()).i64(x.getValue().grant).text(x.getValue().holder));
        jobTable.write(o);
        o.list(scales.entrySet(), (w, x) -> x.getValue().write(w.text(x.getKey())));
        o.list(versions.entrySet(), (w, x) -> w.text(x.getKey()).i64(x.getValue()));
        return o.texts(departed).bytes();
    }

    public static ClusterState of(byte[] b) {
        var in = new RecordReader(b, false);
        var d = new Draft();
        d.edition = in.i64();
        d.roster = in.texts();
        d.revision = in.i64();
        d.json = in.text();
        d.routingText = in.text();
        d.applied = AppliedChanges.read(in);
        d.evacuated = new TreeSet<>(in.texts());
        var duties = new TreeMap<String, Duty>();
        in.list(x -> duties.put(x.text(), new Duty(x.i64(), x.text())));
        d.duties = duties;
        d.jobTable = JobTable.read(in);
        var scales = new TreeMap<String, Scale>();
        in.list(x -> scales.put(x.text(), Scale.read(x)));
        d.scales = scales;
        var versions = new TreeMap<String, Long>();
        in.list(x -> versions.put(x.text(), x.i64()));
        d.versions = versions;
        d.departed = new TreeSet<>(in.texts());
        return new ClusterState(d);
    }

    /**
     * The order as accepted by a daemon that has committed this state: it carries the version of
     * what it changes. Whatever is no order of the operator stays as it is.
     */
    public Change accepted(Change c) {
        return switch (c.act) {
            case EVAC_START, EVAC_FINISH -> c.versioned(version(EVACUATION + c.subject));
            case PLACE -> c.versioned(version(PLACEMENT + c.subject));
            default -> c;
        };
    }

    /** Whether a newer grant of this duty is known than that of the one who speaks. */
    public boolean overtaken(String duty, long grant) {
        return Optional.ofNullable(duties.get(duty)).filter(d -> d.grant > grant).isPresent();
    }

    private long version(String key) {
        return versions.getOrDefault(key, 0L);
    }

    private static Outcome refused(int status, String why) {
        return new Outcome(status, why, Optional.empty());
    }

    private static Outcome stale(Change c) {
        return refused(
                STALE_ORDER,
                "the order was overtaken by another of '" + c.subject + "', nothing was done");
    }

    public Outcome decide(Change c) {
        return switch (c.act) {
            case READ -> new Outcome(revision == 0 ? 404 : 200, json, Optional.empty());
            case REPLACE, UPDATE -> configuration(c);
            case EVAC_START -> evacuate(c, true);
            case EVAC_FINISH -> evacuate(c, false);
            case DUTY -> duty(c);
            case ROSTER -> enrol(c.subject);
            case ROSTER_OUT -> strike(c.subject);
            case LEAVE -> depart(c.subject);
            case SCALE -> scale(c);
            case PLACE -> place(c);
            default -> job(c);
        };
    }

    private Outcome job(Change c) {
        var s = jobTable.decide(c, duties);
        return s.next()
                .map(
                        b -> {
                            var d = draft();
                            d.jobTable = b;
                            return d.done(s.text());
                        })
                .orElseGet(() -> refused(s.status(), s.text()));
    }

    /**
     * A change that was applied is acknowledged again, whatever came after it; the base and the act
     * are part of it.
     */
    private Outcome configuration(Change c) {
        var digest = digest(c);
        if (applied.contains(digest)) {
            return new Outcome(200, "", Optional.empty());
        }
        try {
            var rev = Configurations.revisionOf(c.body);
            if (c.base != revision) {
                return refused(412, "revision " + revision + " is in place");
            }
            var s =
                    c.act == Act.REPLACE
                            ? Configurations.replace(c.body)
                            : Configurations.update(json, c.body);
            if (rev <= revision) {
                return refused(400, "Revision: " + rev + " is not above " + revision);
            }
            var d = draft();
            d.revision = s.revision();
            d.json = s.json();
            d.routingText = s.routingText();
            d.applied = applied.with(digest);
            return d.done("");
        } catch (MartenloomException f) {
            return refused(400, f.getMessage());
        } catch (RuntimeException e) {
            return refused(
                    400, "the configuration cannot be read: " + e.getClass().getSimpleName());
        }
    }

    /**
     * Starts or finishes the evacuation of a zone. An order that finds its wish fulfilled is
     * acknowledged, and counts all the same: a copy of the opposite order that was accepted before
     * and is still on its way must not act afterwards.
     */
    private Outcome evacuate(Change c, boolean on) {
        var key = EVACUATION + c.subject;
        var fulfilled = evacuated.contains(c.subject) == on;
        if (!fulfilled && c.version != version(key)) {
            return stale(c);
        }
        var d = draft();
        d.version(key, version(key) + 1);
        d.evacuated = new TreeSet<>(evacuated);
        if (on) {
            d.evacuated.add(c.subject);
        } else {
            d.evacuated.remove(c.subject);
        }
        return d.done("");
    }

    /**
     * Grants a duty to a holder, as the successor of the grant that the change names as its base.
     * The pair of holder and base identifies the attempt: the same again yields the same grant and
     * writes nothing, and one whose base is no longer the newest grant is refused.
     */
    private Outcome duty(Change c) {
        var held = duties.getOrDefault(c.subject, new Duty(0, ""));
        if (held.grant == c.base + 1 && held.holder.equals(c.body)) {
            return new Outcome(200, String.valueOf(held.grant), Optional.empty());
        }
        if (held.grant != c.base) {
            return refused(
                    409,
                    "fence: grant "
                            + c.base
                            + " of "
                            + c.subject
                            + " is not the newest, "
                            + held.grant
                            + " is");
        }
        var d = draft();
        d.duties = new TreeMap<>(duties);
        d.duties.put(c.subject, new Duty(held.grant + 1, c.body));
        return d.done(String.valueOf(held.grant + 1));
    }

    /**
     * Adds a member to the roster; one that had left in order and is back counts as present again.
     */
    private Outcome enrol(String member) {
        if (roster.contains(member) && !departed.contains(member)) {
            return new Outcome(200, "", Optional.empty());
        }
        var d = draft();
        var members = new LinkedHashSet<>(roster);
        members.add(member);
        d.roster = List.copyOf(members);
        d.departed = without(departed, member);
        return d.done("");
    }

    private Outcome strike(String member) {
        if (!roster.contains(member)) {
            return new Outcome(200, "", Optional.empty());
        }
        var d = draft();
        var members = new ArrayList<>(roster);
        members.remove(member);
        d.roster = members;
        d.departed = without(departed, member);
        return d.done("");
    }

    /**
     * Notes that a member leaves in order. It keeps its place in the roster until the place is
     * needed for a successor or for the majority of those that stay, so that a mere restart costs
     * no change of the roster.
     */
    private Outcome depart(String member) {
        if (!roster.contains(member) || departed.contains(member)) {
            return new Outcome(200, "", Optional.empty());
        }
        var d = draft();
        d.departed = new TreeSet<>(departed);
        d.departed.add(member);
        return d.done("");
    }

    private static Set<String> without(Set<String> members, String member) {
        var rest = new TreeSet<>(members);
        rest.remove(member);
        return rest;
    }

    // ---- placement

    /**
     * The scaler's order, under the grant of its duty: how many are desired, then who rests, one a
     * line. Its number under the grant fences it too: an order that was overtaken by a later one of
     * the same scaler is refused.
     */
    private Outcome scale(Change c) {
        var g = c.subject.indexOf('/');
        var held =
                Optional.ofNullable(duties.get("scale/" + c.subject.substring(0, Math.max(0, g))));
        if (g < 1 || held.isEmpty() || held.get().grant != c.base) {
            return refused(
                    409, "fence: grant " + c.base + " of scale/" + c.subject + " is not in force");
        }
        if (!c.body.matches("all|\\d{1,6}(\\n[^\\n]+)*")) {
            return refused(400, "order: a count, or all, and then one replica a line are expected");
        }
        var order = (c.base << ORDER_BITS) + c.version;
        if (order < version(SCALING + c.subject)) {
            return refused(
                    409,
                    "fence: order "
                            + c.version
                            + " of "
                            + c.subject
                            + " was overtaken by a later one");
        }
        if (pinned(c.subject)) {
            return refused(409, "pinned: " + c.subject + " is unloaded by the operator");
        }
        var wish = Optional.<Scale>empty();
        if (!c.body.equals("all")) {
            var lines = List.of(c.body.split("\n"));
            var resting = new TreeSet<>(lines.subList(1, lines.size()));
            wish = Optional.of(new Scale(Integer.parseInt(lines.get(0)), false, c.base, resting));
        }
        return placed(c, wish, SCALING + c.subject, order);
    }

    private boolean pinned(String subject) {
        return Optional.ofNullable(scales.get(subject)).filter(Scale::pinned).isPresent();
    }

    /**
     * The operator's order: a region's replicas of a model rest, or run again as the scaler says.
     * One that finds its wish fulfilled counts as an evacuation's does.
     */
    private Outcome place(Change c) {
        var key = PLACEMENT + c.subject;
        var unload = c.body.equals("unload");
        var fulfilled = pinned(c.subject) == unload;
        if (!fulfilled && c.version != version(key)) {
            return stale(c);
        }
        var held = Optional.ofNullable(scales.get(c.subject));
        var wish =
                fulfilled
                        ? held
                        : unload
                                ? Optional.of(new Scale(0, true, 0, Set.of()))
                                : Optional.<Scale>empty();
        return placed(c, wish, key, version(key) + 1);
    }

    private Outcome placed(Change c, Optional<Scale> wish, String versionKey, long version) {
        var d = draft();
        d.version(versionKey, version);
        if (Optional.ofNullable(scales.get(c.subject)).equals(wish)) {
            return d.done("");
        }
        var to = new TreeMap<>(scales);
        wish.ifPresentOrElse(x -> to.put(c.subject, x), () -> to.remove(c.subject));
        var t = RoutingLanguage.compile(routingText);
        var all = Placement.decode(c.survey);
        var bad = Placement.regressions(rested(all, t, scales), rested(all, t, to), t);
        if (!bad.isEmpty()) {
            return refused(
                    409, String.join("; ", bad.stream().map(PlacementFinding::text).toList()));
        }
        d.scales = to;
        return d.done("");
    }

    /** What runs when those that rest by these orders are taken away. */
    public static Placement rested(Placement all, RouteTable t, Map<String, Scale> scales) {
        var p = all;
        for (var e : scales.entrySet()) {
            var g = e.getKey().indexOf('/');
            var model = e.getKey().substring(g + 1);
            p =
                    p.without(
                            t.services().values().stream()
                                    .filter(s -> s.inferenceEngine() && s.model().equals(model))
                                    .toList(),
                            e.getKey().substring(0, g),
                            e.getValue().pinned,
                            e.getValue().resting);
        }
        return p;
    }

    private static byte[] digest(Change c) {
        var whole = sha256(c.act + " " + c.base + "\n", c.body.getBytes(StandardCharsets.UTF_8));
        return Arrays.copyOf(whole, AppliedChanges.DIGEST_BYTES);
    }

    public static String sha(String head, byte[] body) {
        return HexFormat.of().formatHex(sha256(head, body));
    }

    private static byte[] sha256(String head, byte[] body) {
        try {
            var md = MessageDigest.getInstance("SHA-256");
            md.update(head.getBytes(StandardCharsets.UTF_8));
            return md.digest(body);
        } catch (NoSuchAlgorithmException e) {
            throw new InvalidConfigurationException(
                    "digest configuration", "SHA-256 is not to be had");
        }
    }
}
