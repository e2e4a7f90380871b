package martenloom.core.chain;

import java.util.Optional;
import java.util.TreeMap;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.core.chain.AnnouncementMessage.JoinRequest;
import martenloom.core.chain.AnnouncementMessage.SnapshotRequest;
import martenloom.core.chain.AnnouncementMessage.SnapshotResponse;
import martenloom.core.chain.AnnouncementMessage.ViewAnnouncement;
import martenloom.core.chain.ContentMessage.ContentRequest;
import martenloom.core.chain.ContentMessage.ContentResponse;
import martenloom.core.chain.ElectionMessage.BallotRejected;
import martenloom.core.chain.ElectionMessage.HeadHandover;
import martenloom.core.chain.ElectionMessage.LearnerOffer;
import martenloom.core.chain.ElectionMessage.Prepare;
import martenloom.core.chain.ElectionMessage.Promise;
import martenloom.core.chain.ElectionMessage.PromiseRejected;
import martenloom.core.chain.HeartbeatMessage.Heartbeat;
import martenloom.core.chain.HeartbeatMessage.HeartbeatAck;
import martenloom.core.chain.ReplicationMessage.AppendCommand;
import martenloom.core.chain.ReplicationMessage.ReplicateState;
import martenloom.core.chain.ReplicationMessage.ReplicationAck;
import martenloom.core.state.CommandCodec;
import martenloom.core.state.EncodedState;

/**
 * The form of the chain's messages on the wire: a type byte, then the fields in order. The numbers
 * here are fixed, for daemons of different builds talk to each other during an upgrade.
 */
final class ChainMessageCodec {
    private static final int PREPARE = 1;

    /** All answers to PREPARE; the byte after the ballot says which one it is. */
    private static final int PREPARE_RESPONSE = 2;

    private static final int REPLICATE_STATE = 3;
    private static final int REPLICATION_ACK = 4;
    private static final int BALLOT_REJECTED = 5;
    private static final int HEARTBEAT = 6;
    private static final int HEARTBEAT_ACK = 7;
    private static final int VIEW_ANNOUNCEMENT = 8;
    private static final int JOIN_REQUEST = 9;
    private static final int SNAPSHOT_REQUEST = 10;
    private static final int SNAPSHOT_RESPONSE = 11;
    private static final int APPEND_COMMAND = 12;
    private static final int HEAD_HANDOVER = 13;

    /** The messages with a state that names contents; without any, the former forms are sent. */
    private static final int REPLICATE_NAMING_STATE = 14;

    private static final int PROMISE_NAMING_STATE = 15;
    private static final int SNAPSHOT_NAMING_STATE = 16;
    private static final int CONTENT_REQUEST = 17;
    private static final int CONTENT_RESPONSE = 18;

    /** The highest type of a chain message. */
    static final int HIGHEST_TYPE = CONTENT_RESPONSE;

    private static final int REJECTED = 0;
    private static final int PROMISED = 1;
    private static final int LEARNER = 2;

    private ChainMessageCodec() {}

    static byte[] encode(ChainMessage message) {
        if (message instanceof ReplicationMessage replication) {
            return encode(replication).bytes();
        }
        if (message instanceof HeartbeatMessage heartbeat) {
            return encode(heartbeat).bytes();
        }
        if (message instanceof AnnouncementMessage announcement) {
            return encode(announcement).bytes();
        }
        if (message instanceof ContentMessage content) {
            return encode(content).bytes();
        }
        return encode((ElectionMessage) message).bytes();
    }

