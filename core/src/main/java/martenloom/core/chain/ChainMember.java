package martenloom.core.chain;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import martenloom.common.clock.Staleness;
import martenloom.core.state.ClusterState;
import martenloom.core.state.Command.MarkDeparting;
import martenloom.core.state.Command.Urgency;
import martenloom.core.state.StampedCommand;

/**
 * One member of the chain that replicates the cluster state: time, messages and requests in, {@link
 * ChainEffect}s out. It does no input or output, reads no clock, and runs on one thread, that of
 * its owner, which carries the effects out after each call.
 *
 * <p>Every member keeps on disk the highest view it has promised to take part in, the view in which
 * it last accepted a state, and that state. A view is named by a ballot and is agreed when a
 * majority of the roster has promised it; the candidate then heads a chain of exactly those who
 * promised, sends the newest state found among them down it, and the tail's acknowledgement makes
 * the view active. Writes go the same way, one at a time: each member syncs, the tail acknowledges.
 * The states of a member and their transitions are those of {@link MemberRole}.
 *
 * <p>Invariants: every member of a chain syncs each write and a chain holds a majority, so any
 * later view finds what was acknowledged; two views never both acknowledge, for the later one's
 * majority of promises includes a member of the earlier chain, which rejects from then on. A member
 * with a wiped disk promises nothing; it comes back as a learner of a new view, under an
 * incarnation drawn at its start, so that nothing meant for a former one can reach it. See
 * docs/design.md for the argument.
 *
 * <p>The parts: {@link BallotAcceptor} and {@link ViewElection} agree on views, {@link Replication}
 * takes states down the chain, {@link ContentExchange} fetches what these only name, {@link
 * ReadBarrier} proves that a head still is one, {@link Membership} decides who belongs to chain and
 * roster, and {@link RequestPipeline} decides requests.
 */
public final class ChainMember {
    /** The highest type of a record of the chain; higher numbers belong to others. */
    public static final int HIGHEST_MESSAGE_TYPE = ChainMessageCodec.HIGHEST_TYPE;

    /** A member of an odd roster that was missing for so long is removed, though not replaced. */
    public static final long REMOVE_ABSENT_AFTER_US = Membership.REMOVE_ABSENT_AFTER_US;

    private static final long HEARTBEAT_INTERVAL_US = 200_000;
    private static final long STALLED_HEAD_RESTS_US = 2_000_000;

    private final MemberContext member;
    private final Membership membership;
    private final ReadBarrier barrier;
    private final Replication replication;
    private final ContentExchange contents;
    private final BallotAcceptor acceptor;
    private final ViewElection election;
    private final Heartbeats heartbeats;
    private final ViewAnnouncements announcements;
    private final ReplicatedJobClock jobClock;
    private final RequestPipeline requests;

    /**
     * @param address names this member in rosters, chains and ballots
     * @param incarnation drawn at random at the start of the process
     * @param disk what the disk holds; empty when it was wiped or is new
     * @param proximity the order of the chain: near members first
     */
    public ChainMember(
            String address,
            long incarnation,
            Optional<PersistentMemberState> disk,
            Comparator<String> proximity,
            long nowUs) {
        member =
                new MemberContext(address, incarnation, disk, proximity, nowUs, this::onRoleChange);
        membership = new Membership(member);
        barrier = new ReadBarrier(member);
        replication = new Replication(member, this::onViewAccepted, this::onWriteAccepted);
        contents = new ContentExchange(member, this::handle);
        acceptor = new BallotAcceptor(member, barrier, contents);
        election = new ViewElection(member, membership, replication);
        heartbeats = new Heartbeats(member, barrier);
        announcements = new ViewAnnouncements(member, barrier, membership, contents);
        jobClock = new ReplicatedJobClock(nowUs);
        requests = new RequestPipeline(member, barrier, replication, jobClock);
    }

    // ---- what others may look at

    public MemberRole role() {
        return member.role();
    }

    public boolean isHead() {
        return member.isHead();
    }

    /** The newest state that this member knows to be committed. */
    public ClusterState committed() {
        return member.committed().state();
    }

    /** What is durable at this member, committed or not. */
    public PersistentMemberState memberState() {
        return member.disk().kept();
    }

    /** The newest chain this member knows of, the head first. */
    public List<String> chain() {
        return member.view().chain();
    }

