package martenloom.core.state;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import martenloom.common.codec.Codec;
import martenloom.common.error.Fault;
import martenloom.routing.configuration.Configurations;
import martenloom.routing.language.RoutingLanguage;
import martenloom.routing.placement.Placement;
import martenloom.routing.route.RouteTable;

/**
 * What the core keeps: the configuration as sent and in the routing language, the evacuations, the
 * duty grants, and the roster of core members. A state is immutable and carries its edition;
 * decide() is the only way from one state to the next, and says by status what the caller is to be
 * told.
 */
public final class CoreState {
    private static final int HISTORY = 64;

    /** The base of a LEAVE that may wait for another member to come back. */
    public static final long LEAVE_SOON = 0;

    /** The base of a LEAVE whose sender will end soon in any case. */
    public static final long LEAVE_NOW = 1;

    public final long edition;
    public final List<String> roster;
    public final long revision;
    public final String json;
    public final String routingText;
    public final Map<Long, String> history;
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
     * How many replicas of a model a region is to have, and which of them rest. Pinned by the
     * operator: all rest.
     */
    public record Scale(int desired, boolean pinned, long grant, Set<String> resting) {
        private void write(Codec.Out o) {
            o.i32(desired).flag(pinned).i64(grant).texts(resting);
        }

        private static Scale read(Codec.In in) {
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
     * a body.
     */
    public static final class Change {
        public final Act act;
        public final long base;
        public final String subject;
        public final String body;
        public final long atUs;
        public final String survey;

        public Change(Act a, long base, String subject, String body) {
            this(a, base, subject, body, 0, "");
        }

        private Change(Act a, long base, String subject, String body, long at, String s) {
            act = a;
            atUs = at;
            survey = s;
            this.base = base;
            this.subject = subject;
            this.body = body;
        }

        /** The same, stamped by the head with the job clock. */
        public Change stamped(long at) {
            return new Change(act, base, subject, body, at, survey);
        }

        /**
         * The same, with what runs where as the head sees it at this moment: every member decides
         * by the same words.
         */
        public Change surveyed(String s) {
            return new Change(act, base, subject, body, atUs, s);
        }

        public void write(Codec.Out o) {
            o.u8(act.ordinal()).i64(base).text(subject).text(body).i64(atUs).text(survey);
        }

        public static Change read(Codec.In in) {
            return new Change(
                    Act.values()[in.u8()], in.i64(), in.text(), in.text(), in.i64(), in.text());
        }
    }

    /**
     * What a change comes to: a status, a text for the caller, and the next state where there is
     * one.
     */
    public static final class Outcome {
        public final int status;
        public final String text;
        public final Optional<CoreState> next;

        public Outcome(int s, String t, Optional<CoreState> n) {
            status = s;
            text = t;
            next = n;
        }
    }

    private CoreState(
            long e,
            List<String> r,
            long rev,
            String j,
            String m,
            Map<Long, String> h,
            Set<String> ev,
            Map<String, Duty> d,
            JobTable b,
            Map<String, Scale> sc,
            Set<String> gone) {
        edition = e;
        roster = List.copyOf(r);
        revision = rev;
        json = j;
        routingText = m;
        history = h;
        evacuated = ev;
        duties = d;
        jobTable = b;
        scales = sc;
        departed = gone;
    }

    public static CoreState founded(List<String> roster) {
        return new CoreState(
                0,
                roster,
                0,
                "",
                "",
                Map.of(),
                Set.of(),
                Map.of(),
                JobTable.EMPTY,
                Map.of(),
                Set.of());
    }

    public byte[] bytes() {
        var o =
                new Codec.Out()
                        .i64(edition)
                        .texts(roster)
                        .i64(revision)
                        .text(json)
                        .text(routingText);
        o.list(history.entrySet(), (w, x) -> w.i64(x.getKey()).text(x.getValue()));
        o.texts(evacuated);
        o.list(
                duties.entrySet(),
                (w, x) -> w.text(x.getKey()).i64(x.getValue().grant).text(x.getValue().holder));
        jobTable.write(o);
        o.list(scales.entrySet(), (w, x) -> x.getValue().write(w.text(x.getKey())));
        return o.texts(departed).bytes();
    }

    public static CoreState of(byte[] b) {
        var in = new Codec.In(b, false);
        var e = in.i64();
        var r = in.texts();
        var rev = in.i64();
        var j = in.text();
        var m = in.text();
        var h = new LinkedHashMap<Long, String>();
        in.list(x -> h.put(x.i64(), x.text()));
        var ev = new TreeSet<>(in.texts());
        var d = new TreeMap<String, Duty>();
        in.list(x -> d.put(x.text(), new Duty(x.i64(), x.text())));
        var jb = JobTable.read(in);
        var sc = new TreeMap<String, Scale>();
        in.list(x -> sc.put(x.text(), Scale.read(x)));
        return new CoreState(e, r, rev, j, m, h, ev, d, jb, sc, new TreeSet<>(in.texts()));
    }

    private CoreState next(
            List<String> r,
            Set<String> ev,
            Map<String, Duty> d,
            JobTable b,
            Map<String, Scale> sc) {
        return new CoreState(
                edition + 1, r, revision, json, routingText, history, ev, d, b, sc, departed);
    }

    private CoreState withMembers(List<String> members, Set<String> gone) {
        return new CoreState(
                edition + 1,
                members,
                revision,
                json,
                routingText,
                history,
                evacuated,
                duties,
                jobTable,
                scales,
                gone);
    }

    public Outcome decide(Change c) {
        return switch (c.act) {
            case READ -> new Outcome(revision == 0 ? 404 : 200, json, Optional.empty());
            case REPLACE, UPDATE -> configuration(c);
            case EVAC_START -> evacuate(c.subject, true);
            case EVAC_FINISH -> evacuate(c.subject, false);
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
        return new Outcome(
                s.status(),
                s.text(),
                s.next().map(b -> next(roster, evacuated, duties, b, scales)));
    }

    private Outcome configuration(Change c) {
        var d = digest(c);
        try {
            var rev = Configurations.revisionOf(c.body);
            if (d.equals(history.get(rev))) {
                return new Outcome(200, "", Optional.empty());
            }
            if (c.base != revision) {
                return new Outcome(412, "revision " + revision + " is in place", Optional.empty());
            }
            var s =
                    c.act == Act.REPLACE
                            ? Configurations.replace(c.body)
                            : Configurations.update(json, c.body);
            if (rev <= revision) {
                return new Outcome(
                        400, "Revision: " + rev + " is not above " + revision, Optional.empty());
            }
            return new Outcome(200, "", Optional.of(withConfiguration(s, d)));
        } catch (Fault f) {
            return new Outcome(400, f.getMessage(), Optional.empty());
        } catch (RuntimeException e) {
            return new Outcome(
                    400,
                    "the configuration cannot be read: " + e.getClass().getSimpleName(),
                    Optional.empty());
        }
    }

    private CoreState withConfiguration(Configurations.Checked s, String d) {
        var h = new LinkedHashMap<>(history);
        h.put(s.revision, d);
        while (h.size() > HISTORY) {
            h.remove(h.keySet().iterator().next());
        }
        return new CoreState(
                edition + 1,
                roster,
                s.revision,
                s.json,
                s.routingText,
                h,
                evacuated,
                duties,
                jobTable,
                scales,
                departed);
    }

    private Outcome evacuate(String zone, boolean on) {
        if (evacuated.contains(zone) == on) {
            return new Outcome(200, "", Optional.empty());
        }
        var ev = new TreeSet<>(evacuated);
        if (on) {
            ev.add(zone);
        } else {
            ev.remove(zone);
        }
        return new Outcome(200, "", Optional.of(next(roster, ev, duties, jobTable, scales)));
    }

    private Outcome duty(Change c) {
        var d = new TreeMap<>(duties);
        var g = d.getOrDefault(c.subject, new Duty(0, "")).grant + 1;
        d.put(c.subject, new Duty(g, c.body));
        return new Outcome(
                200, String.valueOf(g), Optional.of(next(roster, evacuated, d, jobTable, scales)));
    }

    /**
     * Adds a member to the roster; one that had left in order and is back counts as present again.
     */
    private Outcome enrol(String member) {
        if (roster.contains(member) && !departed.contains(member)) {
            return new Outcome(200, "", Optional.empty());
        }
        var members = new LinkedHashSet<>(roster);
        members.add(member);
        return new Outcome(
                200, "", Optional.of(withMembers(List.copyOf(members), without(departed, member))));
    }

    private Outcome strike(String member) {
        if (!roster.contains(member)) {
            return new Outcome(200, "", Optional.empty());
        }
        var members = new ArrayList<>(roster);
        members.remove(member);
        return new Outcome(200, "", Optional.of(withMembers(members, without(departed, member))));
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
        var gone = new TreeSet<>(departed);
        gone.add(member);
        return new Outcome(200, "", Optional.of(withMembers(roster, gone)));
    }

    private static Set<String> without(Set<String> members, String member) {
        var rest = new TreeSet<>(members);
        rest.remove(member);
        return rest;
    }

    // ---- placement

    /**
     * The scaler's order, under the grant of its duty: how many are desired, then who rests, one a
     * line.
     */
    private Outcome scale(Change c) {
        var g = c.subject.indexOf('/');
        var d = Optional.ofNullable(duties.get("scale/" + c.subject.substring(0, Math.max(0, g))));
        if (g < 1 || d.isEmpty() || d.get().grant != c.base) {
            return new Outcome(
                    409,
                    "fence: grant " + c.base + " of scale/" + c.subject + " is not in force",
                    Optional.empty());
        }
        if (!c.body.matches("all|\\d{1,6}(\\n[^\\n]+)*")) {
            return new Outcome(
                    400,
                    "order: a count, or all, and then one replica a line are expected",
                    Optional.empty());
        }
        var l = c.body.split("\n");
        var held = Optional.ofNullable(scales.get(c.subject));
        if (held.isPresent() && held.get().pinned) {
            return new Outcome(
                    409, "pinned: " + c.subject + " is unloaded by the operator", Optional.empty());
        }
        if (c.body.equals("all")) {
            return placed(c, Optional.empty());
        }
        var rest = new TreeSet<>(List.of(l).subList(1, l.length));
        return placed(c, Optional.of(new Scale(Integer.parseInt(l[0]), false, c.base, rest)));
    }

    /**
     * The operator's order: a region's replicas of a model rest, or run again as the scaler says.
     */
    private Outcome place(Change c) {
        return placed(
                c,
                c.body.equals("unload")
                        ? Optional.of(new Scale(0, true, 0, Set.of()))
                        : Optional.empty());
    }

    private Outcome placed(Change c, Optional<Scale> s) {
        var held = Optional.ofNullable(scales.get(c.subject));
        if (held.equals(s)) {
            return new Outcome(200, "", Optional.empty());
        }
        var to = new TreeMap<>(scales);
        s.ifPresentOrElse(x -> to.put(c.subject, x), () -> to.remove(c.subject));
        var t = RoutingLanguage.compile(routingText);
        var all = Placement.of(c.survey);
        var bad = Placement.added(rested(all, t, scales), rested(all, t, to), t);
        if (!bad.isEmpty()) {
            return new Outcome(
                    409,
                    String.join("; ", bad.stream().map(Placement.Finding::text).toList()),
                    Optional.empty());
        }
        return new Outcome(200, "", Optional.of(next(roster, evacuated, duties, jobTable, to)));
    }

    /** What runs when those that rest by these orders are taken away. */
    public static Placement rested(Placement all, RouteTable t, Map<String, Scale> scales) {
        var p = all;
        for (var e : scales.entrySet()) {
            var g = e.getKey().indexOf('/');
            var model = e.getKey().substring(g + 1);
            p =
                    p.without(
                            t.services.values().stream()
                                    .filter(s -> s.engine && s.model.equals(model))
                                    .toList(),
                            e.getKey().substring(0, g),
                            e.getValue().pinned,
                            e.getValue().resting);
        }
        return p;
    }

    private static String digest(Change c) {
        return sha(c.act + " " + c.base + "\n", c.body.getBytes(StandardCharsets.UTF_8));
    }

    public static String sha(String head, byte[] body) {
        try {
            var md = MessageDigest.getInstance("SHA-256");
            md.update(head.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(md.digest(body));
        } catch (NoSuchAlgorithmException e) {
            throw Fault.here(
                    Fault.Code.CONFIGURATION, "digest configuration", "SHA-256 is not to be had");
        }
    }
}
