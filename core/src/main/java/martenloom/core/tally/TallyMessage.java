package martenloom.core.tally;

import java.util.Optional;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.error.MalformedRecordException;
import martenloom.common.fleet.RecordType;

/** The messages about tallies between core daemons. */
sealed interface TallyMessage {
    /** The record of this message. */
    byte[] encode();

    /** Reads the message of a record. */
    static TallyMessage read(RecordReader in) {
        return switch (in.type()) {
            case RecordType.TALLY_PROBE -> new Probe(in.varint(), in.i64());
            case RecordType.TALLY_PROBE_RESPONSE ->
                    new ProbeResponse(
                            in.varint(),
                            Location.read(in),
                            in.flag() ? Optional.of(VersionVector.read(in)) : Optional.empty());
            case RecordType.TALLY_ADDS -> new Adds(AddBatch.read(in));
            case RecordType.TALLY_HELD -> new Held(in.i64(), in.varint());
            case RecordType.TALLY_FETCH -> new Fetch(in.i64(), in.varint());
            default ->
                    throw new MalformedRecordException(
                            "read tally message", "type " + in.type() + " is none");
        };
    }

    /**
     * Asks for a sign of life, and what the peer holds if it is not the same as here.
     *
     * @param number of the round in which it was sent
     * @param heldDigest of the sender's version vector
     */
    record Probe(long number, long heldDigest) implements TallyMessage {
        @Override
        public byte[] encode() {
            return new RecordWriter(RecordType.TALLY_PROBE).varint(number).i64(heldDigest).bytes();
        }
    }

    /**
     * The answer to a probe.
     *
     * @param number of the probe
     * @param held what the sender holds; empty when the digests were equal
     */
    record ProbeResponse(long number, Location location, Optional<VersionVector> held)
            implements TallyMessage {
        @Override
        public byte[] encode() {
            var out = new RecordWriter(RecordType.TALLY_PROBE_RESPONSE).varint(number);
            location.write(out);
            out.flag(held.isPresent());
            held.ifPresent(vector -> vector.write(out));
            return out.bytes();
        }
    }

    /** Adds that are durable at the sender. */
    record Adds(AddBatch batch) implements TallyMessage {
        @Override
        public byte[] encode() {
            var out = new RecordWriter(RecordType.TALLY_ADDS);
            batch.write(out);
            return out.bytes();
        }
    }

    /** The answer to {@link Adds}: the first so many adds of the origin are durable. */
    record Held(long origin, long count) implements TallyMessage {
        @Override
        public byte[] encode() {
            return new RecordWriter(RecordType.TALLY_HELD).i64(origin).varint(count).bytes();
        }
    }

    /** Asks for adds of an origin behind a sequence number; answered by {@link Adds}. */
    record Fetch(long origin, long after) implements TallyMessage {
        @Override
        public byte[] encode() {
            return new RecordWriter(RecordType.TALLY_FETCH).i64(origin).varint(after).bytes();
        }
    }
}
