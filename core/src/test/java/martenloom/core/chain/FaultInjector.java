package martenloom.core.chain;

import java.util.List;

/** Injects faults of random kinds into a simulated chain, and ends some of them again. */
final class FaultInjector {
    private static final int KINDS_OF_FAULTS = 9;
    private static final double MAX_LOSS_PROBABILITY = 0.2;

    private final ChainSimulation simulation;

    FaultInjector(ChainSimulation simulation) {
        this.simulation = simulation;
    }

    /** One fault of a random kind at a random machine, or the end of such. */
    void inject() {
        var present = List.copyOf(simulation.addresses());
        var member = anyOf(present);
        switch (simulation.nextInt(KINDS_OF_FAULTS)) {
            case 0 -> crashOrWipe(member);
            case 1 -> cutOff(member, present);
            case 2 -> simulation.network().restoreAll();
            case 3 ->
                    simulation
                            .network()
                            .setLossProbability(simulation.nextDouble() * MAX_LOSS_PROBABILITY);
            case 4 -> crashMost();
            case 5 -> simulation.shutDown(member, simulation.nextBoolean());
            case 6 -> {
                simulation.shutDown(member, true);
                simulation.shutDown(anyOf(present), true);
            }
            case 7 -> replace(member);
            default -> simulation.network().setLossProbability(0);
        }
    }

    private SimulatedMember anyOf(List<String> present) {
        return simulation.member(present.get(simulation.nextInt(present.size())));
    }

    private void crashOrWipe(SimulatedMember member) {
        if (!member.isUp()) {
            return;
        }
        if (simulation.nextBoolean() && simulation.mayLoseADisk()) {
            simulation.crashAndWipe(member);
        } else {
            simulation.crash(member);
        }
    }

    /** Cuts all links from a member, and some of those to it. */
    private void cutOff(SimulatedMember member, List<String> present) {
        for (var other : present) {
            simulation.network().cutOneWay(member.address(), other);
            if (simulation.nextBoolean()) {
                simulation.network().cutOneWay(other, member.address());
            }
        }
    }

    private void crashMost() {
        for (var member : simulation.members()) {
            if (member.isUp() && !simulation.oneIn(3)) {
                simulation.crash(member);
            }
        }
    }

    private void replace(SimulatedMember member) {
        if (simulation.mayLoseADisk()) {
            simulation.destroy(member);
            simulation.addMachine();
        }
    }
}
