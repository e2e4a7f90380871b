package martenloom.core.chain;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.stream.Stream;
import martenloom.common.codec.Codec;
import martenloom.core.state.CoreState;

/**
 * The chain and its view, as one owner of events that answers with commands; it does no input or
 * output and reads no clock. Every member keeps a member state on disk: the highest view it has
 * promised to, the view in which it last accepted a state, and that state. A view is named by a
 * ballot and is agreed when a majority of the roster has promised it; the one who asked then heads
 * a chain of exactly those who promised, passes the newest state found among them down it, and the
 * tail's answer makes the view active. Writes go the same way, one at a time: each member syncs,
 * the tail acknowledges. Since every member of the chain syncs each write and a chain holds a
 * majority, any later view finds it. A member with a wiped disk promises nothing; it comes back as
 * a learner of a new view, under a number drawn at its start, so that nothing meant for its former
 * life can reach it. See docs/design.md for the argument.
 */
public final class ChainCore {
    public static final int PREPARE = 1;
    public static final int PROMISE = 2;
    public static final int PASS = 3;
    public static final int PASS_ACK = 4;
    public static final int NACK = 5;
    public static final int HEARTBEAT = 6;
    public static final int HEARTBEAT_ACK = 7;
    public static final int NEWS = 8;
    public static final int HERE = 9;
    public static final int PULL = 10;
    public static final int SNAPSHOT = 11;
    public static final int STEP = 12;
    public static final int HANDOVER = 13;

    /** The highest type of a record of the chain; higher numbers belong to others. */
    public static final int LAST_TYPE = HANDOVER;

    private static final long HEARTBEAT_US = 200_000;
    private static final long SILENT_US = 900_000;
    private static final long CONTENT_US = 600_000;
    private static final long RANK_US = 250_000;
    private static final long GATHER_US = 200_000;
    private static final long ASK_AGAIN_US = 150_000;
    private static final long BID_US = 1_200_000;
    private static final long SICK_DISK_US = 800_000;
    private static final long RESEND_US = 400_000;
    private static final long PULL_US = 1_000_000;
    private static final long SETTLE_US = 1_000_000;
    private static final int QUEUE = 256;

    /** The number of an order that the head gives itself. */
    private static final long OWN_ASK = -1;

    /** So long someone outside the chain is heard before a new view is begun for it. */
    private static final long HEARD_US = 300_000;

    private static final long MISSING_US = 1_000_000;
    private static final long DEPARTED_US = 10_000_000;
    private static final long LEAVER_EXPIRES_US = 3_000_000;
    private static final long LEAVE_SETTLE_US = 500_000;
    private static final long LEAVER_BIDS_LATER_US = 1_200_000;
    private static final long NEWCOMERS_JOIN_US = 2_500_000;

    /**
     * A member of an odd roster that was missed for so long, by one head all the time, is taken off
     * though nobody replaced it.
     */
    public static final long GONE_US = 120_000_000;

    /**
     * A member that has had no proof of a majority for longer than this neither hands out what it
     * knows as current nor passes orders on. See docs/control-safety.md for the derivation.
     */
    public static final long STALE_US = 1_500_000;

    /** A view's name; the higher number wins, then the address. */
    public record Ballot(long n, String who) implements Comparable<Ballot> {
        public static final Ballot ZERO = new Ballot(0, "");

        @Override
        public int compareTo(Ballot o) {
            return n != o.n ? Long.compare(n, o.n) : who.compareTo(o.who);
        }

        void write(Codec.Out o) {
            o.i64(n).text(who);
        }

        static Ballot read(Codec.In in) {
            return new Ballot(in.i64(), in.text());
        }
    }

    /** What a member keeps on disk. */
    public static final class MemberState {
        public final Ballot promised;
        public final Ballot accepted;
        public final CoreState state;

        public MemberState(Ballot p, Ballot a, CoreState s) {
            promised = p;
            accepted = a;
            state = s;
        }

        public byte[] bytes() {
            var o = new Codec.Out();
            promised.write(o);
            accepted.write(o);
            return o.blob(state.bytes()).bytes();
        }

        public static MemberState of(byte[] b) {
            var in = new Codec.In(b, false);
            return new MemberState(Ballot.read(in), Ballot.read(in), CoreState.of(in.blob()));
        }
    }

    /** What this member is doing; exactly one at any time. */
    public enum Mode {
        LEARNING,
        IDLE,
        BIDDING,
        STARTING,
        HEADING,
        FOLLOWING
    }

    /** What the owner of a chain member has to carry out, in the order given. */
    public sealed interface Command permits Send, Store, Answer, Committed {}

    /** Send a record to another member; it may be lost. */
    public record Send(String to, byte[] record) implements Command {}

    /** Make the state durable, then call onStored with the token. */
    public record Store(long token, MemberState memberState) implements Command {}

    /** Answer a request that onAsk was called with; the status is one of HTTP. */
    public record Answer(long request, int status, String text) implements Command {}

    /** A newer state is known to be committed. */
    public record Committed(CoreState state) implements Command {}

    private record Asked(long request, CoreState.Change change) {}

    /** An answer that writes nothing, until the heartbeat that proves this head is back. */
    private record Unproven(long request, CoreState.Outcome outcome, long barrier) {}

    private record Vote(Ballot accepted, long edition, Optional<CoreState> state) {}

    private static final class Bid {
        final Ballot b;
        final long startUs;
        long askedUs;
        long majorityUs;
        final Map<String, Vote> yes = new TreeMap<>();
        final Map<String, Long> learners = new TreeMap<>();
        final Set<String> asked = new TreeSet<>();

        /** Who is to join beside the roster, as the bidder knew at its start. */
        final Set<String> candidates = new TreeSet<>();

        /** Who promised, but is about to end. */
        final Set<String> leaving = new TreeSet<>();

