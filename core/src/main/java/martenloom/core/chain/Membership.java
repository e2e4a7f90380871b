package martenloom.core.chain;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import martenloom.core.state.Command.AddMember;
import martenloom.core.state.Command.MembershipCommand;
import martenloom.core.state.Command.RemoveMember;
import martenloom.core.state.StampedCommand;

/**
 * Who belongs to the chain and to the roster, decided by the head between two writes.
 *
 * <p>Invariant: the members of the roster that are in the chain are a majority of the roster before
 * and after each change, and neighbouring rosters differ by one member, so that their majorities
 * meet. A newcomer is in the chain, and so holds the state, before a write that itself passes
 * through it makes it count.
 */
final class Membership {
    /**
     * A member of an odd roster that was missing for so long, under one head all the time, is
     * removed though nobody replaced it.
     */
    static final long REMOVE_ABSENT_AFTER_US = 120_000_000;

    /** A view stands at least so long before its head begins another to take in newcomers. */
    private static final long VIEW_SETTLES_US = 1_000_000;

    /** Someone outside the chain asks to join for so long before a new view is begun for it. */
    private static final long NEWCOMER_STEADY_US = 300_000;

    /** Who has not asked for so long does not want to join any more. */
    private static final long NEWCOMER_EXPIRES_US = 1_000_000;

    /** A member of an even roster that is missing for so long is removed. */
    private static final long REMOVE_MISSING_AFTER_US = 1_000_000;

    /** A member that left in order, from an odd roster, is removed after so long. */
    private static final long REMOVE_DEPARTED_AFTER_US = 10_000_000;

    private static final long LEAVER_EXPIRES_US = 3_000_000;
    private static final long HANDOVER_INTERVAL_US = 150_000;
    private static final MembershipStep START_VIEW = new MembershipStep.StartView();
    private static final MembershipStep NO_STEP = new MembershipStep.NoStep();

    /** Since when, and when last, someone outside the chain asked to join. */
    private static final class Newcomer {
        private long firstUs;
        private long lastUs;
    }

    private final MemberContext member;
    private final Map<String, Newcomer> newcomers = new TreeMap<>();
    private final Map<String, Long> missingSinceUs = new TreeMap<>();

    /** Who leaves, with the time at which each said so last. */
    private final Map<String, Long> leaversLastContactUs = new TreeMap<>();

    /** Those of them whose grace period runs out. */
    private final Set<String> urgentLeavers = new TreeSet<>();

    private int minimumRosterSize = Integer.MAX_VALUE;
    private long handoverSentUs;

    Membership(MemberContext member) {
        this.member = member;
    }

    void setMinimumRosterSize(int members) {
        minimumRosterSize = members;
    }

    // ---- notifications

    /** This member heads no view any more: what it had noted as its head is void. */
    void clear() {
        missingSinceUs.clear();
        leaversLastContactUs.clear();
        urgentLeavers.clear();
    }

    /** A view was formed, in which these members said with their promise that they leave. */
    void onViewFormed(Set<String> leaving) {
        newcomers.clear();
        leaversLastContactUs.clear();
        urgentLeavers.clear();
        leaving.forEach(address -> leaversLastContactUs.put(address, member.nowUs()));
    }

    /** Someone outside the chain wants to join. */
    void onJoinRequest(String from) {
        var newcomer = newcomers.computeIfAbsent(from, address -> new Newcomer());
        if (isExpired(newcomer)) {
            newcomer.firstUs = member.nowUs();
        }
        newcomer.lastUs = member.nowUs();
    }

    /**
     * A member asks, for the first time or again, to be let go; urgently, once its grace period
     * runs out.
     */
    void onLeaveRequest(String leaver, boolean urgent) {
        leaversLastContactUs.put(leaver, member.nowUs());
        if (urgent) {
            urgentLeavers.add(leaver);
        }
    }

    // ---- what is to be done

    /** Who is to be in the next view beside the roster. */
    Set<String> toJoin() {
        var joining = new TreeSet<String>();
        newcomers.forEach(
                (address, newcomer) -> {
                    if (isSteady(newcomer) && !isExpired(newcomer)) {
                        joining.add(address);
                    }
                });
        chain().stream().filter(address -> !isLeaving(address)).forEach(joining::add);
        return joining;
    }

    /** The next step, one at a time. */
    MembershipStep next() {
        refresh();
        var removed = missingToRemove().or(this::leaverToRemove);
        if (removed.isPresent()) {
            return change(new RemoveMember(removed.get()));
        }
        if (mayReleaseLeavers() && !isLeaving(member.address())) {
            return START_VIEW;
        }
        var added = toAdd();
        if (added.isPresent()) {
            return change(new AddMember(added.get()));
        }
        var isSettled = member.nowUs() - member.view().sinceUs() >= VIEW_SETTLES_US;
        return isSettled && someoneWaitsOutside() ? START_VIEW : NO_STEP;
    }

    /**
     * The member that is to begin the next view instead of this head, which leaves; named again and
     * again until it does.
     */
    Optional<String> handOverTo() {
        refresh();
        if (!isLeaving(member.address())
                || !mayReleaseLeavers()
                || missingToRemove().isPresent()
                || member.nowUs() - handoverSentUs <= HANDOVER_INTERVAL_US) {
            return Optional.empty();
        }
        handoverSentUs = member.nowUs();
        return Optional.of(staying().get(0));
    }

    private static MembershipStep change(MembershipCommand command) {
        return new MembershipStep.ChangeRoster(StampedCommand.of(command));
    }

    private List<String> chain() {
        return member.view().chain();
    }

