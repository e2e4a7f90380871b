package martenloom.core.chain;

import java.util.Collection;
import java.util.List;
import java.util.TreeSet;
import martenloom.core.chain.ChainMember.Committed;
import martenloom.core.chain.ChainMember.Mode;
import martenloom.core.state.ClusterState;

/**
 * What a head tells all outside its chain, and what they do with it: they say that they are here,
 * and fetch the committed state.
 */
final class NewsExchange {
    private static final long PULL_US = 1_000_000;

    private final MemberContext member;
    private final ReadBarrier barrier;
    private final Membership membership;
    private List<String> known = List.of();
    private long sentUs;
    private long pulledUs;

    NewsExchange(MemberContext member, ReadBarrier barrier, Membership membership) {
        this.member = member;
        this.barrier = barrier;
        this.membership = membership;
        pulledUs = member.nowUs - PULL_US;
    }

    void setKnown(Collection<String> cores) {
        known = List.copyOf(cores);
    }

    long sentUs() {
        return sentUs;
    }

    /** From the head to all that it knows outside its chain. */
    void send() {
        sentUs = member.nowUs;
        var outside = new TreeSet<>(known);
        outside.addAll(member.state().roster().members());
        outside.removeAll(member.chain);
        var news =
                new ChainMessage.News(
                        member.view,
                        member.chain,
                        member.committed.edition(),
                        member.nowUs - barrier.provenUs());
        outside.forEach(m -> member.send(m, news));
    }

    void onNews(String from, ChainMessage.News news) {
        var isOld = news.ballot().compareTo(member.promised()) < 0 && member.mode != Mode.LEARNING;
        if (isOld || member.heading() || member.mode == Mode.STARTING) {
            if (!member.leaving) {
                member.send(from, new ChainMessage.Here(member.promised().n()));
            }
            return;
        }
        member.headSeen = news.chain().get(0);
        member.chainSeen = news.chain();
        member.heardOf(news.ballot().n());
        member.told(news.proofAgeUs());
        if (news.edition() > member.committed.edition() && member.nowUs - pulledUs >= PULL_US) {
            pulledUs = member.nowUs;
            member.send(from, new ChainMessage.Pull(member.committed.edition()));
        }
        if (member.leaving) {
            member.released = !news.chain().contains(member.me);
        } else {
            member.send(from, new ChainMessage.Here(0));
        }
    }

    void onHere(String from, ChainMessage.Here here) {
        member.heardOf(here.promised());
        if (member.heading() && !member.chain.contains(from)) {
            membership.onHere(from);
        }
    }

    void onPull(String from, ChainMessage.Pull pull) {
        if (member.committed.edition() > pull.edition()) {
            member.send(from, new ChainMessage.Snapshot(member.committed.bytes()));
        }
    }

    void onSnapshot(ChainMessage.Snapshot snapshot) {
        var state = ClusterState.of(snapshot.state());
        if (state.edition() > member.committed.edition()) {
            member.committed = state;
            member.output.add(new Committed(state));
        }
    }
}
