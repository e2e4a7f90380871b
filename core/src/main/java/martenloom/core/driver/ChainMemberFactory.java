package martenloom.core.driver;

import java.security.SecureRandom;
import java.util.Comparator;
import java.util.Optional;
import martenloom.common.clock.Clocks;
import martenloom.common.log.RingLog;
import martenloom.common.settings.Settings;
import martenloom.core.chain.Ballot;
import martenloom.core.chain.ChainMember;
import martenloom.core.chain.PersistentMemberState;
import martenloom.core.peer.SeedNodes;
import martenloom.core.state.ClusterState;
import martenloom.core.storage.VersionedStore;

/**
 * Creates the chain member of a daemon from what its disk holds. A seed node with an empty disk
 * that may bootstrap founds a new state; one with a damaged disk does not, and joins as a learner.
 */
public final class ChainMemberFactory {
    private final Settings settings;
    private final VersionedStore store;

    /** A factory for the one chain member of this daemon. */
    public ChainMemberFactory(Settings settings, VersionedStore store) {
        this.settings = settings;
        this.store = store;
    }

    /**
     * The member with what its disk holds, or with the state of a founder.
     *
     * @param onDisk what was found there
     * @param states takes the state of a founder
     */
    public ChainMember create(Optional<PersistentMemberState> onDisk, MemberStateStore states) {
        var memberState = onDisk;
        if (memberState.isEmpty() && mayFound()) {
            memberState = Optional.of(founded());
            states.write(memberState.get());
        }
        RingLog.debug(
                "core "
                        + settings.nodeName()
                        + " starts, disk "
                        + memberState
                                .map(kept -> "edition " + kept.state().edition())
                                .orElse("empty"));
        var incarnation = new SecureRandom().nextLong();
        var chain =
                new ChainMember(
                        settings.ipAddress(),
                        incarnation,
                        memberState,
                        ownNetworkFirst(),
                        Clocks.nowUs());
        chain.setDowntimeUs(store.downtimeUs());
        chain.setMinimumRosterSize(2 * Math.max(1, settings.toleratedMachineFailures()) + 1);
        return chain;
    }

    private boolean mayFound() {
        return !store.isDamaged()
                && settings.bootstrap()
                && SeedNodes.ips(settings).contains(settings.ipAddress());
    }

    private PersistentMemberState founded() {
        return new PersistentMemberState(
                Ballot.ZERO, Ballot.ZERO, ClusterState.founded(SeedNodes.ips(settings)));
    }

    /**
     * Members of our own network come first down the chain, so that it crosses between regions as
     * rarely as it can.
     */
    private Comparator<String> ownNetworkFirst() {
        var ip = settings.ipAddress();
        var network = ip.substring(0, ip.lastIndexOf('.') + 1);
        return Comparator.<String, Boolean>comparing(member -> !member.startsWith(network))
                .thenComparing(Comparator.naturalOrder());
    }
}
