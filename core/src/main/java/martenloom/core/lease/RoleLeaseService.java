package martenloom.core.lease;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.core.chain.ChainMember;
import martenloom.core.forwarding.CommandSubmitter;
import martenloom.core.state.ClusterState;

/**
 * The duty leases, kept by the head: a grant is written through the chain, a renewal needs a
 * heartbeat that came after it. Another candidate is written only when the holder was not heard for
 * longer than any lease of it can run.
 */
public final class RoleLeaseService {
    public static final long LEASE_US = 2_500_000;
    private static final long WAIT_US = 3_200_000;

    private record Want(String key, String holder, long stamp, Consumer<byte[]> reply, long atUs) {}

    private final ChainMember chain;
    private final CommandSubmitter ask;
    private final LongSupplier clockUs;
    private final Map<String, Want> wants = new TreeMap<>();
    private final Map<String, Long> renewed = new HashMap<>();
    private final Set<String> writing = new HashSet<>();

    public RoleLeaseService(ChainMember c, CommandSubmitter ask, LongSupplier clockUs) {
        chain = c;
        this.ask = ask;
        this.clockUs = clockUs;
    }

    /** A candidate wants a duty; the record that grants it is given to the reply. */
    public void want(String key, String holder, long stamp, Consumer<byte[]> reply) {
        var d = Optional.ofNullable(chain.committed().duties.get(key));
        var held = wants.get(key);
        if (held != null
                && d.isPresent()
                && held.holder.equals(d.get().holder)
                && !holder.equals(held.holder)) {
            return;
        }
        wants.put(key, new Want(key, holder, stamp, reply, clockUs.getAsLong()));
    }

    public void tick(long now) {
        if (!chain.heading()) {
            wants.clear();
            renewed.clear();
            return;
        }
        for (var w : List.copyOf(wants.values())) {
            if (writing.contains(w.key)) {
                // Its outcome decides who is renewed: until then the committed holder may be out.
                continue;
            }
            var d = Optional.ofNullable(chain.committed().duties.get(w.key));
            if (d.isPresent() && d.get().holder.equals(w.holder)) {
                if (chain.provenUs() > w.atUs) {
                    renewed.put(w.key, now);
                    wants.remove(w.key);
                    grant(w, d.get().grant);
                }
            } else if (d.isEmpty()
                    || now - Math.max(renewed.getOrDefault(w.key, 0L), chain.headingSinceUs())
                            > WAIT_US) {
                wants.remove(w.key);
                write(w);
            } else if (now - w.atUs > LEASE_US) {
                wants.remove(w.key);
            }
        }
    }

    private void write(Want w) {
        if (writing.add(w.key)) {
            var newest =
                    Optional.ofNullable(chain.committed().duties.get(w.key))
                            .map(d -> d.grant)
                            .orElse(0L);
            ask.submit(
                    new ClusterState.Change(ClusterState.Act.DUTY, newest, w.key, w.holder),
                    (s, t) -> {
                        writing.remove(w.key);
                        if (s == 200) {
                            renewed.put(w.key, clockUs.getAsLong());
                            grant(w, Long.parseLong(t));
                        }
                    });
        }
    }

    private static void grant(Want w, long g) {
        w.reply.accept(
                new RecordWriter(RecordType.LEASE_GRANT)
                        .text(w.holder)
                        .text(w.key)
                        .i64(g)
                        .i64(w.stamp)
                        .i64(LEASE_US)
                        .bytes());
    }
}
