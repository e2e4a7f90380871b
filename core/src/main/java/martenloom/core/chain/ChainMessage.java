package martenloom.core.chain;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.core.chain.ChainMember.Ballot;
import martenloom.core.state.CommandCodec;
import martenloom.core.state.StampedCommand;

/**
 * The messages between members of the chain, each with its wire form: a type byte, then its fields
 * in order.
 */
sealed interface ChainMessage {
    int PREPARE = 1;
    int PROMISE = 2;
    int PASS = 3;
    int PASS_ACK = 4;
    int NACK = 5;
    int HEARTBEAT = 6;
    int HEARTBEAT_ACK = 7;
    int NEWS = 8;
    int HERE = 9;
    int PULL = 10;
    int SNAPSHOT = 11;
    int STEP = 12;
    int HANDOVER = 13;

    /** The kinds of answers to a Prepare, all under PROMISE. */
    int REFUSED = 0;

    int PROMISED = 1;
    int LEARNER = 2;

    /** The wire form. */
    RecordWriter encode();

    /** Reads one message; empty when its type is none of the chain's. */
    static Optional<ChainMessage> decode(byte[] record) {
        var in = new RecordReader(record, true);
        if (in.type() < PREPARE || in.type() > HANDOVER) {
            return Optional.empty();
        }
        return Optional.of(
                switch (in.type()) {
                    case PREPARE ->
                            new Prepare(
                                    Ballot.read(in), Ballot.read(in), in.i64(), Ballot.read(in));
                    case PROMISE -> readPromise(in);
                    case PASS ->
                            new Pass(
                                    View.read(in),
                                    Ballot.read(in),
                                    in.texts(),
                                    in.i64(),
                                    in.blob());
                    case PASS_ACK -> new PassAck(Ballot.read(in), in.i64());
                    case NACK -> new Nack(Ballot.read(in), in.i64());
                    case HEARTBEAT ->
                            new Heartbeat(
                                    Ballot.read(in), in.i64(), in.texts(), in.i64(), in.i64());
                    case HEARTBEAT_ACK -> new HeartbeatAck(Ballot.read(in), in.i64());
                    case NEWS -> new News(Ballot.read(in), in.texts(), in.i64(), in.i64());
                    case HERE -> new Here(in.i64());
                    case PULL -> new Pull(in.i64());
                    case SNAPSHOT -> new Snapshot(in.blob());
                    case STEP -> new Step(View.read(in), in.i64(), CommandCodec.read(in));
                    default -> new Handover(Ballot.read(in));
                });
    }

    private static ChainMessage readPromise(RecordReader in) {
        var ballot = Ballot.read(in);
        return switch (in.u8()) {
            case REFUSED -> new Refused(ballot, in.i64());
            case LEARNER -> new Learner(ballot, in.i64());
            default -> new Promised(ballot, in.flag(), Ballot.read(in), in.i64(), in.blob());
        };
    }

    private static RecordWriter begin(int type, Ballot ballot) {
        var out = new RecordWriter(type);
        ballot.write(out);
        return out;
    }

    /**
     * A chain of a view: its ballot, its members in order, and the nonces of those that learn the
     * state.
     */
    record View(Ballot ballot, List<String> chain, Map<String, Long> learners) {
        private static View read(RecordReader in) {
            var ballot = Ballot.read(in);
            var chain = in.texts();
            var learners = new TreeMap<String, Long>();
            in.list(x -> learners.put(x.text(), x.i64()));
            return new View(ballot, chain, learners);
        }

        private RecordWriter write(RecordWriter out) {
            ballot.write(out);
            return out.texts(chain)
                    .list(learners.entrySet(), (o, e) -> o.text(e.getKey()).i64(e.getValue()));
        }

        boolean isLast(int place) {
            return place == chain.size() - 1;
        }
    }

    /**
     * Asks for a promise to a ballot. The bidder names the state that it holds, so that only a
     * newer one is sent to it, and the view whose head handed over to it, if one did.
     */
    record Prepare(Ballot ballot, Ballot accepted, long edition, Ballot released)
            implements ChainMessage {
        @Override
        public RecordWriter encode() {
            var out = begin(PREPARE, ballot);
            accepted.write(out);
            out.i64(edition);
            released.write(out);
            return out;
        }
    }

