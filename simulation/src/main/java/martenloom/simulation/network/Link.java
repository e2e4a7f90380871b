package martenloom.simulation.network;

import java.util.Comparator;

/** An ordered pair of addresses: one direction between two machines. */
record Link(String from, String to) {
    static final Comparator<Link> BY_ADDRESS =
            Comparator.comparing(Link::from).thenComparing(Link::to);

    Link reversed() {
        return new Link(to, from);
    }
}
