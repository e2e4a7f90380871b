package martenloom.core.tally;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** The callers whose adds are not acknowledged yet. Each is answered once. Not thread-safe. */
final class AddWaiters {
    private List<Waiter> waiters = new ArrayList<>();

    private record Waiter(AddPosition position, long deadlineUs, Consumer<AddOutcome> caller) {}

    int size() {
        return waiters.size();
    }

    /** Keeps a caller until its add is safe, or until the deadline. */
    void await(AddPosition position, long deadlineUs, Consumer<AddOutcome> caller) {
        waiters.add(new Waiter(position, deadlineUs, caller));
    }

    /** Answers those whose adds are safe. */
    void acknowledge(Predicate<AddPosition> isSafe) {
        answer(waiter -> isSafe.test(waiter.position), AddOutcome.COUNTED);
    }

    /** Answers those that have waited for too long. */
    void expire(long nowUs) {
        answer(waiter -> nowUs >= waiter.deadlineUs, AddOutcome.UNCERTAIN);
    }

    /** Answers all: what became of their adds is not known. */
    void giveUp() {
        answer(waiter -> true, AddOutcome.UNCERTAIN);
    }

    private void answer(Predicate<Waiter> condition, AddOutcome outcome) {
        var answered = new ArrayList<Waiter>();
        var left = new ArrayList<Waiter>();
        waiters.forEach(waiter -> (condition.test(waiter) ? answered : left).add(waiter));
        waiters = left;
        answered.forEach(waiter -> waiter.caller.accept(outcome));
    }
}
