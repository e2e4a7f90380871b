package martenloom.core.state;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import martenloom.core.state.Command.AddMember;
import martenloom.core.state.Command.MembershipCommand;
import martenloom.core.state.Command.RemoveMember;

/**
 * The voting members of the core, of which a majority agrees on a view. Immutable.
 *
 * @param members their addresses, in the order in which they were added
 * @param departed those of them that shut down gracefully and have not been in the chain since
 */
public record MemberRoster(List<String> members, Set<String> departed) {
    /** A roster whose members are all present. */
    static MemberRoster of(List<String> members) {
        return new MemberRoster(List.copyOf(members), Set.of());
    }

    /** Changes the roster by one member; a command that finds it so already changes nothing. */
    CommandResult<MemberRoster> decide(MembershipCommand command) {
        if (command instanceof AddMember) {
            return add(command.member());
        }
        return command instanceof RemoveMember
                ? remove(command.member())
                : markDeparting(command.member());
    }

    /** Adds a member; one that had departed and is back counts as present again. */
    private CommandResult<MemberRoster> add(String member) {
        if (members.contains(member) && !departed.contains(member)) {
            return CommandResult.unchanged("");
        }
        var next = new LinkedHashSet<>(members);
        next.add(member);
        return CommandResult.changed(
                new MemberRoster(List.copyOf(next), departedWithout(member)), "");
    }

    private CommandResult<MemberRoster> remove(String member) {
        if (!members.contains(member)) {
            return CommandResult.unchanged("");
        }
        var next = new ArrayList<>(members);
        next.remove(member);
        return CommandResult.changed(
                new MemberRoster(List.copyOf(next), departedWithout(member)), "");
    }

    /**
     * Notes that a member shuts down gracefully. It keeps its place in the roster until the place
     * is needed for a successor or for the majority of those that stay, so that a mere restart
     * costs no change of the roster.
     */
    private CommandResult<MemberRoster> markDeparting(String member) {
        if (!members.contains(member) || departed.contains(member)) {
            return CommandResult.unchanged("");
        }
        var next = new TreeSet<>(departed);
        next.add(member);
        return CommandResult.changed(new MemberRoster(members, next), "");
    }

    private Set<String> departedWithout(String member) {
        var rest = new TreeSet<>(departed);
        rest.remove(member);
        return rest;
    }
}
