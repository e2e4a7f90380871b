package martenloom.core.tally;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Which peers are in contact, both ways, and what each holds durably. A peer is in contact until it
 * has left the probes of several rounds in a row unanswered. Rounds are counted, not time: a daemon
 * that was frozen must not take its peers for cut off when it goes on. Not thread-safe.
 */
final class PeerContacts {
    /** After so many rounds without an answer a peer is out of contact. */
    static final int MAX_MISSED_ROUNDS = 3;

    private final Map<String, Peer> peers = new TreeMap<>();
    private long round;

    private static final class Peer {
        private Location location;
        private boolean answered = true;
        private int missedRounds;
        private VersionVector held = new VersionVector();

        /** What it held when it answered for the first time. */
        private Optional<VersionVector> firstHeld = Optional.empty();

        Peer(String ip) {
            location = Location.unknown(ip);
        }

        boolean isInContact() {
            return missedRounds < MAX_MISSED_ROUNDS;
        }
    }

    /** Begins a round of probes to these peers; gives its number. */
    long beginRound(Set<String> ips) {
        peers.keySet().retainAll(ips);
        for (var ip : ips) {
            var peer = peers.computeIfAbsent(ip, Peer::new);
            peer.missedRounds = peer.answered ? 0 : peer.missedRounds + 1;
            peer.answered = false;
        }
        return ++round;
    }

    /**
     * A peer has answered a probe.
     *
     * @param held all that it holds
     */
    void onResponse(String ip, long probeRound, Location location, VersionVector held) {
        find(ip).filter(peer -> probeRound > round - MAX_MISSED_ROUNDS)
                .ifPresent(
                        peer -> {
                            peer.answered = true;
                            peer.missedRounds = 0;
                            peer.location = location;
                            peer.held = held;
                            peer.firstHeld = peer.firstHeld.or(() -> Optional.of(held.copy()));
                        });
    }

    /** A peer holds at least so many adds of an origin. */
    void onHeld(String ip, long origin, long count) {
        find(ip).ifPresent(peer -> peer.held.raise(origin, count));
    }

    private Optional<Peer> find(String ip) {
        return Optional.ofNullable(peers.get(ip));
    }

    /** The locations of the peers that hold an add. */
    Collection<Location> holders(AddPosition position) {
        return peers.values().stream()
                .filter(peer -> peer.held.covers(position))
                .map(peer -> peer.location)
                .toList();
    }

    /** The locations of the peers that are in contact or hold an add. */
    Collection<Location> reachable(AddPosition position) {
        return peers.values().stream()
                .filter(peer -> peer.isInContact() || peer.held.covers(position))
                .map(peer -> peer.location)
                .toList();
    }

    /** Whether this covers what each peer in contact held at its first answer. */
    boolean isCoveredBy(VersionVector ownHeld) {
        return peers.values().stream()
                .filter(Peer::isInContact)
                .allMatch(peer -> peer.firstHeld.map(ownHeld::covers).orElse(false));
    }

    /** A line for each peer. */
    List<String> report() {
        var lines = new ArrayList<String>();
        peers.forEach(
                (ip, peer) ->
                        lines.add(
                                ip
                                        + " "
                                        + peer.location.zone()
                                        + (peer.isInContact() ? " in-contact" : " out-of-contact")
                                        + " missed "
                                        + peer.missedRounds
                                        + " holds "
                                        + peer.held));
        return lines;
    }
}