        /**
         * The view whose head told this bidder to take over, so that its members need not be silent
         * first.
         */
        Ballot released = Ballot.ZERO;

        Bid(Ballot b, long now) {
            this.b = b;
            startUs = now;
        }
    }

    private static final class Seen {
        long firstUs;
        long lastUs;
    }

    private final String me;
    private final long nonce;
    private final Comparator<String> near;
    private final List<Command> out = new ArrayList<>();
    private final Deque<Runnable> deferred = new ArrayDeque<>();
    private final Deque<Asked> queue = new ArrayDeque<>();
    private final Map<String, Seen> outside = new TreeMap<>();
    private Mode mode;
    private MemberState memberState;
    private Optional<MemberState> storing = Optional.empty();
    private Runnable afterStore = () -> {};
    private long storeToken;
    private long storeSinceUs;
    private long now;
    private Ballot view = Ballot.ZERO;
    private List<String> chain = List.of();
    private Map<String, Long> learners = Map.of();
    private Bid bid = new Bid(Ballot.ZERO, 0);
    private long topN;
    private long quietUntil;
    private long bids;
    private long heardUs;
    private long toldUs;
    private long clockSinceUs;
    private long awayUs;
    private Optional<CoreState.Change> delta = Optional.empty();
    private long viewSinceUs;
    private long heartbeatN;
    private long heartbeatAckN;
    private long heartbeatAckUs;
    private long heartbeatSentUs;
    private long provenUs;
    private final long[] sentAt = new long[64];
    private long passSentUs;
    private CoreState committed;
    private Optional<Asked> inWork = Optional.empty();
    private final Deque<Unproven> unproven = new ArrayDeque<>();
    private String headSeen = "";
    private List<String> chainSeen = List.of();
    private long newsSentUs;
    private boolean leaving;
    private boolean released;
    private long leavingSinceUs;
    private Ballot handedOver = Ballot.ZERO;
    private long handOverSentUs;
    private long pulledUs;
    private long formedUs;

    /**
     * The view in which the state that opens this one was accepted, and who promised with just that
     * state.
     */
    private Ballot basis = Ballot.ZERO;

    private List<String> holders = List.of();
    private final Map<String, Long> leavers = new TreeMap<>();
    private long leaverSinceUs;

    public ChainCore(
            String me, long nonce, Optional<MemberState> disk, Comparator<String> near, long now) {
        this.me = me;
        this.nonce = nonce;
        this.near = near;
        this.now = now;
        mode = disk.isPresent() ? Mode.IDLE : Mode.LEARNING;
        memberState =
                disk.orElse(
                        new MemberState(Ballot.ZERO, Ballot.ZERO, CoreState.founded(List.of())));
        committed = CoreState.founded(memberState.state.roster);
        topN = memberState.promised.n;
        clockSinceUs = now;
        heardUs = now - SILENT_US;
        pulledUs = now - PULL_US;
        quietUntil = now + 150_000;
    }

    // ---- what others may look at

    public Mode mode() {
        return mode;
    }

    public CoreState committed() {
        return committed;
    }

    public MemberState memberState() {
        return memberState;
    }

    public List<String> chain() {
        return mode == Mode.HEADING ? chain : chainSeen;
    }

    public Ballot view() {
        return view;
    }

    public String head() {
        return mode == Mode.HEADING ? me : headSeen;
    }

    /** The job clock: goes on from what the state says, by this member's own steady clock. */
    public long jobClockUs(long t) {
        return memberState.state.jobTable.clockUs + Math.max(0, t - clockSinceUs) + awayUs;
    }

    /** Told at a start: how long this member was away, as far as is known. */
    public void onAway(long us) {
        awayUs = us;
    }

    public boolean heading() {
        return mode == Mode.HEADING;
    }

    public long headingSinceUs() {
        return viewSinceUs;
    }

    /**
     * Time since the newest moment at which a majority is known to have held together: the sending
     * of the newest heartbeat that ran the whole chain, as the head knows it, or as it told its
     * followers with the age that it had then.
     */
    public long staleUs(long t) {
        return t - (mode == Mode.HEADING ? provenUs : toldUs);
    }

    /** Whether what this member knows may be handed out as current. */
    public boolean fresh(long t) {
        return staleUs(t) <= STALE_US;
    }

    // ---- leaving in order

    /**
     * The process is about to end: from now on this member takes part only where its promise is
     * needed. The owner hands the change LEAVE with this member as its subject to the head, again
     * and again, until released() holds.
     */
    public void onLeave(long t) {
        now = Math.max(now, t);
        leaving = true;
        leavingSinceUs = now;
    }

    /**
     * Whether this member may end once its order to leave was taken: a chain without it is known to
     * have accepted all that was acknowledged. That ceases to hold when another view is begun with
     * this member's promise, which may need it. If all members of the roster leave, nobody is
     * waited for, once newcomers have had the time to join.
     */
    public boolean released(long t) {
        var nobodyStays = committed.edition > 0 && committed.departed.containsAll(committed.roster);
        return released
                || mode == Mode.LEARNING
                || nobodyStays && t - leavingSinceUs > NEWCOMERS_JOIN_US;
    }

    /**
     * When the newest heartbeat that came back was sent: until then at least, no other view had
     * been agreed.
     */
    public long provenUs() {
        return provenUs;
    }

    public List<Command> drain() {
        var l = new ArrayList<>(out);
        out.clear();
        return l;
    }

    /**
     * Word from the head of a view, with the age of its proof: the only thing that makes this
     * member's knowledge fresh.
     */
    private void told(long ageUs) {
        heardUs = now;
        toldUs = Math.max(toldUs, now - Math.max(0, ageUs));
    }

    // ---- one function for every change of state

