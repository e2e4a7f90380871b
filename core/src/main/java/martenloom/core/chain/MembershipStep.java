package martenloom.core.chain;

import martenloom.core.state.StampedCommand;

/** What {@link Membership} has the head do next; one step at a time, between two writes. */
sealed interface MembershipStep {
    /** Write a change of the roster by one member, as a command like any other. */
    record ChangeRoster(StampedCommand command) implements MembershipStep {}

    /** Begin a new view: with those outside the chain, or without those that leave. */
    record StartView() implements MembershipStep {}

    /** All is as it should be, or has to wait. */
    record NoStep() implements MembershipStep {}
}
