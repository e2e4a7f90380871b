package martenloom.core.chain;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.core.state.ClusterState;
import martenloom.core.state.Command.MarkDeparting;
import martenloom.core.state.Command.ScalingCommand;
import martenloom.core.state.Command.Urgency;
import martenloom.core.state.ResultCode;
import martenloom.core.state.StampedCommand;

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
 *
 * <p>The parts: ViewAgreement forms views, Replication takes states down the chain, ReadBarrier
 * proves that a head still is one, and Membership decides who belongs to chain and roster. This
 * class is what the owner sees of them: it takes time, records and orders in, and does one write at
 * a time.
 */
public final class ChainMember {
    /** The highest type of a record of the chain; higher numbers belong to others. */
    public static final int LAST_TYPE = ChainMessage.HANDOVER;

    /** A member of an odd roster that was missed for so long goes, though nobody replaced it. */
    public static final long GONE_US = Membership.GONE_US;

    /**
     * A member that has had no proof of a majority for longer than this neither hands out what it
     * knows as current nor passes orders on. See docs/design.md for the derivation.
     */
    public static final long STALE_US = 1_500_000;

    private static final long HEARTBEAT_US = 200_000;
    private static final long NEWCOMERS_JOIN_US = 2_500_000;
    private static final long FIRST_BID_US = 150_000;
    private static final long SICK_HEAD_RESTS_US = 2_000_000;
    private static final int QUEUE = 256;

    /** The number of an order that the head gives itself. */
    private static final long OWN_ASK = -1;

    /** A view's name; the higher number wins, then the address. */
    public record Ballot(long n, String who) implements Comparable<Ballot> {
        public static final Ballot ZERO = new Ballot(0, "");

        @Override
        public int compareTo(Ballot o) {
            return n != o.n ? Long.compare(n, o.n) : who.compareTo(o.who);
        }

        void write(RecordWriter o) {
            o.i64(n).text(who);
        }

        static Ballot read(RecordReader in) {
            return new Ballot(in.i64(), in.text());
        }
    }

    /** What a member keeps on disk. */
    public static final class MemberState {
        public final Ballot promised;
        public final Ballot accepted;
        public final ClusterState state;

        public MemberState(Ballot p, Ballot a, ClusterState s) {
            promised = p;
            accepted = a;
            state = s;
        }

        public byte[] bytes() {
            var o = new RecordWriter();
            promised.write(o);
            accepted.write(o);
            return o.blob(state.bytes()).bytes();
        }

