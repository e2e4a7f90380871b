package martenloom.core.state;

import java.util.Base64;
import martenloom.common.codec.RecordReader;
import martenloom.common.jobs.Job;
import martenloom.common.jobs.JobCodec;

/**
 * What a caller asks of the replicated state: a change, or a read that must be linearizable. Every
 * member decides the same commands in the same order by {@link ClusterState#decide}. Commands are
 * immutable; what the head adds to one is in {@link StampedCommand}, and how they are encoded is in
 * {@link CommandCodec}.
 */
public sealed interface Command {
    /** The kind of this command on the wire and in the log. */
    CommandType type();

    // ---- configuration

    /**
     * Changes the configuration that is at one revision. A change that was applied is acknowledged
     * again when it is sent again, so callers may retry.
     */
    sealed interface ConfigurationCommand extends Command
            permits ReplaceConfiguration, UpdateConfiguration {
        /** The revision that the caller has seen in force. */
        long baseRevision();

        /** The text as sent, with the new revision in it. */
        String json();
    }

    /** Puts a whole new configuration in force. */
    record ReplaceConfiguration(long baseRevision, String json) implements ConfigurationCommand {
        @Override
        public CommandType type() {
            return CommandType.REPLACE_CONFIGURATION;
        }
    }

    /** Changes single items of the configuration in force. */
    record UpdateConfiguration(long baseRevision, String json) implements ConfigurationCommand {
        @Override
        public CommandType type() {
            return CommandType.UPDATE_CONFIGURATION;
        }
    }

    /** Reads the configuration in force. */
    record ReadConfiguration() implements Command {
        @Override
        public CommandType type() {
            return CommandType.READ_CONFIGURATION;
        }
    }

    // ---- evacuations

    /** An operator's order about a zone; see {@link StampedCommand#acceptedVersion()}. */
    sealed interface EvacuationCommand extends Command permits StartEvacuation, FinishEvacuation {
        /** The zone concerned. */
        String zone();
    }

    /** Takes a zone out of use. */
    record StartEvacuation(String zone) implements EvacuationCommand {
        @Override
        public CommandType type() {
            return CommandType.START_EVACUATION;
        }
    }

    /** Brings a zone back into use. */
    record FinishEvacuation(String zone) implements EvacuationCommand {
        @Override
        public CommandType type() {
            return CommandType.FINISH_EVACUATION;
        }
    }

    // ---- role leases

    /**
     * Makes a candidate the holder of a role, as the successor of the lease with the given token.
     *
     * @param role the role, for example {@code jobs/REGION}
     * @param predecessorToken the fencing token that must be the newest; 0 if there was none
     * @param candidate the address of an edge with its incarnation
     */
    record GrantLease(String role, long predecessorToken, String candidate) implements Command {
        @Override
        public CommandType type() {
            return CommandType.GRANT_LEASE;
        }
    }

    // ---- the roster of core members

    /** Changes the roster by one member. */
    sealed interface MembershipCommand extends Command
            permits AddMember, RemoveMember, MarkDeparting {
        /** The address of the member concerned. */
        String member();
    }

    /** Adds a member to the roster, or takes back that it is departing. */
    record AddMember(String member) implements MembershipCommand {
        @Override
        public CommandType type() {
            return CommandType.ADD_MEMBER;
        }
    }

    /** Removes a member from the roster. */
    record RemoveMember(String member) implements MembershipCommand {
        @Override
        public CommandType type() {
            return CommandType.REMOVE_MEMBER;
        }
    }

    /** Notes that a member shuts down gracefully. */
    record MarkDeparting(String member, Urgency urgency) implements MembershipCommand {
        @Override
        public CommandType type() {
            return CommandType.MARK_DEPARTING;
        }
    }

    /** How long a departing member can wait; the ordinal is its number on the wire. */
    enum Urgency {
        /** It can wait for another member to come back. */
        CAN_WAIT,

