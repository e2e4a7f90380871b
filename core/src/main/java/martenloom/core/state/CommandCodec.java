package martenloom.core.state;

import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.core.state.Command.AddMember;
import martenloom.core.state.Command.AdvanceJobClock;
import martenloom.core.state.Command.AppendJobOutput;
import martenloom.core.state.Command.CancelJob;
import martenloom.core.state.Command.ConfigurationCommand;
import martenloom.core.state.Command.ConfirmJobResult;
import martenloom.core.state.Command.EvacuationCommand;
import martenloom.core.state.Command.FinishEvacuation;
import martenloom.core.state.Command.FinishJob;
import martenloom.core.state.Command.GetJob;
import martenloom.core.state.Command.GetJobResult;
import martenloom.core.state.Command.GrantLease;
import martenloom.core.state.Command.JobRunnerCommand;
import martenloom.core.state.Command.ListJobs;
import martenloom.core.state.Command.MarkDeparting;
import martenloom.core.state.Command.MembershipCommand;
import martenloom.core.state.Command.OneJobCommand;
import martenloom.core.state.Command.Placing;
import martenloom.core.state.Command.ReadConfiguration;
import martenloom.core.state.Command.ReadJobResult;
import martenloom.core.state.Command.RemoveMember;
import martenloom.core.state.Command.ReplaceConfiguration;
import martenloom.core.state.Command.ReturnJob;
import martenloom.core.state.Command.SetPlacement;
import martenloom.core.state.Command.SetReplicaCount;
import martenloom.core.state.Command.StartEvacuation;
import martenloom.core.state.Command.StartJob;
import martenloom.core.state.Command.SubmitJob;
import martenloom.core.state.Command.UpdateConfiguration;
import martenloom.core.state.Command.Urgency;

/**
 * Encodes commands for the wire and for the disk, and decodes them: the only place that knows what
 * each of the {@link CommandFields} means for each kind of command. Fields that a kind doesn't use
 * are 0 or empty.
 */
public final class CommandCodec {
    private CommandCodec() {}

    /** Appends a command to a record. */
    public static void write(RecordWriter out, StampedCommand stamped) {
        encode(stamped).write(out);
    }

    /** Reads what {@link #write} wrote. */
    public static StampedCommand read(RecordReader in) {
        return decode(CommandFields.read(in));
    }

    /** The command that an edge has sent; nothing is stamped on it yet. */
    public static StampedCommand ofEdge(
            CommandType type, String subject, long fencingToken, long version, String body) {
        return decode(new CommandFields(type, fencingToken, subject, body, 0, "", version));
    }

    /** A command in one line of the log. */
    public static String describe(StampedCommand stamped) {
        var fields = encode(stamped);
        return fields.type().wireName() + " base " + fields.base() + " " + fields.subject();
    }

    /** The layout of a command. */
    private static CommandFields encode(StampedCommand stamped) {
        var command = stamped.command();
        if (command instanceof ConfigurationCommand change) {
            return fields(stamped, change.baseRevision(), "", change.json());
        } else if (command instanceof EvacuationCommand order) {
            return fields(stamped, 0, order.zone(), "");
        } else if (command instanceof GrantLease grant) {
            return fields(stamped, grant.predecessorToken(), grant.role(), grant.candidate());
        } else if (command instanceof MarkDeparting departing) {
            return fields(stamped, departing.urgency().ordinal(), departing.member(), "");
        } else if (command instanceof MembershipCommand change) {
            return fields(stamped, 0, change.member(), "");
        } else if (command instanceof SetReplicaCount order) {
            return versioned(
                    stamped,
                    order.fencingToken(),
                    order.deployment(),
                    order.order(),
                    order.sequence());
        } else if (command instanceof SetPlacement order) {
            return fields(stamped, 0, order.deployment(), order.placing().wireName());
        } else if (command instanceof OneJobCommand job) {
            return encodeJob(stamped, job);
        }
        return fields(stamped, 0, "", "");
    }

    private static CommandFields encodeJob(StampedCommand stamped, OneJobCommand job) {
        if (job instanceof JobRunnerCommand report) {
            return versioned(
                    stamped, report.fencingToken(), report.jobId(), body(report), report.run());
        }
        var body = job instanceof SubmitJob submission ? submission.encodedJob() : "";
        return fields(stamped, 0, job.jobId(), body);
    }

    private static String body(JobRunnerCommand report) {
        if (report instanceof StartJob start) {
            return start.replica();
        } else if (report instanceof AppendJobOutput append) {
            return append.encodedOutput();
        } else if (report instanceof FinishJob finish) {
            return finish.encodedCompletion();
        }
        return ((ReturnJob) report).encodedFailure();
    }

    private static CommandFields fields(
            StampedCommand stamped, long base, String subject, String body) {
        return versioned(stamped, base, subject, body, stamped.acceptedVersion());
    }

    private static CommandFields versioned(
            StampedCommand stamped, long base, String subject, String body, long version) {
        return new CommandFields(
                stamped.command().type(),
                base,
                subject,
                body,
                stamped.jobClockUs(),
                stamped.survey(),
                version);
    }

    /** The command with this layout. */
    private static StampedCommand decode(CommandFields fields) {
        var command = command(fields);
        var hasOwnVersion =
                command instanceof SetReplicaCount || command instanceof JobRunnerCommand;
        return new StampedCommand(
                command,
                hasOwnVersion ? StampedCommand.NOT_ACCEPTED : fields.version(),
                fields.atUs(),
                fields.survey());
    }

    private static Command command(CommandFields fields) {
        var base = fields.base();
        var subject = fields.subject();
        var body = fields.body();
        var version = fields.version();
        return switch (fields.type()) {
            case REPLACE_CONFIGURATION -> new ReplaceConfiguration(base, body);
            case UPDATE_CONFIGURATION -> new UpdateConfiguration(base, body);
            case READ_CONFIGURATION -> new ReadConfiguration();
            case START_EVACUATION -> new StartEvacuation(subject);
            case FINISH_EVACUATION -> new FinishEvacuation(subject);
            case GRANT_LEASE -> new GrantLease(subject, base, body);
            case ADD_MEMBER -> new AddMember(subject);
            case REMOVE_MEMBER -> new RemoveMember(subject);
            case MARK_DEPARTING -> new MarkDeparting(subject, urgency(base));
            case SET_REPLICA_COUNT -> new SetReplicaCount(subject, base, version, body);
            case SET_PLACEMENT -> new SetPlacement(subject, Placing.ofWireName(body));
            case SUBMIT_JOB -> new SubmitJob(subject, body);
            case GET_JOB -> new GetJob(subject);
            case LIST_JOBS -> new ListJobs();
            case GET_JOB_RESULT -> new GetJobResult(subject);
            case READ_JOB_RESULT -> new ReadJobResult(subject);
            case CONFIRM_JOB_RESULT -> new ConfirmJobResult(subject);
            case CANCEL_JOB -> new CancelJob(subject);
            case START_JOB -> new StartJob(subject, base, version, body);
            case APPEND_JOB_OUTPUT -> new AppendJobOutput(subject, base, version, body);
            case FINISH_JOB -> new FinishJob(subject, base, version, body);
            case RETURN_JOB -> new ReturnJob(subject, base, version, body);
            case ADVANCE_JOB_CLOCK -> new AdvanceJobClock();
        };
    }

    private static Urgency urgency(long base) {
        return base == Urgency.IMMEDIATE.ordinal() ? Urgency.IMMEDIATE : Urgency.CAN_WAIT;
    }
}