        public static MemberState of(byte[] b) {
            var in = new RecordReader(b, false);
            return new MemberState(Ballot.read(in), Ballot.read(in), ClusterState.of(in.blob()));
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

    /** Answer a request that onAsk was called with; the code says what it came to. */
    public record Answer(long request, ResultCode code, String text) implements Command {}

    /** A newer state is known to be committed. */
    public record Committed(ClusterState state) implements Command {}

    private record Asked(long request, StampedCommand change) {}

    /** The write that is under way: whose it is, since when, and what its caller is told. */
    private record Write(long request, long sinceUs, String text) {}

    private final MemberContext member;
    private final Membership membership;
    private final ViewAgreement agreement;
    private final Replication replication;
    private final ReadBarrier barrier;
    private final Heartbeats heartbeats;
    private final NewsExchange news;
    private final Deque<Asked> queue = new ArrayDeque<>();
    private Optional<Write> write = Optional.empty();
    private Supplier<String> survey = () -> "";
    private long leavingSinceUs;
    private long clockSinceUs;
    private long awayUs;

    public ChainMember(
            String me, long nonce, Optional<MemberState> disk, Comparator<String> near, long now) {
        member = new MemberContext(me, nonce, disk, near, now);
        membership = new Membership(member);
        agreement = new ViewAgreement(member, membership, this);
        replication = new Replication(member, this);
        barrier = new ReadBarrier(member.output::add);
        heartbeats = new Heartbeats(member, barrier, replication, this);
        news = new NewsExchange(member, barrier, membership);
        clockSinceUs = now;
        member.quietUntilUs = now + FIRST_BID_US;
    }

    // ---- what others may look at

    public Mode mode() {
        return member.mode;
    }

    public ClusterState committed() {
        return member.committed;
    }

    public MemberState memberState() {
        return member.disk.kept();
    }

    public List<String> chain() {
        return heading() ? member.chain : member.chainSeen;
    }

    public Ballot view() {
        return member.view;
    }

    public String head() {
        return heading() ? member.me : member.headSeen;
    }

    /** The job clock: goes on from what the state says, by this member's own steady clock. */
    public long jobClockUs(long t) {
        return member.state().jobs().clockUs() + Math.max(0, t - clockSinceUs) + awayUs;
    }

    /** Told at a start: how long this member was away, as far as is known. */
    public void onAway(long us) {
        awayUs = us;
    }

    public boolean heading() {
        return member.heading();
    }

    public long headingSinceUs() {
        return member.viewSinceUs;
    }

    /**
     * Time since the newest moment at which a majority is known to have held together: the sending
     * of the newest heartbeat that ran the whole chain, as the head knows it, or as it told its
     * followers with the age that it had then.
     */
    public long staleUs(long t) {
        return t - (heading() ? barrier.provenUs() : member.toldUs);
    }

    /** Whether what this member knows may be handed out as current. */
    public boolean fresh(long t) {
        return staleUs(t) <= STALE_US;
    }

    /**
     * When the newest heartbeat that came back was sent: until then at least, no other view had
     * been agreed.
     */
    public long provenUs() {
        return barrier.provenUs();
    }

    public List<Command> drain() {
        var commands = new ArrayList<>(member.output);
        member.output.clear();
        return commands;
    }

    // ---- what the owner says

    /** The owner names the cores it has links to; the head keeps those outside the chain told. */
    public void onKnown(Collection<String> cores) {
        news.setKnown(cores);
    }

    /** Asked at the head in the step that decides a change of placement: what runs where. */
    public void onSurvey(Supplier<String> s) {
        survey = s;
    }

    /**
     * The fewest members that still bear what is to be borne; without this word nobody is taken off
     * merely for its absence.
     */
    public void onLeastRoster(int n) {
        membership.setLeastRoster(n);
    }

    /**
     * The process is about to end: from now on this member takes part only where its promise is
     * needed. The owner hands the change LEAVE with this member as its subject to the head, again
     * and again, until released() holds.
     */
    public void onLeave(long t) {
        member.advance(t);
        member.leaving = true;
        leavingSinceUs = member.nowUs;
    }

    /**
     * Whether this member may end once its order to leave was taken: a chain without it is known to
     * have accepted all that was acknowledged. That ceases to hold when another view is begun with
     * this member's promise, which may need it. If all members of the roster leave, nobody is
     * waited for, once newcomers have had the time to join.
     */
    public boolean released(long t) {
        var known = member.committed;
        var nobodyStays =
                known.edition() > 0
                        && known.roster().departed().containsAll(known.roster().members());
        return member.released
                || member.mode == Mode.LEARNING
                || nobodyStays && t - leavingSinceUs > NEWCOMERS_JOIN_US;
    }

    // ---- the one function that changes what this member does

    void become(Mode next) {
        if (heading() && next != Mode.HEADING) {
            refuseAll();
        }
        if (next == Mode.HEADING) {
            member.viewSinceUs = member.nowUs;
            member.headSeen = member.me;
            barrier.onActive(member.nowUs, member.formedUs);
        }
        if (next == Mode.IDLE || next == Mode.FOLLOWING) {
            membership.clear();
        }
        member.mode = next;
    }

    private void refuseAll() {
        var why = "the chain is being mended";
        write.ifPresent(w -> member.output.add(new Answer(w.request, ResultCode.UNAVAILABLE, why)));
        write = Optional.empty();
        barrier.refuseAll(ResultCode.UNAVAILABLE, why);
        queue.forEach(a -> member.output.add(new Answer(a.request, ResultCode.UNAVAILABLE, why)));
        queue.clear();
    }

    public void onStored(long t, long token) {
        member.advance(t);
        var before = member.state().edition();
        if (!member.disk.onStored(token)) {
            return;
        }
        if (member.state().edition() != before) {
            clockSinceUs = member.nowUs;
            awayUs = 0;
        }
        member.disk.runWaiting();
        work();
    }

    // ---- time

    public void onTick(long t) {
        member.advance(t);
        switch (member.mode) {
            case HEADING -> tickHead();
            case BIDDING -> agreement.tickBidding();
            case STARTING -> tickStart();
            case IDLE, FOLLOWING -> agreement.tickWaiting();
            case LEARNING -> {}
        }
    }

    /** A head whose disk hangs steps down, and lets others go first for a while. */
    private void stepDown() {
        member.quietUntilUs = member.nowUs + SICK_HEAD_RESTS_US;
        member.heardUs = member.nowUs;
        become(Mode.IDLE);
    }

    private void tickStart() {
        if (member.disk.isSick(member.nowUs)) {
            stepDown();
        } else if (member.disk.isFree()) {
            if (member.nowUs - member.viewSinceUs > MemberContext.SILENT_US) {
                agreement.start();
            } else {
                replication.resend();
            }
        }
    }

    private void tickHead() {
        var now = member.nowUs;
        if (member.disk.isSick(now)) {
            stepDown();
            return;
        }
        if (now - barrier.sentUs() >= HEARTBEAT_US) {
            heartbeats.send();
        }
        if (now - news.sentUs() >= HEARTBEAT_US) {
            news.send();
        }
        if (member.disk.isFree() && (barrier.isSilent(now, member.viewSinceUs) || isWriteStuck())) {
            agreement.start();
            return;
        }
        work();
    }

    /** Sends the write under way again when it is time; says whether it has taken too long. */
    private boolean isWriteStuck() {
        if (write.isEmpty()) {
            return false;
        }
        replication.resend();
        return write.isPresent() && member.nowUs - write.get().sinceUs > MemberContext.SILENT_US;
    }

    // ---- changes asked for

    public void onAsk(long t, long request, StampedCommand change) {
        member.advance(t);
        if (!heading() || queue.size() + barrier.waiting() >= QUEUE) {
            member.output.add(
                    new Answer(request, ResultCode.UNAVAILABLE, "not the head of an active chain"));
            return;
        }
        if (change.command() instanceof MarkDeparting departing) {
            membership.onLeaveAsked(departing.member(), departing.urgency() == Urgency.IMMEDIATE);
        }
        queue.add(new Asked(request, change));
        work();
    }

    private boolean isIdleHead() {
        return heading() && write.isEmpty() && member.disk.isFree();
    }

    /**
     * One write at a time. Answers that write nothing are decided between writes, when all that is
     * known is committed, and wait together for one heartbeat: on a long chain a round each would
     * let askers that lose patience fill the queue.
     */
    private void work() {
        var next = barrier.number() + 1;
        if (isIdleHead()) {
            stepOfMembership();
        }
        while (isIdleHead() && !queue.isEmpty()) {
            decide(queue.poll(), next);
        }
        if (barrier.needsHeartbeat()) {
            heartbeats.send();
        }
    }

    private void stepOfMembership() {
        membership
                .handOverTo()
                .ifPresent(m -> member.send(m, new ChainMessage.Handover(member.view)));
        var step = membership.next();
        if (step instanceof Membership.Change c) {
            queue.addFirst(new Asked(OWN_ASK, c.change()));
        } else if (step instanceof Membership.NewView) {
            agreement.start();
        }
    }

    private void decide(Asked asked, long nextHeartbeat) {
        var placement = asked.change.command() instanceof ScalingCommand ? survey.get() : "";
        var change = asked.change.stampedAt(jobClockUs(member.nowUs)).surveyed(placement);
        var outcome = member.state().decide(change);
        if (outcome.next().isEmpty()) {
            barrier.await(asked.request, outcome, nextHeartbeat);
            return;
        }
        write = Optional.of(new Write(asked.request, member.nowUs, outcome.text()));
        replication.write(change, outcome.next().get());
    }

    // ---- what the parts ask and report

    long heartbeatAcknowledgedUs() {
        return barrier.acknowledgedUs();
    }

    /** A view was agreed: its state goes down the chain. */
    void open(ClusterState state, Ballot acceptedIn, List<String> holders) {
        replication.open(state, acceptedIn, holders);
    }

    /** The whole chain of the view that this member formed has accepted its state. */
    void onViewActive() {
        become(Mode.HEADING);
        heartbeats.send();
        work();
    }

    /** The whole chain has accepted what this head holds. */
    void onWriteAcknowledged() {
        if (write.isPresent()) {
            member.output.add(new Answer(write.get().request, ResultCode.OK, write.get().text));
            write = Optional.empty();
            work();
        }
    }

    // ---- records from peers

    public void onRecord(long t, String from, byte[] record) {
        member.advance(t);
        ChainMessage.decode(record).ifPresent(message -> onMessage(from, message));
    }

    private void onMessage(String from, ChainMessage message) {
        if (message instanceof ChainMessage.Prepare m) {
            member.disk.whenFree(() -> agreement.onPrepare(from, m));
        } else if (message instanceof ChainMessage.Refused m) {
            agreement.onRefused(from, m);
        } else if (message instanceof ChainMessage.Learner m) {
            agreement.onLearner(from, m);
        } else if (message instanceof ChainMessage.Promised m) {
            agreement.onPromised(from, m);
        } else if (message instanceof ChainMessage.Handover m) {
            member.disk.whenFree(() -> agreement.onHandover(m));
        } else if (message instanceof ChainMessage.Pass m) {
            member.disk.whenFree(() -> replication.onPass(m));
        } else if (message instanceof ChainMessage.Step m) {
            member.disk.whenFree(() -> replication.onStep(m));
        } else if (message instanceof ChainMessage.PassAck m) {
            replication.onPassAck(m);
        } else if (message instanceof ChainMessage.Nack m) {
            agreement.onNack(m);
        } else if (message instanceof ChainMessage.Heartbeat m) {
            heartbeats.onHeartbeat(m);
        } else if (message instanceof ChainMessage.HeartbeatAck m) {
            heartbeats.onHeartbeatAck(m);
        } else if (message instanceof ChainMessage.News m) {
            news.onNews(from, m);
        } else if (message instanceof ChainMessage.Here m) {
            news.onHere(from, m);
        } else if (message instanceof ChainMessage.Pull m) {
            news.onPull(from, m);
        } else if (message instanceof ChainMessage.Snapshot m) {
            news.onSnapshot(m);
        }
    }
}