        /** Its process ends soon in any case. */
        IMMEDIATE
    }

    // ---- scaling and placement

    /**
     * Sets which replicas of a deployment serve. It is judged by what runs at the moment of the
     * write, see {@link StampedCommand#survey()}.
     */
    sealed interface ScalingCommand extends Command permits SetReplicaCount, SetPlacement {
        /** The deployment concerned: a model in a region, as {@code REGION/MODEL}. */
        String deployment();
    }

    /**
     * The autoscaler's order for a deployment.
     *
     * @param fencingToken the lease of the region's scaler under which the order was given
     * @param sequence the number of the order under that lease; an older one is refused
     * @param order {@code all}, or the desired count and then one resting replica a line
     */
    record SetReplicaCount(String deployment, long fencingToken, long sequence, String order)
            implements ScalingCommand {
        @Override
        public CommandType type() {
            return CommandType.SET_REPLICA_COUNT;
        }
    }

    /** The operator's order for a deployment: it rests as a whole, or runs as the scaler says. */
    record SetPlacement(String deployment, Placing placing) implements ScalingCommand {
        @Override
        public CommandType type() {
            return CommandType.SET_PLACEMENT;
        }
    }

    /** What the operator wants of a deployment. */
    enum Placing {
        LOAD("load"),
        UNLOAD("unload");

        private final String wireName;

        Placing(String wireName) {
            this.wireName = wireName;
        }

        /** The name in the control API and in the encoded command. */
        public String wireName() {
            return wireName;
        }

        /** The one with this name; whatever isn't {@code unload} loads. */
        public static Placing ofWireName(String name) {
            return name.equals(UNLOAD.wireName) ? UNLOAD : LOAD;
        }
    }

    // ---- deferred jobs

    /** A command about the deferred jobs. */
    sealed interface JobCommand extends Command permits AdvanceJobClock, ListJobs, OneJobCommand {}

    /** Moves the clock of the jobs forward, and ends and forgets what is past its time. */
    record AdvanceJobClock() implements JobCommand {
        @Override
        public CommandType type() {
            return CommandType.ADVANCE_JOB_CLOCK;
        }
    }

    /** Reads all jobs. */
    record ListJobs() implements JobCommand {
        @Override
        public CommandType type() {
            return CommandType.LIST_JOBS;
        }
    }

    /** A command about one job. */
    sealed interface OneJobCommand extends JobCommand
            permits SubmitJob,
                    GetJob,
                    GetJobResult,
                    ReadJobResult,
                    ConfirmJobResult,
                    CancelJob,
                    JobRunnerCommand {
        /** The job concerned. */
        String jobId();
    }

    /**
     * Adds a job.
     *
     * @param encodedJob the job as it travels, in base 64; its due time is relative
     */
    record SubmitJob(String jobId, String encodedJob) implements OneJobCommand {
        @Override
        public CommandType type() {
            return CommandType.SUBMIT_JOB;
        }

        /** The job itself, decoded anew at each call. */
        Job job() {
            return JobCodec.read(decoded(encodedJob));
        }
    }

    /** Reads where a job stands. */
    record GetJob(String jobId) implements OneJobCommand {
        @Override
        public CommandType type() {
            return CommandType.GET_JOB;
        }
    }

    /** Reads the result of a finished job as text; daemons of the first version ask for it. */
    record GetJobResult(String jobId) implements OneJobCommand {
        @Override
        public CommandType type() {
            return CommandType.GET_JOB_RESULT;
        }
    }

    /** Reads the result of a finished job; answered by an encoded {@link JobResult}. */
    record ReadJobResult(String jobId) implements OneJobCommand {
        @Override
        public CommandType type() {
            return CommandType.READ_JOB_RESULT;
        }
    }

    /** Acknowledges the result of a job, which is released then. */
    record ConfirmJobResult(String jobId) implements OneJobCommand {
        @Override
        public CommandType type() {
            return CommandType.CONFIRM_JOB_RESULT;
        }
    }