    private void become(Mode m) {
        if (mode == Mode.HEADING && m != Mode.HEADING) {
            refuseAll();
        }
        if (m == Mode.HEADING) {
            viewSinceUs = now;
            heartbeatAckUs = now;
            provenUs = Math.max(provenUs, formedUs);
            headSeen = me;
        }
        if (m == Mode.IDLE || m == Mode.FOLLOWING) {
            missingUs.clear();
            leavers.clear();
        }
        mode = m;
    }

    private void refuseAll() {
        inWork.ifPresent(a -> out.add(new Answer(a.request, 503, "the chain is being mended")));
        inWork = Optional.empty();
        unproven.forEach(u -> out.add(new Answer(u.request, 503, "the chain is being mended")));
        unproven.clear();
        queue.forEach(a -> out.add(new Answer(a.request, 503, "the chain is being mended")));
        queue.clear();
    }

    private void send(String to, Codec.Out o) {
        out.add(new Send(to, o.bytes()));
    }

    private void store(MemberState l, Runnable then) {
        storing = Optional.of(l);
        afterStore = then;
        storeSinceUs = now;
        out.add(new Store(++storeToken, l));
    }

    /** Runs at once when the disk is free, else when it is. */
    private void whenFree(Runnable r) {
        if (storing.isPresent()) {
            if (deferred.size() < QUEUE) {
                deferred.add(r);
            }
        } else {
            r.run();
        }
    }

    public void onStored(long t, long token) {
        now = Math.max(now, t);
        if (storing.isEmpty() || token != storeToken) {
            return;
        }
        if (memberState.state.edition != storing.get().state.edition) {
            clockSinceUs = now;
            awayUs = 0;
        }
        memberState = storing.get();
        storing = Optional.empty();
        var a = afterStore;
        afterStore = () -> {};
        a.run();
        while (storing.isEmpty() && !deferred.isEmpty()) {
            deferred.poll().run();
        }
        work();
    }

    private boolean diskSick() {
        return storing.isPresent() && now - storeSinceUs > SICK_DISK_US;
    }

    // ---- time

    public void onTick(long t) {
        now = Math.max(now, t);
        switch (mode) {
            case HEADING -> tickHead();
            case BIDDING -> tickBid();
            case STARTING -> tickStart();
            case IDLE, FOLLOWING -> tickWait();
            case LEARNING -> {}
        }
    }

    private void tickWait() {
        if (storing.isEmpty()
                && now >= quietUntil + (bids == 0 ? rank() * RANK_US : 0)
                && now - heardUs
                        > SILENT_US + rank() * RANK_US + (leaving ? LEAVER_BIDS_LATER_US : 0)
                && memberState.state.roster.contains(me)) {
            bids++;
            startBid();
        }
    }

    private int rank() {
        var c = chainSeen.isEmpty() ? memberState.state.roster : chainSeen;
        var i = c.indexOf(me);
        return i < 0 ? c.size() : i;
    }

    private void tickHead() {
        if (diskSick()) {
            quietUntil = now + 2 * SETTLE_US;
            heardUs = now;
            become(Mode.IDLE);
            return;
        }
        if (now - heartbeatSentUs >= HEARTBEAT_US) {
            heartbeat();
        }
        if (now - newsSentUs >= HEARTBEAT_US) {
            newsSentUs = now;
            news();
        }
        if (now - heartbeatAckUs > SILENT_US
                && now - viewSinceUs > SILENT_US
                && storing.isEmpty()) {
            startBid();
            return;
        }
        if (inWork.isPresent() && storing.isEmpty()) {
            if (now - passSentUs > RESEND_US) {
                passOn();
            }
            if (now - workSinceUs > SILENT_US) {
                startBid();
                return;
            }
        }
        work();
    }

    private long workSinceUs;

    // ---- who belongs to the chain and to the roster

    private final Map<String, Long> missingUs = new TreeMap<>();
    private int leastRoster = Integer.MAX_VALUE;

    /**
     * The fewest members that still bear what is to be borne; without this word nobody is taken off
     * merely for its absence.
     */
    public void onLeastRoster(int n) {
        leastRoster = n;
    }

    /**
     * The next step of membership, decided between two writes: a change of the roster by one
     * member, or a new view.
     *
     * <p>Invariant: the members of the roster that are in the chain are a majority of the roster
     * before and after each change, and neighbouring rosters differ by one member, so that their
     * majorities meet. A newcomer is in the chain, and so holds the state, before a write that
     * itself passes through it makes it count.
     */
    private Optional<CoreState.Change> membership() {
        noteMissing();
        leavers.values().removeIf(t -> now - t > LEAVER_EXPIRES_US);
        if (leaving) {
            leavers.put(me, now);
        }
        var struck = missingToStrike().or(this::leaveStep);
        if (struck.isPresent()) {
            return struck.map(m -> new CoreState.Change(CoreState.Act.ROSTER_OUT, 0, m, ""));
        }
        if (mode != Mode.HEADING) {
            return Optional.empty();
        }
        var enrolled = toEnrol();
        if (enrolled.isPresent()) {
            return enrolled.map(m -> new CoreState.Change(CoreState.Act.ROSTER, 0, m, ""));
        }
        if (now - viewSinceUs >= SETTLE_US) {
            admit();
        }
        return Optional.empty();
    }

    /**
     * A member of the chain that is not in the roster, or is marked there as gone though it is
     * back. While an even roster misses a member, nobody new is enrolled before that one is struck
     * or back: each successor takes one place.
     */
    private Optional<String> toEnrol() {
        var roster = memberState.state.roster;
        var vacancy = roster.size() % 2 == 0 && !missingUs.isEmpty();
        return chain.stream()
                .filter(m -> !leavers.containsKey(m))
                .filter(m -> roster.contains(m) ? memberState.state.departed.contains(m) : !vacancy)
                .findFirst();
    }

