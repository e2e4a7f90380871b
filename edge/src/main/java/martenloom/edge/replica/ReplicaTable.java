package martenloom.edge.replica;

import it.unimi.dsi.fastutil.objects.Object2IntLinkedOpenHashMap;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import martenloom.common.clock.Clocks;
import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.log.RingLog;
import martenloom.common.settings.IpPort;
import martenloom.common.settings.Settings;
import martenloom.edge.dispatch.Attempt;
import martenloom.edge.dispatch.ReplicaConnection;
import martenloom.edge.dispatch.Request;
import martenloom.routing.route.Route;
import martenloom.routing.route.RouteTable;
import martenloom.routing.route.ServiceSpec;

/**
 * The replicas as this edge sees them, one slot a life: the registry's row, what our own attempts
 * and our peers' samples say of its load, which parts of prompts it keeps, how fast it was seen to
 * read, whether it is warm, and whether it answers at all. Predicts the time to a first token; the
 * choice itself is the dispatcher's.
 */
public final class ReplicaTable {
    private static final double FIRST_RATE = 25;
    public static final int PIECE = 4000;
    private static final int OWN_SAMPLES = 8;
    private static final long STRIKE_MEMORY_US = 10_000_000;
    private static final long STRIKE_APART_US = 500_000;
    private static final int MOST_STRIKES = 2;
    private static final long IDLE_LEAST_US = 200_000;
    private static final double MAX_EJECTED_SHARE = 0.4;
    private static final double FAR_US = 6_000;
    private static final long OTHERS_US = 1_500_000;
    private static final int MOST_ENDED = 4_096;

