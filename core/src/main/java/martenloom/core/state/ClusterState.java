package martenloom.core.state;

import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.core.state.Command.ConfigurationCommand;
import martenloom.core.state.Command.EvacuationCommand;
import martenloom.core.state.Command.GrantLease;
import martenloom.core.state.Command.JobCommand;
import martenloom.core.state.Command.MembershipCommand;
import martenloom.core.state.Command.ReadConfiguration;
import martenloom.core.state.Command.ScalingCommand;
import martenloom.core.state.Command.SetPlacement;
import martenloom.core.state.Command.SetReplicaCount;

/**
 * What the core replicates: an immutable snapshot made of one part for each subject. Each part owns
 * its rules; {@link #decide} is the only way from one state to the next, and every member comes to
 * the same one, since a decision depends on nothing but the state and the stamped command.
 *
 * @param edition the number of changes that led here; every change raises it by one
 */
public record ClusterState(
        long edition,
        MemberRoster roster,
        ConfigurationState configuration,
        EvacuationState evacuations,
        LeaseTable leases,
        JobTable jobs,
        ScalingState scaling) {
    private static final String EVACUATION = "evacuation/";
    private static final String PLACEMENT = "placement/";
    private static final String SCALING = "scaling/";

    /** The state that a core with these members begins with. */
    public static ClusterState founded(List<String> members) {
        return new ClusterState(
                0,
                MemberRoster.of(members),
                ConfigurationState.NONE,
                EvacuationState.NONE,
                LeaseTable.EMPTY,
                JobTable.EMPTY,
                ScalingState.NONE);
    }

    // ---- commands

    /**
     * The command as accepted by a daemon that has committed this state: an operator's order
     * carries the version of what it changes.
     */
    public StampedCommand accepted(Command command) {
        var stamped = StampedCommand.of(command);
        if (command instanceof EvacuationCommand order) {
            return stamped.acceptedOn(evacuations.versions().of(order.zone()));
        }
        if (command instanceof SetPlacement order) {
            return stamped.acceptedOn(scaling.placementVersions().of(order.deployment()));
        }
        return stamped;
    }

    /** What a command comes to in this state. */
    public CommandResult<ClusterState> decide(StampedCommand stamped) {
        var command = stamped.command();
        if (command instanceof ReadConfiguration) {
            return configuration.read();
        } else if (command instanceof ConfigurationCommand change) {
            return configuration.decide(change).map(this::with);
        } else if (command instanceof EvacuationCommand order) {
            return evacuations.decide(order, stamped.acceptedVersion()).map(this::with);
        } else if (command instanceof GrantLease grant) {
            return leases.decide(grant).map(this::with);
        } else if (command instanceof MembershipCommand change) {
            return roster.decide(change).map(this::with);
        } else if (command instanceof ScalingCommand order) {
            return decideScaling(order, stamped).map(this::with);
        }
        return jobs.decide((JobCommand) command, stamped.jobClockUs(), leases).map(this::with);
    }

    private CommandResult<ScalingState> decideScaling(
            ScalingCommand order, StampedCommand stamped) {
        var evidence = new ScalingState.Evidence(stamped.survey(), configuration.routingText());
        return order instanceof SetReplicaCount count
                ? scaling.decide(count, leases, evidence)
                : scaling.decide((SetPlacement) order, stamped.acceptedVersion(), evidence);
    }

    private ClusterState with(ConfigurationState next) {
        return new ClusterState(edition + 1, roster, next, evacuations, leases, jobs, scaling);
    }

    private ClusterState with(EvacuationState next) {
        return new ClusterState(edition + 1, roster, configuration, next, leases, jobs, scaling);
    }

    private ClusterState with(LeaseTable next) {
        return new ClusterState(
                edition + 1, roster, configuration, evacuations, next, jobs, scaling);
    }

    private ClusterState with(MemberRoster next) {
        return new ClusterState(
                edition + 1, next, configuration, evacuations, leases, jobs, scaling);
    }

    private ClusterState with(JobTable next) {
        return new ClusterState(
                edition + 1, roster, configuration, evacuations, leases, next, scaling);
    }

    private ClusterState with(ScalingState next) {
        return new ClusterState(
                edition + 1, roster, configuration, evacuations, leases, jobs, next);
    }

    // ---- encoding

    /** The encoded state, complete; {@link #of} decodes it. */
    public byte[] bytes() {
        return bytes(Integer.MAX_VALUE);
    }

    /** The encoded state with the contents of jobs empty that are larger than this. */
    byte[] bytes(int largestContent) {
        var out = new RecordWriter().i64(edition).texts(roster.members());
        configuration.write(out);
        out.texts(evacuations.zones());
        leases.write(out);
        jobs.write(out, largestContent);
        scaling.writeTargets(out);
        writeVersions(out);
        out.texts(roster.departed());
        jobs.writeExtensions(out);
        return out.bytes();
    }

    /** Decodes a state. */
    public static ClusterState of(byte[] encoded) {
        var in = new RecordReader(encoded, false);
        var edition = in.i64();
        var members = List.copyOf(in.texts());
        var configuration = ConfigurationState.read(in);
        var zones = new TreeSet<>(in.texts());
        var leases = LeaseTable.read(in);
        var jobs = JobTable.read(in);
        var targets = ScalingState.readTargets(in);
        var versions = new TreeMap<String, Long>();
        in.list(reader -> versions.put(reader.text(), reader.i64()));
        var departed = new TreeSet<>(in.texts());
        jobs.readExtensions(in);
        return new ClusterState(
                edition,
                new MemberRoster(members, departed),
                configuration,
                new EvacuationState(zones, versions(versions, EVACUATION)),
                leases,
                jobs,
                new ScalingState(
                        targets, versions(versions, PLACEMENT), versions(versions, SCALING)));
    }

    /** The versions of all parts stand in one list that is sorted, as their prefixes are. */
    private void writeVersions(RecordWriter out) {
        var zones = evacuations.versions();
        var placements = scaling.placementVersions();
        var scalers = scaling.scalerOrders();
        out.i32(
                zones.bySubject().size()
                        + placements.bySubject().size()
                        + scalers.bySubject().size());
        zones.write(out, EVACUATION);
        placements.write(out, PLACEMENT);
        scalers.write(out, SCALING);
    }

    private static OrderVersions versions(TreeMap<String, Long> all, String prefix) {
        var versions = new TreeMap<String, Long>();
        all.forEach(
                (subject, version) -> {
                    if (subject.startsWith(prefix)) {
                        versions.put(subject.substring(prefix.length()), version);
                    }
                });
        return new OrderVersions(versions);
    }
}
