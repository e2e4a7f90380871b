package martenloom.core.chain;

import java.util.Collection;
import java.util.List;
import java.util.TreeSet;
import martenloom.core.chain.AnnouncementMessage.JoinRequest;
import martenloom.core.chain.AnnouncementMessage.SnapshotRequest;
import martenloom.core.chain.AnnouncementMessage.SnapshotResponse;
import martenloom.core.chain.AnnouncementMessage.ViewAnnouncement;
import martenloom.core.state.EncodedState;

/**
 * What a head announces to the members outside its chain, and what they do with it: they ask to
 * join, and fetch the committed state. A member that leaves does not ask to join; an announcement
 * of a chain without it releases it.
 */
final class ViewAnnouncements {
    /** A snapshot is asked for at most once in this time. */
    private static final long SNAPSHOT_INTERVAL_US = 1_000_000;

    private final MemberContext member;
    private final ReadBarrier barrier;
    private final Membership membership;
    private final ContentExchange contents;

    /** The members that the owner has links to. */
    private List<String> known = List.of();

    private long sentUs;
    private long snapshotRequestedUs;

    ViewAnnouncements(
            MemberContext member,
            ReadBarrier barrier,
            Membership membership,
            ContentExchange contents) {
        this.member = member;
        this.barrier = barrier;
        this.membership = membership;
        this.contents = contents;
        snapshotRequestedUs = member.nowUs() - SNAPSHOT_INTERVAL_US;
    }

    void setKnownMembers(Collection<String> addresses) {
        known = List.copyOf(addresses);
    }

    long sentUs() {
        return sentUs;
    }

    /** From the head to all that it knows outside its chain. */
    void send() {
        sentUs = member.nowUs();
        var view = member.view();
        var outside = new TreeSet<>(known);
        outside.addAll(member.state().roster().members());
        outside.removeAll(view.chain());
        var announcement =
                new ViewAnnouncement(
                        view.ballot(),
                        view.chain(),
                        member.committed().edition(),
                        member.nowUs() - barrier.provenUs());
        outside.forEach(address -> member.send(address, announcement));
    }

    void onMessage(String from, AnnouncementMessage message) {
        if (message instanceof ViewAnnouncement announcement) {
            onViewAnnouncement(from, announcement);
        } else if (message instanceof JoinRequest request) {
            onJoinRequest(from, request);
        } else if (message instanceof SnapshotRequest request) {
            onSnapshotRequest(from, request);
        } else if (message instanceof SnapshotResponse response) {
            member.committed().install(response.state().decode());
        }
    }

    private void onViewAnnouncement(String from, ViewAnnouncement announcement) {
        if (isSuperseded(announcement)) {
            requestToJoin(from, member.promised().number());
            return;
        }
        member.view().observe(announcement.chain());
        member.observeBallotNumber(announcement.ballot().number());
        member.contact().onMajorityProof(member.nowUs(), announcement.contactAgeUs());
        if (announcement.edition() > member.committed().edition()
                && member.nowUs() - snapshotRequestedUs >= SNAPSHOT_INTERVAL_US) {
            snapshotRequestedUs = member.nowUs();
            member.send(from, new SnapshotRequest(member.committed().edition()));
        }
        if (member.departure().isLeaving()) {
            member.departure().setReleased(!announcement.chain().contains(member.address()));
        }
        requestToJoin(from, 0);
    }

    /** Whether this member has promised a higher view, or is about to head one. */
    private boolean isSuperseded(ViewAnnouncement announcement) {
        var belowPromise = announcement.ballot().compareTo(member.promised()) < 0;
        return belowPromise && !member.is(MemberRole.LEARNER)
                || member.isHead()
                || member.is(MemberRole.ACTIVATING_VIEW);
    }

    private void requestToJoin(String head, long promisedNumber) {
        if (!member.departure().isLeaving() && !contents.isFetching()) {
            member.send(head, new JoinRequest(promisedNumber));
        }
    }

    private void onJoinRequest(String from, JoinRequest request) {
        member.observeBallotNumber(request.promisedNumber());
        if (member.isHead() && !member.view().chain().contains(from)) {
            membership.onJoinRequest(from);
        }
    }

    private void onSnapshotRequest(String from, SnapshotRequest request) {
        if (member.committed().edition() > request.edition()) {
            member.send(from, new SnapshotResponse(EncodedState.of(member.committed().state())));
        }
    }
}