    private void noteMissing() {
        var r = memberState.state.roster;
        missingUs
                .keySet()
                .removeIf(m -> chain.contains(m) || !r.contains(m) || outside.containsKey(m));
        r.stream().filter(m -> !chain.contains(m)).forEach(m -> missingUs.putIfAbsent(m, now));
    }

    /**
     * A new view with those that stand outside and were heard for a while, whether the roster names
     * them or not.
     */
    private void admit() {
        outside.values().removeIf(s -> now - s.lastUs > 1_000_000);
        if (outside.entrySet().stream()
                .anyMatch(e -> heardLongEnough(e.getValue()) && !chain.contains(e.getKey()))) {
            startBid();
        }
    }

    private boolean heardLongEnough(Seen s) {
        return now - s.firstUs >= HEARD_US;
    }

    /**
     * Lets go of those that leave in order. When those that stay are a majority of the roster, a
     * new view without the leavers begins at once; a head that leaves has another member begin it.
     * Else the roster shrinks first, by members that left before, then by a leaver, for as long as
     * the invariant holds. If all leave, the roster stays as it is.
     */
    private Optional<String> leaveStep() {
        var roster = memberState.state.roster;
        var going =
                chain.stream()
                        .filter(
                                m ->
                                        leavers.containsKey(m)
                                                && (!roster.contains(m)
                                                        || memberState.state.departed.contains(m)))
                        .toList();
        var stay =
                chain.stream().filter(m -> roster.contains(m) && !leavers.containsKey(m)).toList();
        if (going.isEmpty() || stay.isEmpty()) {
            return Optional.empty();
        }
        if (stay.size() * 2 > roster.size()) {
            letGo(stay);
            return Optional.empty();
        }
        if (now - leaverSinceUs < LEAVE_SETTLE_US) {
            return Optional.empty();
        }
        var leftBefore =
                roster.stream()
                        .filter(m -> !chain.contains(m) && memberState.state.departed.contains(m))
                        .findFirst();
        return leftBefore.or(
                () ->
                        going.stream()
                                .filter(m -> roster.contains(m) && holdsWithout(m))
                                .findFirst());
    }

    private void letGo(List<String> stay) {
        if (!leavers.containsKey(me)) {
            startBid();
        } else if (now - handOverSentUs > ASK_AGAIN_US) {
            handOverSentUs = now;
            var o = new Codec.Out(HANDOVER);
            view.write(o);
            send(stay.get(0), o);
        }
    }

    private boolean holdsWithout(String member) {
        var others =
                chain.stream()
                        .filter(m -> !m.equals(member) && memberState.state.roster.contains(m))
                        .count();
        return others * 2 > memberState.state.roster.size() - 1;
    }

    /**
     * Who is missing from the chain and can be spared. An even roster spares one at once: a
     * majority of n members, n even, holds a majority of any n - 1 of them, so that whoever could
     * go on with the larger roster can go on with the smaller, and fewer are needed. So a
     * successor, which makes an odd roster even, takes the place of a dead member in the same or
     * the next write, and a zone that is merely cut off from an odd roster and was not replaced is
     * never struck. Who left in order is struck after a while, too, if the majority then needs
     * fewer members, and anybody after GONE_US.
     *
     * <p>A wrong guess (a member that was only cut off) is safe: it is outside the chain, so it
     * neither acknowledges nor is needed; it cannot form a view, since a majority of its older
     * roster holds a member that knows the newer one; it hears the news of the head when it is
     * back, and joins as a newcomer does.
     */
    private Optional<String> missingToStrike() {
        return missingUs.entrySet().stream()
                .filter(e -> canBeSpared(e.getKey(), now - e.getValue()))
                .min(
                        Comparator.<Map.Entry<String, Long>, Boolean>comparing(
                                        e -> !memberState.state.departed.contains(e.getKey()))
                                .thenComparing(Map.Entry::getValue))
                .map(Map.Entry::getKey);
    }

    private boolean canBeSpared(String member, long missingForUs) {
        var size = memberState.state.roster.size();
        var present = (int) chain.stream().filter(memberState.state.roster::contains).count();
        if (size % 2 == 0) {
            return missingForUs >= MISSING_US;
        }
        if (memberState.state.departed.contains(member)
                && missingForUs >= DEPARTED_US
                && size > present + 1 - present % 2) {
            return true;
        }
        return missingForUs > GONE_US && size > leastRoster && present >= leastRoster;
    }

    // ---- agreeing on a view

    private void startBid() {
        topN = Math.max(topN, memberState.promised.n) + 1;
        var b = new Ballot(topN, me);
        var next = new Bid(b, now);
        if (mode == Mode.HEADING) {
            outside.forEach(
                    (m, s) -> {
                        if (heardLongEnough(s) && now - s.lastUs <= 1_000_000) {
                            next.candidates.add(m);
                        }
                    });
            chain.stream().filter(m -> !leavers.containsKey(m)).forEach(next.candidates::add);
        }
        next.released = handedOver.equals(memberState.promised) ? handedOver : Ballot.ZERO;
        released = false;
        become(Mode.BIDDING);
        bid = next;
        store(
                new MemberState(b, memberState.accepted, memberState.state),
                () -> {
                    if (mode != Mode.BIDDING || !bid.b.equals(b)) {
                        return;
                    }
                    bid.yes.put(
                            me,
                            new Vote(
                                    memberState.accepted,
                                    memberState.state.edition,
                                    Optional.of(memberState.state)));
                    bid.asked.add(me);
                    askRoster(memberState.state.roster);
                    tryForm();
                });
    }

