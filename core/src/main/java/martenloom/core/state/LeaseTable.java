package martenloom.core.state;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.core.state.Command.GrantLease;

/**
 * The newest lease of each role. How long a lease runs is not part of the state. Immutable.
 *
 * <p>Invariant: the fencing token of a role rises by one with each grant, and each token is granted
 * to one holder only.
 *
 * @param byRole the leases in the order of their roles
 */
public record LeaseTable(Map<String, RoleLease> byRole) {
    /** No role was granted yet. */
    static final LeaseTable EMPTY = new LeaseTable(Map.of());

    private static final RoleLease NEVER_GRANTED = new RoleLease("", 0);

    /** The newest lease of a role. */
    public Optional<RoleLease> find(String role) {
        return Optional.ofNullable(byRole.get(role));
    }

    /** The newest fencing token of a role; 0 if it was never granted. */
    public long newestToken(String role) {
        return byRole.getOrDefault(role, NEVER_GRANTED).fencingToken();
    }

    /** Whether a candidate is the holder of a role. */
    public boolean isHeldBy(String role, String candidate) {
        var lease = byRole.get(role);
        return lease != null && lease.holder().equals(candidate);
    }

    /** Whether a newer lease of this role is known than the one with this token. */
    public boolean isSuperseded(String role, long fencingToken) {
        return newestToken(role) > fencingToken;
    }

    /** Whether this token is the one of the newest lease of a role. */
    boolean isInForce(String role, long fencingToken) {
        var lease = byRole.get(role);
        return lease != null && lease.fencingToken() == fencingToken;
    }

    /**
     * Grants a role to a candidate. The pair of candidate and predecessor identifies the attempt:
     * the same again yields the same lease and writes nothing, and one whose predecessor is no
     * longer the newest lease is refused.
     */
    CommandResult<LeaseTable> decide(GrantLease grant) {
        var role = grant.role();
        var newest = byRole.getOrDefault(role, NEVER_GRANTED);
        var token = grant.predecessorToken() + 1;
        if (newest.fencingToken() == token && newest.holder().equals(grant.candidate())) {
            return CommandResult.unchanged(String.valueOf(token));
        }
        if (newest.fencingToken() != grant.predecessorToken()) {
            return CommandResult.conflict(
                    "fence: grant "
                            + grant.predecessorToken()
                            + " of "
                            + role
                            + " is not the newest, "
                            + newest.fencingToken()
                            + " is");
        }
        var next = new TreeMap<>(byRole);
        next.put(role, new RoleLease(grant.candidate(), token));
        return CommandResult.changed(new LeaseTable(next), String.valueOf(token));
    }

    void write(RecordWriter out) {
        out.list(
                byRole.entrySet(),
                (writer, entry) ->
                        writer.text(entry.getKey())
                                .i64(entry.getValue().fencingToken())
                                .text(entry.getValue().holder()));
    }

    static LeaseTable read(RecordReader in) {
        var leases = new TreeMap<String, RoleLease>();
        in.list(
                reader -> {
                    var role = reader.text();
                    var fencingToken = reader.i64();
                    return leases.put(role, new RoleLease(reader.text(), fencingToken));
                });
        return new LeaseTable(leases);
    }
}