    private List<String> roster() {
        return member.state().roster().members();
    }

    private boolean isDeparted(String address) {
        return member.state().roster().departed().contains(address);
    }

    private boolean isLeaving(String address) {
        return leaversLastContactUs.containsKey(address);
    }

    private void refresh() {
        missingSinceUs
                .keySet()
                .removeIf(
                        address ->
                                chain().contains(address)
                                        || !roster().contains(address)
                                        || newcomers.containsKey(address));
        roster().stream()
                .filter(address -> !chain().contains(address))
                .forEach(address -> missingSinceUs.putIfAbsent(address, member.nowUs()));
        leaversLastContactUs
                .values()
                .removeIf(contactUs -> member.nowUs() - contactUs > LEAVER_EXPIRES_US);
        if (member.departure().isLeaving()) {
            leaversLastContactUs.put(member.address(), member.nowUs());
        }
    }

    // ---- newcomers

    /**
     * A member of the chain that is not in the roster, or is marked there as departed though it is
     * back. While an even roster misses a member, nobody new is added before that one is removed or
     * back: each successor takes one place.
     */
    private Optional<String> toAdd() {
        var vacancy = roster().size() % 2 == 0 && !missingSinceUs.isEmpty();
        return chain().stream()
                .filter(address -> !isLeaving(address))
                .filter(address -> roster().contains(address) ? isDeparted(address) : !vacancy)
                .findFirst();
    }

    private boolean someoneWaitsOutside() {
        newcomers.values().removeIf(this::isExpired);
        return newcomers.entrySet().stream()
                .anyMatch(entry -> isSteady(entry.getValue()) && !chain().contains(entry.getKey()));
    }

    private boolean isSteady(Newcomer newcomer) {
        return member.nowUs() - newcomer.firstUs >= NEWCOMER_STEADY_US;
    }

    private boolean isExpired(Newcomer newcomer) {
        return member.nowUs() - newcomer.lastUs > NEWCOMER_EXPIRES_US;
    }

    // ---- those that leave in order

    /** Members of the chain that leave and whose leaving is written down. */
    private List<String> departing() {
        return chain().stream()
                .filter(
                        address ->
                                isLeaving(address)
                                        && (!roster().contains(address) || isDeparted(address)))
                .toList();
    }

    private List<String> staying() {
        return chain().stream()
                .filter(address -> roster().contains(address) && !isLeaving(address))
                .toList();
    }

    /**
     * Whether those that leave are let go by a new view without them: those that stay are a
     * majority of the roster. A head that leaves has another member begin that view.
     */
    private boolean mayReleaseLeavers() {
        return !departing().isEmpty() && staying().size() * 2 > roster().size();
    }

    /**
     * When those that stay are no majority of the roster, a leaver waits for others to come back or
     * to join. When it is urgent, the roster shrinks: by members that left before, then by a
     * leaver, for as long as the invariant holds. If all leave, the roster stays as it is.
     */
    private Optional<String> leaverToRemove() {
        var departing = departing();
        if (staying().isEmpty()
                || mayReleaseLeavers()
                || departing.stream().noneMatch(urgentLeavers::contains)) {
            return Optional.empty();
        }
        var leftBefore =
                roster().stream()
                        .filter(address -> !chain().contains(address) && isDeparted(address))
                        .findFirst();
        return leftBefore.or(
                () ->
                        departing.stream()
                                .filter(
                                        address ->
                                                roster().contains(address)
                                                        && isMajorityWithout(address))
                                .findFirst());
    }

    private boolean isMajorityWithout(String leaver) {
        var others =
                chain().stream()
                        .filter(address -> !address.equals(leaver) && roster().contains(address))
                        .count();
        return others * 2 > roster().size() - 1;
    }

    // ---- those that are missing

    /**
     * Who is missing from the chain and can be spared. An even roster spares one at once: a
     * majority of n members, n even, holds a majority of any n - 1 of them, so that whoever could
     * go on with the larger roster can go on with the smaller, and fewer are needed. So a
     * successor, which makes an odd roster even, takes the place of a dead member in the same or
     * the next write, and a zone that is merely cut off from an odd roster and was not replaced is
     * never removed. Who left in order is removed after a while, too, if the majority then needs
     * fewer members, and anybody after REMOVE_ABSENT_AFTER_US.
     *
     * <p>A wrong guess (a member that was only cut off) is safe: it is outside the chain, so it
     * neither acknowledges nor is needed; it cannot form a view, since a majority of its older
     * roster holds a member that knows the newer one; it hears the announcements of the head when
     * it is back, and joins as a newcomer does.
     */
    private Optional<String> missingToRemove() {
        return missingSinceUs.entrySet().stream()
                .filter(entry -> canBeSpared(entry.getKey(), member.nowUs() - entry.getValue()))
                .min(
                        Comparator.<Map.Entry<String, Long>, Boolean>comparing(
                                        entry -> !isDeparted(entry.getKey()))
                                .thenComparing(Map.Entry::getValue))
                .map(Map.Entry::getKey);
    }

    private boolean canBeSpared(String address, long missingForUs) {
        var size = roster().size();
        if (size % 2 == 0) {
            return missingForUs >= REMOVE_MISSING_AFTER_US;
        }
        var present = (int) chain().stream().filter(roster()::contains).count();
        if (isDeparted(address)
                && missingForUs >= REMOVE_DEPARTED_AFTER_US
                && size > present + 1 - present % 2) {
            return true;
        }
        return missingForUs > REMOVE_ABSENT_AFTER_US
                && size > minimumRosterSize
                && present >= minimumRosterSize;
    }
}