    /**
     * Replicas that were deregistered: no row of theirs counts again, not even from a home that has
     * not heard of it.
     */
    private final Map<String, Boolean> ended =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                    return size() > MOST_ENDED;
                }
            };

    /** What this edge knows of one life of a replica. */
    public static final class Slot {
        public ReplicaRecord row;
        public String region = "";
        public final InetSocketAddress address;
        public final ArrayDeque<ReplicaConnection> idle = new ArrayDeque<>();
        public final Set<Attempt> attempts = new LinkedHashSet<>();
        public int open;
        public int mine;
        public int unread;
        private int othersInHand;
        private int othersUnread;
        private int othersDoubts;
        private int othersHeard;

        /** Quiet for long enough to ask the others of the zone what they hear, not yet for more. */
        public boolean wondering;

        private int samples;
        private long othersAtUs;
        public double rate = FIRST_RATE;
        public double workUs = 30_000;
        public double rttUs = 1_000;

        /**
         * A little cost of this edge's own, so that edges prefer different replicas, and the same
         * ones as before, while all have room.
         */
        public double farUs;

        public long heardUs;
        public long quietSinceUs;
        public long suspectUntilUs;
        public boolean doubtful;
        public long coldFloorUs;
        public long fullUntilUs;
        public final ReplicaHealth health = new ReplicaHealth();

        /** Unloaded: it gets no new prompts and finishes what it has. */
        public boolean resting;

        private int strikes;
        private long heldAtUs;
        private long idleTrustUs = Long.MAX_VALUE / 10;
        private final ArrayDeque<Long> coldSends = new ArrayDeque<>();
        private final Object2IntLinkedOpenHashMap<String> kept =
                new Object2IntLinkedOpenHashMap<>();
        private long keptTokens;

        private Slot(ReplicaRecord r) {
            row = r;
            address = IpPort.parse("Address", r.address());
        }

        /**
         * What the other edges have here, by the last sums that came; sums too old to be of use
         * count as nothing.
         */
        public void others(int inHand, int unread, int doubts, int heard, long now) {
            othersInHand = Math.max(0, inHand);
            othersUnread = Math.max(0, unread);
            othersDoubts = doubts;
            othersHeard = heard;
            othersAtUs = now;
        }

        public int othersInHand(long now) {
            return now - othersAtUs < OTHERS_US ? othersInHand : 0;
        }

        public int othersUnread(long now) {
            return now - othersAtUs < OTHERS_US ? othersUnread : 0;
        }

        /**
         * Others of our zone, by the last sums, heard it though somebody wonders: it is busy with
         * them, not gone.
         */
        public boolean othersHear(long now) {
            return othersHeard > 0 && now - othersAtUs < 700_000;
        }

        public boolean othersDoubt(long now) {
            return othersDoubts > 0
                    && othersHeard <= 0
                    && now - othersAtUs < 700_000
                    && now - heardUs > 300_000;
        }

        /**
         * Holds off a replica that could not be reached. One that is so by turns is held off for
         * twice as long each time, up to four times. One that is only quiet may be busy, and is not
         * held off longer for that.
         */
        public void hold(long baseUs, long now) {
            var since = now - heldAtUs;
            strikes =
                    heldAtUs == 0 || since > STRIKE_MEMORY_US
                            ? 0
                            : since > STRIKE_APART_US
                                    ? Math.min(MOST_STRIKES, strikes + 1)
                                    : strikes;
            heldAtUs = now;
            suspectUntilUs = Math.max(suspectUntilUs, now + (baseUs << strikes));
            doubtful = true;
        }

        /**
         * A connection that had been idle for so long was reset when it was used again: this
         * replica forgets sooner.
         */
        public void forgot(long idleUs) {
            idleTrustUs = Math.max(IDLE_LEAST_US, Math.min(idleTrustUs, idleUs * 6 / 10));
        }

        public long idleTrustUs() {
            return idleTrustUs;
        }

        public boolean warm(long now) {
            return now >= Math.max(row.warmFromUs(), coldFloorUs);
        }

        public int coldSends(long now) {
            while (!coldSends.isEmpty() && now - coldSends.peekFirst() > 1_050_000) {
                coldSends.pollFirst();
            }
            return coldSends.size();
        }

        /**
         * Attempts that are on their way but not sent: they will count against a cold replica's
         * limit too.
         */
        public int opening() {
            var n = 0;
            for (var l : attempts) {
                n += l.state() == Attempt.State.OPENING ? 1 : 0;
            }
            return n;
        }

        public void sentAt(long now) {
            coldSends.addLast(now);
            while (coldSends.size() > 256) {
                coldSends.pollFirst();
            }
        }

        /** Tokens of this request that the replica would have to read. */
        public int unread(Request e, boolean assumeShared) {
            if (e.sizes.isEmpty()) {
                return e.promptTokens;
            }
            var n = 0;
            var all = true;
            for (var i = 0; i < e.sizes.size(); i++) {
                all =
                        all
                                && (kept.containsKey(e.parts.get(i))
                                        || assumeShared && i + 1 < e.sizes.size());
                n += all ? 0 : e.sizes.get(i);
            }
            return Math.max(n, 1);
        }

        public void keep(Request e, long most) {
            for (var i = 0; i < e.sizes.size(); i++) {
                var p = e.parts.get(i);
                if (kept.containsKey(p)) {
                    kept.getAndMoveToLast(p);
                } else {
                    kept.putAndMoveToLast(p, e.sizes.get(i));
                    keptTokens += e.sizes.get(i);
                }
            }
            while (!kept.isEmpty() && (keptTokens > most * 0.7 || kept.size() > 4096)) {
                keptTokens -= kept.removeFirstInt();
            }
        }

        public long keptTokens() {
            return keptTokens;
        }

        public boolean has(String part) {
            return kept.containsKey(part);
        }
    }

    /** Sends a second that a home lent at one cold replica. */
    public record Leased(String replica, int n) {}

    private record ColdSendLease(long untilUs, Map<String, Integer> n) {}

    private static final long OPENING_US = 500_000;
    private static final int MOST_COLD = 128;
    private final Map<String, ColdSendLease> leases = new HashMap<>();

    /** Takes what a home lent, in place of what it lent before, until a moment on our clock. */
    public void lent(String home, long untilUs, Collection<Leased> l) {
        var m = new HashMap<String, Integer>();
        l.forEach(x -> m.put(x.replica, x.n));
        leases.put(home, new ColdSendLease(untilUs - OPENING_US, m));
    }

    /**
     * Sends a second that this edge may make at a cold replica; a attempt chosen now may be sent up
     * to half a second later.
     */
    public int coldShare(String replica, long now) {
        var n = 0;
        for (var l : leases.values()) {
            n += now < l.untilUs ? l.n.getOrDefault(replica, 0) : 0;
        }
        return n;
    }

    /** The cold replicas of a region, of services that bound what one may get. */
    public List<String> coldIn(String region, RouteTable t, long now) {
        var l = new ArrayList<String>();
        for (var s : slots.values()) {
            var svc = t.services().get(s.row.service());
            if (svc != null
                    && svc.warmupRequestsPerS() > 0
                    && s.region.equals(region)
                    && !s.warm(now)
                    && !s.row.draining()
                    && l.size() < MOST_COLD) {
                l.add(s.row.id());
            }
        }
        return l;
    }

    private final Map<String, Slot> slots = new HashMap<>();
    private final Map<String, List<Slot>> byService = new HashMap<>();
    private final Settings settings;

    public ReplicaTable(Settings p) {
        settings = p;
    }

    private final Map<String, Double> rates = new HashMap<>();
    private final Map<String, Double> usual = new HashMap<>();

    /**
     * Takes a sample of tokens read a millisecond. What others may have brought is not counted, so
     * a sample errs low: it pulls up faster than down. An edge among many sees each replica seldom,
     * so a replica's rate is that of its service until it has been seen some times itself.
     */
    public void learnRate(Slot s, double r) {
        var v = rates.getOrDefault(s.row.service(), FIRST_RATE);
        v += (r - v) * (r > v ? 0.1 : 0.015);
        rates.put(s.row.service(), v);
        s.samples++;
        s.rate += (r - s.rate) * (r > s.rate ? 0.2 : 0.03);
        for (var x : of(s.row.service())) {
            x.rate = x.samples < OWN_SAMPLES ? v : x.rate;
        }
    }

    /** The usual size of a route's prompts, in tokens. */
    public double usual(Route r) {
        return usual.getOrDefault(r.name(), 0.0);
    }

    public void weigh(Request e) {
        var u = usual.getOrDefault(e.route.name(), (double) e.promptTokens);
        usual.put(e.route.name(), u + (e.promptTokens - u) * 0.05);
    }

    /**
     * Puts a replica aside when the answers of all edges or those of our zone alone speak against
     * it, but no more than a part of the replicas of its service and region, and so never all of
     * them.
     */
    public void judge(Slot s, int ok, int bad, int zoneOk, int zoneBad, long now) {
        if (!s.health.judge(ok, bad, now) && !s.health.judge(zoneOk, zoneBad, now)) {
            return;
        }
        var peers = 0;
        var ejected = 0;
        for (var x : of(s.row.service())) {
            if (x.region.equals(s.region) && !x.row.draining() && !x.row.unreachable()) {
                peers++;
                ejected += x.health.state(now) == ReplicaHealth.State.ASIDE ? 1 : 0;
            }
        }
        if ((ejected + 1) > peers * MAX_EJECTED_SHARE) {
            return;
        }
        s.health.eject(now);
        RingLog.debug(
                "replica "
                        + s.row.id()
                        + " is ejected: "
                        + bad
                        + " of "
                        + (ok + bad)
                        + " failed, in our zone "
                        + zoneBad
                        + " of "
                        + (zoneOk + zoneBad));
    }

    public Collection<Slot> all() {
        return slots.values();
    }

    public Optional<Slot> slot(String id) {
        return Optional.ofNullable(slots.get(id));
    }

    public List<Slot> of(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /**
     * Takes a row; gives the slot when it is now gone, so that what is in its hands can be looked
     * after.
     */
    public void take(ReplicaRecord r) {
        if (r.ended()) {
            ended.put(r.id(), true);
        } else if (ended.containsKey(r.id())) {
            return;
        }
        var s = slots.get(r.id());
        if (s == null) {
            if (r.ended()) {
                return;
            }
            s = new Slot(r);
            s.region = settings.regionOf(r.zone());
            s.farUs =
                    Math.floorMod(
                                    (settings.ipAddress() + r.id()).hashCode() * 0x9E3779B9 >>> 8,
                                    1000)
                            * FAR_US
                            / 1000;
            s.rate = rates.getOrDefault(r.service(), FIRST_RATE);
            s.heardUs = Clocks.nowUs();
            slots.put(r.id(), s);
            byService.computeIfAbsent(r.service(), k -> new ArrayList<>()).add(s);
            return;
        }
        if (r.sequence() >= s.row.sequence() || r.ended()) {
            var g = s.row.ended();
            s.row = r;
            s.row.setEnded(s.row.ended() | g);
        }
        if (s.row.ended()) {
            drop(s);
        }
    }

    public void drop(Slot s) {
        s.row.setEnded(true);
        slots.remove(s.row.id());
        byService.getOrDefault(s.row.service(), new ArrayList<>()).remove(s);
        List.copyOf(s.idle).forEach(ReplicaConnection::close);
    }

    public int digest() {
        var d = 0;
        for (var s : slots.values()) {
            d += s.row.ended() ? 0 : s.row.digest();
        }
        return d;
    }

    /**
     * Predicted time from now to the first token (or the whole answer, for a plain service), in
     * microseconds.
     */
    public double predict(Slot s, ServiceSpec svc, Request e, boolean assumeShared, long now) {
        var in = s.mine + s.othersInHand(now);
        var cap = Math.max(1, s.row.capacity());
        if (!svc.inferenceEngine()) {
            var wait = in < cap ? 0 : (in - cap + 1.0) / cap * s.workUs;
            return s.rttUs + s.workUs + wait + in * s.workUs * 0.05;
        }
        var wait = s.unread + s.othersUnread(now);
        var ahead = e.route.priority() == 0 ? Math.min(wait, PIECE) + wait * 0.15 : wait;
        var read = Math.min(s.unread(e, assumeShared), Math.max(2 * usual(e.route), PIECE));
        var t = s.rttUs + 20_000 + (ahead + read) / s.rate * 1000 + in * 700.0;
        return in < cap ? t : t + (in - cap + 1) * 15_000.0;
    }
}