    private void askRoster(List<String> roster) {
        var all = new LinkedHashSet<>(roster);
        all.addAll(bid.candidates);
        var again = now - bid.askedUs > ASK_AGAIN_US;
        bid.askedUs = again || bid.askedUs == 0 ? now : bid.askedUs;
        for (var m : all) {
            if (bid.asked.add(m)
                    || again
                            && !m.equals(me)
                            && !bid.yes.containsKey(m)
                            && !bid.learners.containsKey(m)) {
                var o = new Codec.Out(PREPARE);
                bid.b.write(o);
                memberState.accepted.write(o);
                o.i64(memberState.state.edition);
                bid.released.write(o);
                send(m, o);
            }
        }
    }

    private void tickBid() {
        if (now - bid.startUs > BID_US) {
            quietUntil = now + 200_000 + rank() * RANK_US;
            heardUs = now - SILENT_US;
            become(Mode.IDLE);
            return;
        }
        tryForm();
    }

    private void onPrepare(String from, Ballot b, Ballot acc, long ed, Ballot freed) {
        topN = Math.max(topN, b.n);
        if (mode == Mode.LEARNING) {
            if (leaving) {
                return;
            }
            var o = new Codec.Out(PROMISE);
            b.write(o);
            send(from, o.u8(2).i64(nonce));
            return;
        }
        if (b.compareTo(memberState.promised) < 0 || content(from, freed)) {
            refusePrepare(from, b);
            return;
        }
        if (b.equals(memberState.promised) && mode == Mode.FOLLOWING) {
            return;
        }
        heardUs = now;
        if (b.equals(memberState.promised)) {
            promise(from, b, acc, ed);
            return;
        }
        become(Mode.IDLE);
        store(
                new MemberState(b, memberState.accepted, memberState.state),
                () -> promise(from, b, acc, ed));
    }

    private void promise(String to, Ballot b, Ballot acc, long ed) {
        released = false;
        var o = new Codec.Out(PROMISE);
        b.write(o);
        o.u8(1).flag(leaving);
        memberState.accepted.write(o);
        o.i64(memberState.state.edition);
        var c = memberState.accepted.compareTo(acc);
        var newer = c > 0 || c == 0 && memberState.state.edition > ed;
        send(to, o.blob(newer ? memberState.state.bytes() : new byte[0]));
    }

    /**
     * A member that hears its head well gives no promise to another: one that cannot hear must not
     * upset the rest. A head that hands over frees the members of its view from this.
     */
    private boolean content(String from, Ballot freed) {
        if (freed.n > 0 && freed.equals(memberState.promised)) {
            return false;
        }
        return mode == Mode.FOLLOWING && !from.equals(headSeen) && now - heardUs < CONTENT_US
                || mode == Mode.HEADING && now - heartbeatAckUs < CONTENT_US;
    }

    private void refusePrepare(String from, Ballot b) {
        var o = new Codec.Out(PROMISE);
        b.write(o);
        send(from, o.u8(0).i64(memberState.promised.n));
    }

    private void onPromise(String from, Codec.In in) {
        var b = Ballot.read(in);
        var k = in.u8();
        if (k == 0) {
            topN = Math.max(topN, in.i64());
            if (mode == Mode.BIDDING && b.equals(bid.b) && isOnlyCandidate(from)) {
                bid.candidates.remove(from);
                tryForm();
            } else if (mode == Mode.BIDDING && b.equals(bid.b)) {
                quietUntil = now + 150_000 + rank() * RANK_US;
                become(Mode.IDLE);
            }
            return;
        }
        if (mode != Mode.BIDDING || !b.equals(bid.b)) {
            return;
        }
        if (k == 2) {
            bid.learners.put(from, in.i64());
            bid.yes.remove(from);
        } else if (!bid.learners.containsKey(from)) {
            if (in.flag()) {
                bid.leaving.add(from);
            }
            var acc = Ballot.read(in);
            var ed = in.i64();
            var s = in.blob();
            bid.yes.put(
                    from,
                    new Vote(
                            acc,
                            ed,
                            s.length == 0 ? Optional.empty() : Optional.of(CoreState.of(s))));
        }
        tryForm();
    }

    /** Whether a member takes part in the bid without being in the newest roster that was found. */
    private boolean isOnlyCandidate(String member) {
        return bid.yes.containsKey(me) && !best().state.get().roster.contains(member);
    }

    private Vote best() {
        var v = bid.yes.get(me);
        for (var x : bid.yes.values()) {
            var c = x.accepted.compareTo(v.accepted);
            if (x.state.isPresent() && (c > 0 || c == 0 && x.edition > v.edition)) {
                v = x;
            }
        }
        return v;
    }

    private void tryForm() {
        if (!bid.yes.containsKey(me) || storing.isPresent()) {
            return;
        }
        var v = best();
        var roster = v.state.get().roster;
        askRoster(roster);
        var n = roster.stream().filter(bid.yes::containsKey).count();
        if (n * 2 <= roster.size() || !roster.contains(me)) {
            return;
        }
        if (bid.majorityUs == 0) {
            bid.majorityUs = now;
        }
        var all =
                Stream.concat(roster.stream(), bid.candidates.stream())
                        .allMatch(m -> bid.yes.containsKey(m) || bid.learners.containsKey(m));
        if (all || now - bid.majorityUs > GATHER_US) {
            form(v.state.get());
        }
    }

    private void form(CoreState s) {
        delta = Optional.empty();
        view = bid.b;
        chain = order(s.roster);
        basis = best().accepted;
        holders =
                bid.yes.entrySet().stream()
                        .filter(
                                e ->
                                        e.getValue().accepted.equals(basis)
                                                && e.getValue().edition == s.edition)
                        .map(Map.Entry::getKey)
                        .toList();
        learners = new TreeMap<>(bid.learners);
        learners.keySet().retainAll(chain);
        chainSeen = chain;
        outside.clear();
        become(Mode.STARTING);
        viewSinceUs = now;
        formedUs = now;
        leavers.clear();
        bid.leaving.forEach(m -> leavers.put(m, now));
        var b = view;
        store(
                new MemberState(b, b, s),
                () -> {
                    if (mode == Mode.STARTING && view.equals(b)) {
                        passOn();
                    }
                });
    }