    /** The view it takes part in, or took part in last. */
    public Ballot view() {
        return member.view().ballot();
    }

    /** The newest head this member knows of; empty before it knows of any. */
    public String head() {
        return member.view().head();
    }

    /** When the view headed by this member became active. */
    public long headSinceUs() {
        return member.view().sinceUs();
    }

    /** The job clock: goes on from what the state says, by this member's own steady clock. */
    public long jobClockUs(long nowUs) {
        return jobClock.timeUs(member.state(), nowUs);
    }

    /**
     * Time since the newest moment at which a majority is known to have held together: the sending
     * of the newest heartbeat that ran the whole chain, as the head knows it, or as it notified its
     * followers with the age that it had then.
     */
    public long stalenessUs(long nowUs) {
        return nowUs - (isHead() ? barrier.provenUs() : member.contact().majorityProvenUs());
    }

    /** Whether what this member knows may be handed out as current, and requests be forwarded. */
    public boolean isFresh(long nowUs) {
        return stalenessUs(nowUs) <= Staleness.MAX_STALENESS_US;
    }

    /**
     * When the newest heartbeat that came back to this head was sent: until then at least, no other
     * view had been agreed.
     */
    public long majorityProvenUs() {
        return barrier.provenUs();
    }

    // ---- what the owner sets

    /** The owner names the members it has links to; the head announces its view to them. */
    public void setKnownMembers(Collection<String> addresses) {
        announcements.setKnownMembers(addresses);
    }

    /** Asked at the head in the step that decides a change of placement: what runs where. */
    public void setPlacementSurvey(Supplier<String> survey) {
        requests.setPlacementSurvey(survey);
    }

    /**
     * The fewest members that still tolerate the losses configured; unless it is set, nobody is
     * removed merely for its absence.
     */
    public void setMinimumRosterSize(int members) {
        membership.setMinimumRosterSize(members);
    }

    /** Set at a start: how long the process was down, as far as is known. */
    public void setDowntimeUs(long lengthUs) {
        jobClock.setDowntimeUs(lengthUs);
    }

    // ---- graceful shutdown

    /**
     * The process is about to end: from now on this member takes part only where its promise is
     * needed. The owner submits the command that marks this member as departing to the head, again
     * and again, until {@link #mayTerminate} holds.
     */
    public void startLeaving(long nowUs) {
        member.advanceTo(nowUs);
        member.departure().begin(member.nowUs());
    }

    /**
     * Whether this member may end once its command to leave was taken: a chain without it is known
     * to have accepted all that was acknowledged. That ceases to hold when another view is begun
     * with this member's promise, which may need it. If all members of the roster leave, nobody is
     * waited for, once newcomers have had the time to join.
     */
    public boolean mayTerminate(long nowUs) {
        var known = committed();
        var nobodyStays =
                known.edition() > 0
                        && known.roster().departed().containsAll(known.roster().members());
        return member.departure().isReleased()
                || member.is(MemberRole.LEARNER)
                || nobodyStays && member.departure().hasWaitedForNewcomers(nowUs);
    }

    // ---- events

    /** Time passes; to be called several times in each heartbeat interval. */
    public void onTick(long nowUs) {
        member.advanceTo(nowUs);
        contents.tick();
        switch (member.role()) {
            case HEAD -> tickHead();
            case CANDIDATE -> election.tickCandidate();
            case ACTIVATING_VIEW -> tickActivatingView();
            case IDLE, FOLLOWER -> election.tickWaiting();
            case LEARNER -> {}
        }
    }

    /** A record from another member; ignored when it is none of the chain's. */
    public void onMessage(long nowUs, String from, byte[] record) {
        member.advanceTo(nowUs);
        ChainMessageCodec.decode(record).ifPresent(message -> dispatch(from, message));
    }

    /** The state of a PersistState effect is durable. */
    public void onPersisted(long nowUs, long token) {
        member.advanceTo(nowUs);
        var before = member.state().edition();
        if (!member.disk().onStored(token)) {
            return;
        }
        if (member.state().edition() != before) {
            jobClock.onNewState(member.nowUs());
        }
        member.disk().runDeferred();
        proceed();
    }

