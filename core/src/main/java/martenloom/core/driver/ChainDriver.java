package martenloom.core.driver;

import io.activej.eventloop.Eventloop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import martenloom.common.clock.Clocks;
import martenloom.common.log.RingLog;
import martenloom.core.chain.ChainEffect;
import martenloom.core.chain.ChainMember;
import martenloom.core.forwarding.CommandSubmitter;
import martenloom.core.peer.CorePeerLinks;
import martenloom.core.state.ClusterState;
import martenloom.core.state.ResultCode;
import martenloom.core.state.StampedCommand;

/**
 * Drives the chain member of this daemon: hands it time, records and commands, and carries out what
 * it asks for in return, here and nowhere else. Runs on the reactor thread.
 */
public final class ChainDriver implements CommandSubmitter {
    private final Eventloop loop;
    private final ChainMember chain;
    private final MemberStateStore store;
    private final CorePeerLinks peers;
    private final Consumer<ClusterState> onCommitted;

    /**
     * The callers of this daemon that wait for the chain's answer, by the number of the request.
     */
    private final Map<Long, BiConsumer<ResultCode, String>> callers = new HashMap<>();

    private long lastRequest;

    /**
     * @param onCommitted is called with every newer state that is known to be committed
     */
    public ChainDriver(
            Eventloop loop,
            ChainMember chain,
            MemberStateStore store,
            CorePeerLinks peers,
            Consumer<ClusterState> onCommitted) {
        this.loop = loop;
        this.chain = chain;
        this.store = store;
        this.peers = peers;
        this.onCommitted = onCommitted;
    }

    /** Submits a command to the chain member of this daemon, which has to be the head. */
    @Override
    public void submit(StampedCommand command, BiConsumer<ResultCode, String> reply) {
        var request = ++lastRequest;
        callers.put(request, reply);
        chain.submit(Clocks.nowUs(), request, command);
        loop.post(this::carryOut);
    }

    /** Whether callers of this daemon still wait for an answer. */
    public boolean hasCallers() {
        return !callers.isEmpty();
    }

    /** A record of the chain has come in from another member. */
    public void onRecord(String from, byte[] record) {
        chain.onMessage(Clocks.nowUs(), from, record);
        carryOut();
    }

    /** Lets the chain member see the time. */
    public void tick(long nowUs) {
        chain.setKnownMembers(peers.dialed());
        chain.onTick(nowUs);
        carryOut();
    }

    /** Carries out everything that the chain member asks for at the moment. */
    public void carryOut() {
        for (var outputs = chain.drainEffects();
                !outputs.isEmpty();
                outputs = chain.drainEffects()) {
            outputs.forEach(this::carryOut);
        }
    }

    private void carryOut(ChainEffect output) {
        if (output instanceof ChainEffect.SendMessage send) {
            peers.dial(send.to());
            peers.send(send.to(), send.record());
        } else if (output instanceof ChainEffect.PersistState write) {
            store(write);
        } else if (output instanceof ChainEffect.CompleteRequest answer) {
            Optional.ofNullable(callers.remove(answer.request()))
                    .ifPresent(reply -> reply.accept(answer.code(), answer.text()));
        } else if (output instanceof ChainEffect.StateCommitted committed) {
            onCommitted(committed.state());
        }
    }

    private void store(ChainEffect.PersistState write) {
        loop.startExternalTask();
        store.writeAsync(
                write.memberState(),
                () -> {
                    loop.execute(() -> onStored(write.token()));
                    loop.completeExternalTask();
                });
    }

    private void onStored(long token) {
        chain.onPersisted(Clocks.nowUs(), token);
        carryOut();
    }

    private void onCommitted(ClusterState state) {
        RingLog.debug(
                "committed edition "
                        + state.edition()
                        + " revision "
                        + state.configuration().revision()
                        + " in view "
                        + chain.view());
        peers.dialAll(state.roster().members());
        onCommitted.accept(state);
    }
}