    /**
     * The chain: this member, the members of the roster that promised, without those that leave if
     * the others are a majority, and then all who are to learn the state. Learners come last: by
     * then a majority has accepted the state in this view, so that a learner, which may have
     * forgotten a higher promise, cannot help an older view along.
     */
    private List<String> order(List<String> roster) {
        var voters =
                roster.stream()
                        .filter(m -> !m.equals(me) && bid.yes.containsKey(m))
                        .sorted(near)
                        .toList();
        var stay = voters.stream().filter(m -> !bid.leaving.contains(m)).toList();
        var first = (stay.size() + 1) * 2 > roster.size() ? stay : voters;
        var last =
                Stream.concat(bid.learners.keySet().stream(), bid.candidates.stream())
                        .distinct()
                        .filter(
                                m ->
                                        !m.equals(me)
                                                && !first.contains(m)
                                                && !bid.leaving.contains(m))
                        .filter(m -> bid.learners.containsKey(m) || bid.yes.containsKey(m))
                        .sorted(near);
        return Stream.of(Stream.of(me), first.stream(), last).flatMap(x -> x).toList();
    }

    private void tickStart() {
        if (storing.isPresent()) {
            if (diskSick()) {
                quietUntil = now + 2 * SETTLE_US;
                heardUs = now;
                become(Mode.IDLE);
            }
            return;
        }
        if (now - viewSinceUs > SILENT_US) {
            startBid();
        } else if (now - passSentUs > RESEND_US) {
            passOn();
        }
    }

    // ---- the chain

    private void passOn() {
        passSentUs = now;
        if (chain.size() == 1) {
            onPassAck(view, memberState.state.edition);
            return;
        }
        if (delta.isPresent()) {
            send(chain.get(1), step(view, chain, learners, memberState.state.edition, delta.get()));
            delta = Optional.empty();
            return;
        }
        passState(view, chain, learners, basis, holders, 1);
        holders = List.of();
    }

    /**
     * The same as a pass, as the change alone; a member that cannot take it is given the whole at
     * the next sending.
     */
    private static Codec.Out step(
            Ballot b, List<String> chain, Map<String, Long> learners, long ed, CoreState.Change c) {
        var o = new Codec.Out(STEP);
        b.write(o);
        o.texts(chain)
                .list(learners.entrySet(), (w, e) -> w.text(e.getKey()).i64(e.getValue()))
                .i64(ed);
        c.write(o);
        return o;
    }

    private void onStep(
            Ballot b, List<String> ch, Map<String, Long> ls, long ed, CoreState.Change c) {
        var at = ch.indexOf(me);
        if (at < 1
                || mode != Mode.FOLLOWING
                || !b.equals(memberState.promised)
                || !b.equals(memberState.accepted)
                || memberState.state.edition != ed - 1) {
            return;
        }
        var n = memberState.state.decide(c).next;
        if (n.isEmpty()) {
            return;
        }
        heardUs = now;
        store(
                new MemberState(b, b, n.get()),
                () -> {
                    if (at == ch.size() - 1) {
                        commit(b, ed);
                        ack(ch.get(at - 1), b, ed);
                    } else {
                        send(ch.get(at + 1), step(b, ch, ls, ed, c));
                    }
                });
    }

    /**
     * Passes this member's state to the one at a place of the chain: by its name, which is the view
     * in which it was accepted and its edition, to one that promised with that state, and else
     * whole. The second sending is always whole.
     */
    private void passState(
            Ballot b,
            List<String> ch,
            Map<String, Long> ls,
            Ballot named,
            List<String> holding,
            int place) {
        var o = new Codec.Out(PASS);
        b.write(o);
        o.texts(ch).list(ls.entrySet(), (w, e) -> w.text(e.getKey()).i64(e.getValue()));
        named.write(o);
        o.texts(holding).i64(memberState.state.edition);
        send(
                ch.get(place),
                o.blob(holding.contains(ch.get(place)) ? new byte[0] : memberState.state.bytes()));
    }

    /** The state that a pass brings; nothing when it is only named and this member has another. */
    private Optional<CoreState> passed(Ballot b, Ballot named, long edition, byte[] whole) {
        if (whole.length > 0) {
            return Optional.of(CoreState.of(whole));
        }
        var held =
                memberState.state.edition == edition
                        && (memberState.accepted.equals(named) || memberState.accepted.equals(b));
        return held && mode != Mode.LEARNING ? Optional.of(memberState.state) : Optional.empty();
    }

    private void onPass(
            Ballot b,
            List<String> ch,
            Map<String, Long> ls,
            Ballot named,
            List<String> holding,
            long edition,
            byte[] whole) {
        var at = ch.indexOf(me);
        var lesson = ls.containsKey(me);
        if (at < 1 || mode == Mode.LEARNING && (!lesson || ls.get(me) != nonce)) {
            return;
        }
        if (mode != Mode.LEARNING && (b.compareTo(memberState.promised) < 0)) {
            var o = new Codec.Out(NACK);
            b.write(o);
            send(ch.get(0), o.i64(memberState.promised.n));
            return;
        }
        if (mode != Mode.LEARNING
                && lesson
                && !memberState.accepted.equals(b)
                && ls.get(me) != nonce) {
            return;
        }
        var brought = passed(b, named, edition, whole);
        if (brought.isEmpty()) {
            return;
        }
        var s = brought.get();
        told(0);
        if (memberState.accepted.equals(b)
                && memberState.state.edition >= s.edition
                && mode == Mode.FOLLOWING) {
            follow(b, ch, ls, named, holding, s);
            return;
        }
        if (memberState.accepted.equals(b) && memberState.state.edition > s.edition) {
            return;
        }
        become(Mode.FOLLOWING);
        released = false;
        view = b;
        chainSeen = ch;
        headSeen = ch.get(0);
        store(new MemberState(b, b, s), () -> follow(b, ch, ls, named, holding, s));
    }

