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
     * A member of an odd roster that was missed for so long, by one head all the time, goes though
     * nobody replaced it.
     */
    static final long GONE_US = 120_000_000;

    /** So long someone outside the chain is heard before a new view is begun for it. */
    private static final long HEARD_US = 300_000;

    /** Who was not heard for so long is outside no more. */
    private static final long OUTSIDE_EXPIRES_US = 1_000_000;

    private static final long MISSING_US = 1_000_000;
    private static final long DEPARTED_US = 10_000_000;
    private static final long LEAVER_EXPIRES_US = 3_000_000;
    private static final long HANDOVER_AGAIN_US = 150_000;

    /** What is to be done next. */
    sealed interface Step permits Change, NewView, Nothing {}

    /** A change of the roster by one member, as an order like any other. */
    record Change(StampedCommand change) implements Step {}

    /** A new view: with those that stand outside, or without those that leave. */
    record NewView() implements Step {}

    /** All is as it should be, or has to wait. */
    record Nothing() implements Step {}

    private static final class Seen {
        private long firstUs;
        private long lastUs;
    }

    private final MemberContext member;
    private final Map<String, Seen> outside = new TreeMap<>();
    private final Map<String, Long> missingSinceUs = new TreeMap<>();
    private final Map<String, Long> leaversHeardUs = new TreeMap<>();
    private int leastRoster = Integer.MAX_VALUE;
    private final Set<String> urgentLeavers = new TreeSet<>();
    private long handoverSentUs;

    Membership(MemberContext member) {
        this.member = member;
    }

    void setLeastRoster(int members) {
        leastRoster = members;
    }

    /** This member heads no view any more: what it had noted as its head is void. */
    void clear() {
        missingSinceUs.clear();
        leaversHeardUs.clear();
        urgentLeavers.clear();
    }

    /** A view was formed, in which these members said with their promise that they leave. */
    void onFormed(Set<String> leaving) {
        outside.clear();
        leaversHeardUs.clear();
        urgentLeavers.clear();
        leaving.forEach(m -> leaversHeardUs.put(m, member.nowUs));
    }

    /** Someone outside the chain wants to join. */
    void onHere(String from) {
        var seen = outside.computeIfAbsent(from, k -> new Seen());
        if (member.nowUs - seen.lastUs > OUTSIDE_EXPIRES_US) {
            seen.firstUs = member.nowUs;
        }
        seen.lastUs = member.nowUs;
    }

    /**
     * A member asks, for the first time or again, to be let go; urgently, once its grace period
     * runs out.
     */
    void onLeaveAsked(String leaver, boolean urgent) {
        leaversHeardUs.put(leaver, member.nowUs);
        if (urgent) {
            urgentLeavers.add(leaver);
        }
    }

    /** Who is to be in the next view beside the roster. */
    Set<String> candidates() {
        var candidates = new TreeSet<String>();
        outside.forEach(
                (m, seen) -> {
                    if (heardLongEnough(seen) && member.nowUs - seen.lastUs <= OUTSIDE_EXPIRES_US) {
                        candidates.add(m);
                    }
                });
        member.chain.stream().filter(m -> !leaves(m)).forEach(candidates::add);
        return candidates;
    }

    /** The next step, one at a time. */
    Step next() {
        refresh();
        var struck = missingToStrike().or(this::leaverToStrike);
        if (struck.isPresent()) {
            return change(new RemoveMember(struck.get()));
        }
        if (mayLetGo() && !leaves(member.me)) {
            return new NewView();
        }
        var enrolled = toEnrol();
        if (enrolled.isPresent()) {
            return change(new AddMember(enrolled.get()));
        }
        return member.nowUs - member.viewSinceUs >= MemberContext.SETTLE_US && someoneWaitsOutside()
                ? new NewView()
                : new Nothing();
    }

    /**
     * The member that is to begin the next view instead of this head, which leaves; told again and
     * again until it does.
     */
    Optional<String> handOverTo() {
        refresh();
        if (!leaves(member.me)
                || !mayLetGo()
                || missingToStrike().isPresent()
                || member.nowUs - handoverSentUs <= HANDOVER_AGAIN_US) {
            return Optional.empty();
        }
        handoverSentUs = member.nowUs;
        return Optional.of(staying().get(0));
    }

    private static Step change(MembershipCommand command) {
        return new Change(StampedCommand.of(command));
    }

    private List<String> roster() {
        return member.state().roster().members();
    }

    private boolean departed(String m) {
        return member.state().roster().departed().contains(m);
    }

    private boolean leaves(String m) {
        return leaversHeardUs.containsKey(m);
    }

    private void refresh() {
        missingSinceUs
                .keySet()
                .removeIf(
                        m ->
                                member.chain.contains(m)
                                        || !roster().contains(m)
                                        || outside.containsKey(m));
        roster().stream()
                .filter(m -> !member.chain.contains(m))
                .forEach(m -> missingSinceUs.putIfAbsent(m, member.nowUs));
        leaversHeardUs.values().removeIf(t -> member.nowUs - t > LEAVER_EXPIRES_US);
        if (member.leaving) {
            leaversHeardUs.put(member.me, member.nowUs);
        }
    }

    /**
     * A member of the chain that is not in the roster, or is marked there as gone though it is
     * back. While an even roster misses a member, nobody new is enrolled before that one is struck
     * or back: each successor takes one place.
     */
    private Optional<String> toEnrol() {
        var vacancy = roster().size() % 2 == 0 && !missingSinceUs.isEmpty();
        return member.chain.stream()
                .filter(m -> !leaves(m))
                .filter(m -> roster().contains(m) ? departed(m) : !vacancy)
                .findFirst();
    }

    private boolean someoneWaitsOutside() {
        outside.values().removeIf(seen -> member.nowUs - seen.lastUs > OUTSIDE_EXPIRES_US);
        return outside.entrySet().stream()
                .anyMatch(e -> heardLongEnough(e.getValue()) && !member.chain.contains(e.getKey()));
    }

    private boolean heardLongEnough(Seen seen) {
        return member.nowUs - seen.firstUs >= HEARD_US;
    }

    // ---- those that leave in order

    /** Members of the chain that leave and whose leaving is written down. */
    private List<String> going() {
        return member.chain.stream()
                .filter(m -> leaves(m) && (!roster().contains(m) || departed(m)))
                .toList();
    }

    private List<String> staying() {
        return member.chain.stream().filter(m -> roster().contains(m) && !leaves(m)).toList();
    }

    /**
     * Whether those that leave are let go by a new view without them: those that stay are a
     * majority of the roster. A head that leaves has another member begin that view.
     */
    private boolean mayLetGo() {
        return !going().isEmpty() && staying().size() * 2 > roster().size();
    }

    /**
     * When those that stay are no majority of the roster, a leaver waits for others to come back or
     * to join. When it is urgent, the roster shrinks: by members that left before, then by a
     * leaver, for as long as the invariant holds. If all leave, the roster stays as it is.
     */
    private Optional<String> leaverToStrike() {
        var going = going();
        if (staying().isEmpty()
                || mayLetGo()
                || going.stream().noneMatch(urgentLeavers::contains)) {
            return Optional.empty();
        }
        var leftBefore =
                roster().stream().filter(m -> !member.chain.contains(m) && departed(m)).findFirst();
        return leftBefore.or(
                () ->
                        going.stream()
                                .filter(m -> roster().contains(m) && holdsWithout(m))
                                .findFirst());
    }

    private boolean holdsWithout(String leaver) {
        var others =
                member.chain.stream()
                        .filter(m -> !m.equals(leaver) && roster().contains(m))
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
     * never struck. Who left in order is struck after a while, too, if the majority then needs
     * fewer members, and anybody after GONE_US.
     *
     * <p>A wrong guess (a member that was only cut off) is safe: it is outside the chain, so it
     * neither acknowledges nor is needed; it cannot form a view, since a majority of its older
     * roster holds a member that knows the newer one; it hears the news of the head when it is
     * back, and joins as a newcomer does.
     */
    private Optional<String> missingToStrike() {
        return missingSinceUs.entrySet().stream()
                .filter(e -> canBeSpared(e.getKey(), member.nowUs - e.getValue()))
                .min(
                        Comparator.<Map.Entry<String, Long>, Boolean>comparing(
                                        e -> !departed(e.getKey()))
                                .thenComparing(Map.Entry::getValue))
                .map(Map.Entry::getKey);
    }

    private boolean canBeSpared(String m, long missingForUs) {
        var size = roster().size();
        if (size % 2 == 0) {
            return missingForUs >= MISSING_US;
        }
        var present = (int) member.chain.stream().filter(roster()::contains).count();
        if (departed(m) && missingForUs >= DEPARTED_US && size > present + 1 - present % 2) {
            return true;
        }
        return missingForUs > GONE_US && size > leastRoster && present >= leastRoster;
    }
}
