package martenloom.simulation.cluster;

import martenloom.core.chain.MemberRole;
import martenloom.core.state.Command.MarkDeparting;
import martenloom.core.state.Command.Urgency;
import martenloom.core.state.StampedCommand;

/**
 * What a member does after SIGTERM: has itself removed from the chain, repeating the command until
 * it is acknowledged, and ends when the chain can do without it.
 */
final class GracefulShutdown {
    /** As the core daemon has it with a grace period of 8 s. */
    private static final long URGENT_AFTER_US = 3_600_000;

    private static final long REPEAT_US = 200_000;

    private final SimulatedMember member;
    private final CommandForwarder forwarder;
    private boolean started;
    private boolean acknowledged;
    private long startedAtUs;

    GracefulShutdown(SimulatedMember member, CommandForwarder forwarder) {
        this.member = member;
        this.forwarder = forwarder;
    }

    boolean isStarted() {
        return started;
    }

    /** Starts to leave, unless that has begun before. */
    void start(Runnable onEnd) {
        if (!started) {
            started = true;
            startedAtUs = member.nowUs();
            member.chain().startLeaving(member.nowUs());
            leave(onEnd);
        }
    }

    private void leave(Runnable onEnd) {
        if (mayEnd()) {
            onEnd.run();
            return;
        }
        var urgent = member.nowUs() - startedAtUs >= URGENT_AFTER_US;
        var urgency = urgent ? Urgency.IMMEDIATE : Urgency.CAN_WAIT;
        var command = StampedCommand.of(new MarkDeparting(member.address(), urgency));
        forwarder.forward(command, reply -> acknowledged |= reply.isSuccess());
        member.after(REPEAT_US, () -> leave(onEnd));
    }

    private boolean mayEnd() {
        var chain = member.chain();
        var announced = acknowledged || chain.role() == MemberRole.LEARNER;
        return announced && chain.mayTerminate(member.nowUs());
    }
}