    private void follow(
            Ballot b,
            List<String> ch,
            Map<String, Long> ls,
            Ballot named,
            List<String> holding,
            CoreState s) {
        if (!memberState.accepted.equals(b) || memberState.state.edition != s.edition) {
            return;
        }
        var at = ch.indexOf(me);
        if (at == ch.size() - 1) {
            commit(b, s.edition);
            ack(ch.get(at - 1), b, s.edition);
        } else {
            passState(b, ch, ls, named, holding, at + 1);
        }
    }

    private void ack(String to, Ballot b, long ed) {
        var o = new Codec.Out(PASS_ACK);
        b.write(o);
        send(to, o.i64(ed));
    }

    private void onPassAck(Ballot b, long ed) {
        if (!b.equals(memberState.accepted) || !b.equals(view)) {
            return;
        }
        if (mode == Mode.FOLLOWING) {
            commit(b, ed);
            var at = chainSeen.indexOf(me);
            if (at > 0) {
                ack(chainSeen.get(at - 1), b, ed);
            }
            return;
        }
        if (mode == Mode.STARTING && ed == memberState.state.edition) {
            commit(b, ed);
            become(Mode.HEADING);
            heartbeat();
            work();
        } else if (mode == Mode.HEADING) {
            commit(b, ed);
            if (inWork.isPresent() && ed == memberState.state.edition && storing.isEmpty()) {
                var a = inWork.get();
                inWork = Optional.empty();
                out.add(new Answer(a.request, 200, workText));
                work();
            }
        }
    }

    private void commit(Ballot b, long ed) {
        if (memberState.accepted.equals(b)
                && memberState.state.edition == ed
                && (ed > committed.edition || committed.edition == 0)) {
            var was = committed;
            committed = memberState.state;
            if (was.edition != ed || !was.roster.equals(committed.roster)) {
                out.add(new Committed(committed));
            }
        }
    }

    private void onNack(Ballot b, long n) {
        topN = Math.max(topN, n);
        if (b.equals(view) && (mode == Mode.HEADING || mode == Mode.STARTING)) {
            quietUntil = now + 150_000;
            become(Mode.IDLE);
        }
    }

    // ---- heartbeats

    private void heartbeat() {
        heartbeatSentUs = now;
        heartbeatN++;
        sentAt[(int) (heartbeatN % sentAt.length)] = now;
        if (chain.size() == 1) {
            heartbeatAck(heartbeatN);
            return;
        }
        send(chain.get(1), heartbeat(view, heartbeatN, chain, committed.edition, now - provenUs));
    }

    private static Codec.Out heartbeat(
            Ballot b, long n, List<String> ch, long ed, long proofAgeUs) {
        var o = new Codec.Out(HEARTBEAT);
        b.write(o);
        return o.i64(n).texts(ch).i64(ed).i64(proofAgeUs);
    }

    private void onHeartbeat(Ballot b, long n, List<String> ch, long ed, long proofAgeUs) {
        var at = ch.indexOf(me);
        if (at < 1
                || mode != Mode.FOLLOWING && mode != Mode.IDLE
                || !b.equals(memberState.promised)
                || !b.equals(memberState.accepted)) {
            return;
        }
        if (mode == Mode.IDLE) {
            become(Mode.FOLLOWING);
            released = false;
        }
        told(proofAgeUs);
        view = b;
        chainSeen = ch;
        headSeen = ch.get(0);
        commit(b, ed);
        if (at == ch.size() - 1) {
            heartbeatAckTo(ch.get(at - 1), b, n);
        } else {
            send(ch.get(at + 1), heartbeat(b, n, ch, ed, proofAgeUs));
        }
    }

    private void heartbeatAckTo(String to, Ballot b, long n) {
        var o = new Codec.Out(HEARTBEAT_ACK);
        b.write(o);
        send(to, o.i64(n));
    }

    private void onHeartbeatAck(Ballot b, long n) {
        if (!b.equals(view)) {
            return;
        }
        if (mode == Mode.FOLLOWING) {
            var at = chainSeen.indexOf(me);
            if (at > 0) {
                heartbeatAckTo(chainSeen.get(at - 1), b, n);
            }
        } else if (mode == Mode.HEADING) {
            heartbeatAck(n);
        }
    }

    private void heartbeatAck(long n) {
        heartbeatAckUs = now;
        heartbeatAckN = Math.max(heartbeatAckN, n);
        if (heartbeatN - n < sentAt.length) {
            provenUs = Math.max(provenUs, sentAt[(int) (n % sentAt.length)]);
        }
        while (!unproven.isEmpty() && heartbeatAckN >= unproven.peek().barrier) {
            var u = unproven.poll();
            out.add(new Answer(u.request, u.outcome.status, u.outcome.text));
        }
    }

    // ---- news to those outside the chain

    /** The owner names the cores it has links to; the head keeps those outside the chain told. */
    public void onKnown(Collection<String> cores) {
        known = List.copyOf(cores);
    }

    private List<String> known = List.of();

    private void news() {
        var to = new TreeSet<>(known);
        to.addAll(memberState.state.roster);
        to.removeAll(chain);
        for (var m : to) {
            var o = new Codec.Out(NEWS);
            view.write(o);
            send(m, o.texts(chain).i64(committed.edition).i64(now - provenUs));
        }
    }