    /** Reads one message; empty when its type is none of the chain's. */
    static Optional<ChainMessage> decode(byte[] record) {
        var in = new RecordReader(record, true);
        if (in.type() < PREPARE || in.type() > HIGHEST_TYPE) {
            return Optional.empty();
        }
        return Optional.of(
                switch (in.type()) {
                    case PREPARE -> readPrepare(in);
                    case PREPARE_RESPONSE -> readPrepareResponse(in);
                    case REPLICATE_STATE -> readReplicateState(in);
                    case REPLICATION_ACK -> new ReplicationAck(Ballot.read(in), in.i64());
                    case BALLOT_REJECTED -> new BallotRejected(Ballot.read(in), in.i64());
                    case HEARTBEAT -> readHeartbeat(in);
                    case HEARTBEAT_ACK -> new HeartbeatAck(Ballot.read(in), in.i64());
                    case VIEW_ANNOUNCEMENT -> readViewAnnouncement(in);
                    case JOIN_REQUEST -> new JoinRequest(in.i64());
                    case SNAPSHOT_REQUEST -> new SnapshotRequest(in.i64());
                    case SNAPSHOT_RESPONSE -> new SnapshotResponse(EncodedState.read(in));
                    case APPEND_COMMAND -> readAppendCommand(in);
                    case HEAD_HANDOVER -> new HeadHandover(Ballot.read(in));
                    case REPLICATE_NAMING_STATE -> withReferences(readReplicateState(in), in);
                    case PROMISE_NAMING_STATE -> withReferences(readPromise(in), in);
                    case SNAPSHOT_NAMING_STATE ->
                            withReferences(new SnapshotResponse(EncodedState.read(in)), in);
                    case CONTENT_REQUEST -> new ContentRequest(in.texts());
                    default -> new ContentResponse(in.blob());
                });
    }

    // ---- elections

    private static RecordWriter encode(ElectionMessage message) {
        if (message instanceof Prepare prepare) {
            var out = begin(PREPARE, prepare.ballot());
            prepare.accepted().write(out);
            out.i64(prepare.edition());
            prepare.handedOver().write(out);
            return out;
        }
        if (message instanceof Promise promise) {
            return encode(promise);
        }
        if (message instanceof PromiseRejected rejected) {
            return begin(PREPARE_RESPONSE, rejected.ballot())
                    .u8(REJECTED)
                    .i64(rejected.promisedNumber());
        }
        if (message instanceof LearnerOffer offer) {
            return begin(PREPARE_RESPONSE, offer.ballot()).u8(LEARNER).i64(offer.incarnation());
        }
        if (message instanceof BallotRejected rejected) {
            return begin(BALLOT_REJECTED, rejected.ballot()).i64(rejected.promisedNumber());
        }
        return begin(HEAD_HANDOVER, ((HeadHandover) message).ballot());
    }

    private static Prepare readPrepare(RecordReader in) {
        return new Prepare(Ballot.read(in), Ballot.read(in), in.i64(), Ballot.read(in));
    }

    private static ElectionMessage readPrepareResponse(RecordReader in) {
        var ballot = Ballot.read(in);
        return switch (in.u8()) {
            case REJECTED -> new PromiseRejected(ballot, in.i64());
            case LEARNER -> new LearnerOffer(ballot, in.i64());
            default -> readPromise(ballot, in);
        };
    }

    private static RecordWriter encode(Promise promise) {
        var naming = promise.state().hasReferences();
        var out = begin(naming ? PROMISE_NAMING_STATE : PREPARE_RESPONSE, promise.ballot());
        if (!naming) {
            out.u8(PROMISED);
        }
        out.flag(promise.leaving());
        promise.accepted().write(out);
        return writeState(promise, out.i64(promise.edition()));
    }

    private static Promise readPromise(RecordReader in) {
        return readPromise(Ballot.read(in), in);
    }

    private static Promise readPromise(Ballot ballot, RecordReader in) {
        return new Promise(ballot, in.flag(), Ballot.read(in), in.i64(), EncodedState.read(in));
    }

    // ---- replication