    /** No promise: a higher ballot was promised, or the head is heard well. */
    record Refused(Ballot ballot, long promised) implements ChainMessage {
        @Override
        public RecordWriter encode() {
            return begin(PROMISE, ballot).u8(REFUSED).i64(promised);
        }
    }

    /**
     * A promise, with what was accepted last; the state itself only where it is newer than the
     * bidder's.
     */
    record Promised(Ballot ballot, boolean leaving, Ballot accepted, long edition, byte[] state)
            implements ChainMessage {
        @Override
        public RecordWriter encode() {
            var out = begin(PROMISE, ballot).u8(PROMISED).flag(leaving);
            accepted.write(out);
            return out.i64(edition).blob(state);
        }
    }

    /** An empty disk: no promise, but this member can learn the state under its nonce. */
    record Learner(Ballot ballot, long nonce) implements ChainMessage {
        @Override
        public RecordWriter encode() {
            return begin(PROMISE, ballot).u8(LEARNER).i64(nonce);
        }
    }

    /**
     * Opens a view, or repeats a write: the state goes down the chain. It is left out for a holder,
     * which promised with the state of that edition accepted in the view `basis`.
     */
    record Pass(View view, Ballot basis, List<String> holders, long edition, byte[] state)
            implements ChainMessage {
        @Override
        public RecordWriter encode() {
            var out = view.write(new RecordWriter(PASS));
            basis.write(out);
            return out.texts(holders).i64(edition).blob(state);
        }
    }

    /**
     * One write as the change alone; a member that cannot take it is given the whole state at the
     * next sending.
     */
    record Step(View view, long edition, StampedCommand change) implements ChainMessage {
        @Override
        public RecordWriter encode() {
            var out = view.write(new RecordWriter(STEP)).i64(edition);
            CommandCodec.write(out, change);
            return out;
        }
    }

    /** The rest of the chain has accepted an edition. */
    record PassAck(Ballot ballot, long edition) implements ChainMessage {
        @Override
        public RecordWriter encode() {
            return begin(PASS_ACK, ballot).i64(edition);
        }
    }

    /** A pass came for a ballot below the one promised. */
    record Nack(Ballot ballot, long promised) implements ChainMessage {
        @Override
        public RecordWriter encode() {
            return begin(NACK, ballot).i64(promised);
        }
    }

    /**
     * Runs down the chain and shows that its view holds; with the age of the head's newest proof of
     * that.
     */
    record Heartbeat(Ballot ballot, long number, List<String> chain, long edition, long proofAgeUs)
            implements ChainMessage {
        @Override
        public RecordWriter encode() {
            return begin(HEARTBEAT, ballot).i64(number).texts(chain).i64(edition).i64(proofAgeUs);
        }
    }

    /** A heartbeat has reached the tail. */
    record HeartbeatAck(Ballot ballot, long number) implements ChainMessage {
        @Override
        public RecordWriter encode() {
            return begin(HEARTBEAT_ACK, ballot).i64(number);
        }
    }

    /** From the head of an active view to all outside its chain. */
    record News(Ballot ballot, List<String> chain, long edition, long proofAgeUs)
            implements ChainMessage {
        @Override
        public RecordWriter encode() {
            return begin(NEWS, ballot).texts(chain).i64(edition).i64(proofAgeUs);
        }
    }

    /**
     * The answer to news: this member wants to join; with the number promised, if that is higher.
     */
    record Here(long promised) implements ChainMessage {
        @Override
        public RecordWriter encode() {
            return new RecordWriter(HERE).i64(promised);
        }
    }

    /** Asks for the committed state if it is newer than an edition. */
    record Pull(long edition) implements ChainMessage {
        @Override
        public RecordWriter encode() {
            return new RecordWriter(PULL).i64(edition);
        }
    }

    /** The committed state, to be known but not accepted. */
    record Snapshot(byte[] state) implements ChainMessage {
        @Override
        public RecordWriter encode() {
            return new RecordWriter(SNAPSHOT).blob(state);
        }
    }

    /** The head of this view leaves and has the receiver bid for the next. */
    record Handover(Ballot view) implements ChainMessage {
        @Override
        public RecordWriter encode() {
            return begin(HANDOVER, view);
        }
    }
}