    /** Cancels a job. */
    record CancelJob(String jobId) implements OneJobCommand {
        @Override
        public CommandType type() {
            return CommandType.CANCEL_JOB;
        }
    }

    /** What the edge reports that holds the lease to run the jobs of a region. */
    sealed interface JobRunnerCommand extends OneJobCommand
            permits StartJob, AppendJobOutput, FinishJob, ReturnJob {
        /** The lease of the runner. */
        long fencingToken();

        /** The run that is reported on; at a start, how many runs the runner knows of. */
        long run();
    }

    /** Starts the next run of a job at a replica. */
    record StartJob(String jobId, long fencingToken, long run, String replica)
            implements JobRunnerCommand {
        @Override
        public CommandType type() {
            return CommandType.START_JOB;
        }
    }

    /**
     * Saves a further part of the output of a run.
     *
     * @param encodedOutput a {@link JobOutput} as it travels, in base 64
     */
    record AppendJobOutput(String jobId, long fencingToken, long run, String encodedOutput)
            implements JobRunnerCommand {
        @Override
        public CommandType type() {
            return CommandType.APPEND_JOB_OUTPUT;
        }

        /** The part itself, decoded anew at each call. */
        JobOutput output() {
            var in = decoded(encodedOutput);
            return new JobOutput(in.text(), in.i32(), in.blob());
        }
    }

    /**
     * A part of the output of a run.
     *
     * @param lastEventId the last event that lies in it
     * @param offset where it begins in the whole output, in bytes
     */
    record JobOutput(String lastEventId, int offset, byte[] content) {}

    /**
     * Ends a run that brought a result.
     *
     * @param encodedCompletion a {@link JobCompletion} as it travels, in base 64
     */
    record FinishJob(String jobId, long fencingToken, long run, String encodedCompletion)
            implements JobRunnerCommand {
        @Override
        public CommandType type() {
            return CommandType.FINISH_JOB;
        }

        /** The end of the run, decoded anew at each call. */
        JobCompletion completion() {
            var in = decoded(encodedCompletion);
            return new JobCompletion(
                    in.i32(),
                    in.i32(),
                    in.blob(),
                    in.hasMore() ? in.text() : JobResult.UNKNOWN_TYPE);
        }
    }

    /**
     * The end of a run that brought a result.
     *
     * @param status the status of the replica's response
     * @param offset how much of the output was saved before, in bytes
     * @param content the rest of the output
     * @param mediaType the media type of the response; empty when the edge did not tell
     */
    record JobCompletion(int status, int offset, byte[] content, String mediaType) {}

    /**
     * Ends a run that brought no result.
     *
     * @param encodedFailure a {@link JobFailure} as it travels, in base 64
     */
    record ReturnJob(String jobId, long fencingToken, long run, String encodedFailure)
            implements JobRunnerCommand {
        @Override
        public CommandType type() {
            return CommandType.RETURN_JOB;
        }

        /** How the run ended, decoded anew at each call. */
        JobFailure failure() {
            var in = decoded(encodedFailure);
            return new JobFailure(RunFailure.ofNumber(in.u8()), in.text());
        }
    }

    /** The end of a run that brought no result. */
    record JobFailure(RunFailure kind, String reason) {}

    /** How far a failed run had come; the ordinal is its number on the wire. */
    enum RunFailure {
        NOT_RUN,
        MAY_HAVE_RUN,
        RAN_AND_FAILED;

        private static RunFailure ofNumber(int number) {
            return switch (number) {
                case 0 -> NOT_RUN;
                case 1 -> MAY_HAVE_RUN;
                default -> RAN_AND_FAILED;
            };
        }
    }

    private static RecordReader decoded(String base64) {
        return new RecordReader(Base64.getDecoder().decode(base64), false);
    }
}