    /**
     * A command is requested; answered by a CompleteRequest effect with the request's number,
     * sooner or later. Only a head decides requests, others reject them at once.
     */
    public void submit(long nowUs, long request, StampedCommand command) {
        member.advanceTo(nowUs);
        if (!isHead() || requests.isFull()) {
            requests.reject(request, "not the head of an active chain");
            return;
        }
        if (command.command() instanceof MarkDeparting departing) {
            membership.onLeaveRequest(departing.member(), departing.urgency() == Urgency.IMMEDIATE);
        }
        requests.submit(request, command);
        proceed();
    }

    /** The effects since the last call, to be carried out in this order. */
    public List<ChainEffect> drainEffects() {
        return member.drainEffects();
    }

    private void dispatch(String from, ChainMessage message) {
        if (message instanceof StateMessage carrier) {
            contents.deliver(from, carrier);
        } else if (message instanceof ContentMessage content) {
            contents.onMessage(from, content);
        } else {
            handle(from, message);
        }
    }

    private void handle(String from, ChainMessage message) {
        if (message instanceof ElectionMessage.Prepare prepare) {
            member.disk().whenFree(() -> acceptor.onPrepare(from, prepare));
        } else if (message instanceof ElectionMessage answer) {
            election.onMessage(from, answer);
        } else if (message instanceof ReplicationMessage replicated) {
            replication.onMessage(replicated);
        } else if (message instanceof HeartbeatMessage heartbeat) {
            heartbeats.onMessage(heartbeat);
        } else if (message instanceof AnnouncementMessage announcement) {
            announcements.onMessage(from, announcement);
        }
    }

    // ---- changes of the role

    private void onRoleChange(MemberRole previous, MemberRole next) {
        if (previous == MemberRole.HEAD && next != MemberRole.HEAD) {
            requests.rejectAll("the chain is being mended");
        }
        if (next == MemberRole.HEAD) {
            member.view().activate(member.address(), member.nowUs());
            barrier.onViewActive(member.view().formedUs());
        }
        if (next == MemberRole.IDLE || next == MemberRole.FOLLOWER) {
            membership.clear();
        }
    }

    /** A member whose disk stalls gives up its view, and lets others go first for a while. */
    private void stepDown() {
        member.contact().noElectionBefore(member.nowUs() + STALLED_HEAD_RESTS_US);
        member.contact().onContact(member.nowUs());
        member.become(MemberRole.IDLE);
    }

    /** The whole chain of the view that this member formed has accepted its state. */
    private void onViewAccepted() {
        member.become(MemberRole.HEAD);
        heartbeats.send();
        proceed();
    }

    // ---- as head

    private void tickActivatingView() {
        if (member.disk().isStalled(member.nowUs())) {
            stepDown();
        } else if (member.disk().isFree()) {
            if (member.nowUs() - member.view().sinceUs() > HeadContact.HEAD_TIMEOUT_US) {
                election.start();
            } else {
                replication.retransmit();
            }
        }
    }

    private void tickHead() {
        var now = member.nowUs();
        if (member.disk().isStalled(now)) {
            stepDown();
            return;
        }
        if (now - barrier.sentUs() >= HEARTBEAT_INTERVAL_US) {
            heartbeats.send();
        }
        if (now - announcements.sentUs() >= HEARTBEAT_INTERVAL_US) {
            announcements.send();
        }
        if (member.disk().isFree()
                && (barrier.isSilent(member.view().sinceUs()) || requests.isWriteStuck())) {
            election.start();
            return;
        }
        proceed();
    }

    /** The whole chain has accepted what this head holds. */
    private void onWriteAccepted() {
        if (requests.completeWrite()) {
            proceed();
        }
    }

    /** Goes on with whatever can be done now: a step of membership, then the requests. */
    private void proceed() {
        var nextHeartbeat = barrier.number() + 1;
        if (requests.isReady()) {
            takeMembershipStep();
        }
        requests.decideQueued(nextHeartbeat);
        if (barrier.needsHeartbeat()) {
            heartbeats.send();
        }
    }

    private void takeMembershipStep() {
        membership
                .handOverTo()
                .ifPresent(
                        successor ->
                                member.send(
                                        successor,
                                        new ElectionMessage.HeadHandover(member.view().ballot())));
        var step = membership.next();
        if (step instanceof MembershipStep.ChangeRoster roster) {
            requests.submitFirst(roster.command());
        } else if (step instanceof MembershipStep.StartView) {
            election.start();
        }
    }
}
