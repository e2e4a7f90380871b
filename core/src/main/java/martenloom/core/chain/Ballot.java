package martenloom.core.chain;

import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/**
 * The name of a view, chosen by the candidate that proposes it. Ballots are totally ordered: the
 * higher number wins, then the member's address. No two candidates ever propose the same ballot.
 *
 * @param number raised with every election
 * @param member the address of the candidate, who heads the view once it is agreed
 */
public record Ballot(long number, String member) implements Comparable<Ballot> {
    /** Below every ballot that is ever proposed. */
    public static final Ballot ZERO = new Ballot(0, "");

    @Override
    public int compareTo(Ballot other) {
        return number != other.number
                ? Long.compare(number, other.number)
                : member.compareTo(other.member);
    }

    void write(RecordWriter out) {
        out.i64(number).text(member);
    }

    static Ballot read(RecordReader in) {
        return new Ballot(in.i64(), in.text());
    }
}