    private static RecordWriter encode(ReplicationMessage message) {
        if (message instanceof ReplicateState replicate) {
            var naming = replicate.state().hasReferences();
            var out = begin(naming ? REPLICATE_NAMING_STATE : REPLICATE_STATE, replicate.view());
            replicate.basis().write(out);
            return writeState(replicate, out.texts(replicate.holders()).i64(replicate.edition()));
        }
        if (message instanceof AppendCommand append) {
            var out = begin(APPEND_COMMAND, append.view()).i64(append.edition());
            CommandCodec.write(out, append.command());
            return out;
        }
        var ack = (ReplicationAck) message;
        return begin(REPLICATION_ACK, ack.ballot()).i64(ack.edition());
    }

    private static ReplicateState readReplicateState(RecordReader in) {
        return new ReplicateState(
                readView(in), Ballot.read(in), in.texts(), in.i64(), EncodedState.read(in));
    }

    private static AppendCommand readAppendCommand(RecordReader in) {
        return new AppendCommand(readView(in), in.i64(), CommandCodec.read(in));
    }

    // ---- heartbeats

    private static RecordWriter encode(HeartbeatMessage message) {
        if (message instanceof Heartbeat heartbeat) {
            return begin(HEARTBEAT, heartbeat.ballot())
                    .i64(heartbeat.number())
                    .texts(heartbeat.chain())
                    .i64(heartbeat.edition())
                    .i64(heartbeat.contactAgeUs());
        }
        var ack = (HeartbeatAck) message;
        return begin(HEARTBEAT_ACK, ack.ballot()).i64(ack.number());
    }

    private static Heartbeat readHeartbeat(RecordReader in) {
        return new Heartbeat(Ballot.read(in), in.i64(), in.texts(), in.i64(), in.i64());
    }

    // ---- announcements

    private static RecordWriter encode(AnnouncementMessage message) {
        if (message instanceof ViewAnnouncement announcement) {
            return begin(VIEW_ANNOUNCEMENT, announcement.ballot())
                    .texts(announcement.chain())
                    .i64(announcement.edition())
                    .i64(announcement.contactAgeUs());
        }
        if (message instanceof JoinRequest request) {
            return new RecordWriter(JOIN_REQUEST).i64(request.promisedNumber());
        }
        if (message instanceof SnapshotRequest request) {
            return new RecordWriter(SNAPSHOT_REQUEST).i64(request.edition());
        }
        var snapshot = (SnapshotResponse) message;
        var naming = snapshot.state().hasReferences();
        return writeState(
                snapshot, new RecordWriter(naming ? SNAPSHOT_NAMING_STATE : SNAPSHOT_RESPONSE));
    }

    private static ViewAnnouncement readViewAnnouncement(RecordReader in) {
        return new ViewAnnouncement(Ballot.read(in), in.texts(), in.i64(), in.i64());
    }

    // ---- contents

    private static RecordWriter encode(ContentMessage message) {
        if (message instanceof ContentRequest request) {
            return new RecordWriter(CONTENT_REQUEST).texts(request.digests());
        }
        return new RecordWriter(CONTENT_RESPONSE).blob(((ContentResponse) message).content());
    }

    /** Ends a record with the state of a message. */
    private static RecordWriter writeState(StateMessage message, RecordWriter out) {
        message.state().writeBytes(out);
        if (message.state().hasReferences()) {
            message.state().writeReferences(out);
        }
        return out;
    }

    private static StateMessage withReferences(StateMessage message, RecordReader in) {
        return message.withState(message.state().withReferences(in));
    }

    // ---- what several messages begin with

    private static RecordWriter begin(int type, Ballot ballot) {
        var out = new RecordWriter(type);
        ballot.write(out);
        return out;
    }

    private static RecordWriter begin(int type, ChainView view) {
        var out = begin(type, view.ballot()).texts(view.chain());
        return out.list(
                view.learners().entrySet(),
                (writer, learner) -> writer.text(learner.getKey()).i64(learner.getValue()));
    }

    private static ChainView readView(RecordReader in) {
        var ballot = Ballot.read(in);
        var chain = in.texts();
        var learners = new TreeMap<String, Long>();
        in.list(entry -> learners.put(entry.text(), entry.i64()));
        return new ChainView(ballot, chain, learners);
    }
}