    private void onNews(String from, Ballot b, List<String> ch, long ed, long proofAgeUs) {
        if (b.compareTo(memberState.promised) < 0 && mode != Mode.LEARNING
                || mode == Mode.HEADING
                || mode == Mode.STARTING) {
            if (!leaving) {
                send(from, new Codec.Out(HERE).i64(memberState.promised.n));
            }
            return;
        }
        headSeen = ch.get(0);
        chainSeen = ch;
        topN = Math.max(topN, b.n);
        told(proofAgeUs);
        if (ed > committed.edition && now - pulledUs >= PULL_US) {
            pulledUs = now;
            send(from, new Codec.Out(PULL).i64(committed.edition));
        }
        if (leaving) {
            released = !ch.contains(me);
        } else {
            send(from, new Codec.Out(HERE).i64(0));
        }
    }

    /** The head of this view is about to leave and names this member as the one to go on. */
    private void onHandover(Ballot b) {
        if (mode == Mode.FOLLOWING
                && b.equals(memberState.promised)
                && b.equals(memberState.accepted)
                && storing.isEmpty()) {
            handedOver = b;
            startBid();
        }
    }

    private void onHere(String from, long n) {
        topN = Math.max(topN, n);
        if (mode == Mode.HEADING && !chain.contains(from)) {
            var s = outside.computeIfAbsent(from, k -> new Seen());
            if (now - s.lastUs > 1_000_000) {
                s.firstUs = now;
            }
            s.lastUs = now;
        }
    }

    private void onPull(String from, long ed) {
        if (committed.edition > ed) {
            send(from, new Codec.Out(SNAPSHOT).blob(committed.bytes()));
        }
    }

    private void onSnapshot(byte[] b) {
        var s = CoreState.of(b);
        if (s.edition > committed.edition) {
            committed = s;
            out.add(new Committed(s));
        }
    }

    // ---- changes asked for

    public void onAsk(long t, long request, CoreState.Change c) {
        now = Math.max(now, t);
        if (mode != Mode.HEADING || queue.size() + unproven.size() >= QUEUE) {
            out.add(new Answer(request, 503, "not the head of an active chain"));
            return;
        }
        if (c.act == CoreState.Act.LEAVE
                && Optional.ofNullable(leavers.put(c.subject, now)).isEmpty()) {
            leaverSinceUs = now;
        }
        queue.add(new Asked(request, c));
        work();
    }

    private String workText = "";
    private Supplier<String> survey = () -> "";

    /** Asked at the head in the step that decides a change of placement: what runs where. */
    public void onSurvey(Supplier<String> s) {
        survey = s;
    }

    /**
     * One write at a time. Answers that write nothing are decided between writes, when all that is
     * known is committed, and wait together for one heartbeat: on a long chain a round each would
     * let askers that lose patience fill the queue.
     */
    private void work() {
        var last = heartbeatN;
        if (mode == Mode.HEADING && inWork.isEmpty() && storing.isEmpty()) {
            membership().ifPresent(c -> queue.addFirst(new Asked(OWN_ASK, c)));
        }
        while (mode == Mode.HEADING && inWork.isEmpty() && storing.isEmpty() && !queue.isEmpty()) {
            decide(queue.poll(), last + 1);
        }
        if (!unproven.isEmpty() && unproven.peekLast().barrier > heartbeatN) {
            heartbeat();
        }
    }

    private void decide(Asked a, long barrier) {
        var ch =
                a.change
                        .stamped(jobClockUs(now))
                        .surveyed(a.change.act.ofPlacement() ? survey.get() : "");
        var o = memberState.state.decide(ch);
        if (o.next.isEmpty()) {
            unproven.add(new Unproven(a.request, o, barrier));
        } else {
            write(a, ch, o);
        }
    }

    private void write(Asked a, CoreState.Change ch, CoreState.Outcome o) {
        inWork = Optional.of(a);
        workSinceUs = now;
        workText = o.text;
        var b = view;
        store(
                new MemberState(b, b, o.next.get()),
                () -> {
                    if (mode == Mode.HEADING && view.equals(b)) {
                        delta = Optional.of(ch);
                        passOn();
                    }
                });
    }

    // ---- records from peers

    public void onRecord(long t, String from, byte[] record) {
        now = Math.max(now, t);
        var in = new Codec.In(record, true);
        switch (in.type) {
            case PREPARE -> {
                var b = Ballot.read(in);
                var a = Ballot.read(in);
                var e = in.i64();
                var freed = Ballot.read(in);
                whenFree(() -> onPrepare(from, b, a, e, freed));
            }
            case PROMISE -> onPromise(from, in);
            case PASS -> {
                var b = Ballot.read(in);
                var ch = in.texts();
                var ls = new TreeMap<String, Long>();
                in.list(x -> ls.put(x.text(), x.i64()));
                var named = Ballot.read(in);
                var holding = in.texts();
                var e = in.i64();
                var s = in.blob();
                whenFree(() -> onPass(b, ch, ls, named, holding, e, s));
            }
            case STEP -> {
                var b = Ballot.read(in);
                var ch = in.texts();
                var ls = new TreeMap<String, Long>();
                in.list(x -> ls.put(x.text(), x.i64()));
                var e = in.i64();
                var c = CoreState.Change.read(in);
                whenFree(() -> onStep(b, ch, ls, e, c));
            }
            case PASS_ACK -> {
                var b = Ballot.read(in);
                var e = in.i64();
                onPassAck(b, e);
            }
            case NACK -> onNack(Ballot.read(in), in.i64());
            case HEARTBEAT ->
                    onHeartbeat(Ballot.read(in), in.i64(), in.texts(), in.i64(), in.i64());
            case HEARTBEAT_ACK -> onHeartbeatAck(Ballot.read(in), in.i64());
            case NEWS -> onNews(from, Ballot.read(in), in.texts(), in.i64(), in.i64());
            case HERE -> onHere(from, in.i64());
            case PULL -> onPull(from, in.i64());
            case SNAPSHOT -> onSnapshot(in.blob());
            case HANDOVER -> {
                var b = Ballot.read(in);
                whenFree(() -> onHandover(b));
            }
            default -> {}
        }
    }
}
