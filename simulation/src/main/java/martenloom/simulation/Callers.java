package martenloom.simulation;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import martenloom.core.state.Command;

/**
 * The way of a caller to the machines: a call goes to any of them, and after a refusal or a silence
 * the same call goes to another one, with a pause that grows, while the copies sent before are
 * still under way.
 */
final class Callers {
    private static final long SILENCE_US = 1_000_000;
    private static final long FIRST_PAUSE_US = 100_000;
    private static final long LONGEST_PAUSE_US = 800_000;

    /** A call is not read later than this: by then its caller has closed the connection. */
    private static final long LATEST_US = 990_000;

    private static final int MOST_TRIES = 12;

    /** What a call came to. */
    record Answer(int status, String text) {
        boolean clear() {
            return status == 200 || status >= 400 && status < 500;
        }
    }

    private final Agenda agenda;
    private final Randomness random;
    private final Directory machines;
    private boolean lossy;

    /** Finds machines and the processes on them. */
    interface Directory {
        List<String> addresses();

        Optional<Process> running(String address);
    }

    Callers(Agenda agenda, Randomness random, Directory machines) {
        this.agenda = agenda;
        this.random = random;
        this.machines = machines;
    }

    void setLossy(boolean lossy) {
        this.lossy = lossy;
    }

    /** Calls until there is a clear answer; an empty one when the caller gives up. */
    void call(Command change, Consumer<Optional<Answer>> done) {
        new Call(change, done).attempt(1);
    }

    private final class Call {
        private final Command change;
        private final Consumer<Optional<Answer>> done;
        private boolean finished;
        private int current;

        private Call(Command change, Consumer<Optional<Answer>> done) {
            this.change = change;
            this.done = done;
        }

        private void attempt(int n) {
            if (n > MOST_TRIES) {
                finish(Optional.empty());
                return;
            }
            current = n;
            var address = random.pick(machines.addresses());
            agenda.after(wayUs(), () -> arrive(address, n));
            agenda.after(SILENCE_US, () -> onNothing(n));
        }

        private void arrive(String address, int n) {
            var process = lost() ? Optional.<Process>empty() : machines.running(address);
            process.ifPresent(
                    p ->
                            p.whenAwake(
                                    this,
                                    () ->
                                            p.onOrder(
                                                    change,
                                                    (status, text) ->
                                                            reply(n, new Answer(status, text)))));
        }

        private void reply(int n, Answer answer) {
            if (!lost()) {
                agenda.after(wayUs(), () -> onReply(n, answer));
            }
        }

        /** An answer that comes after the caller has gone on is not read. */
        private void onReply(int n, Answer answer) {
            if (finished || n != current) {
                return;
            }
            if (answer.clear()) {
                finish(Optional.of(answer));
            } else {
                onNothing(n);
            }
        }

        private void onNothing(int n) {
            if (!finished && n == current) {
                current = 0;
                agenda.after(Math.min(LONGEST_PAUSE_US, FIRST_PAUSE_US * n), () -> attempt(n + 1));
            }
        }

        private void finish(Optional<Answer> answer) {
            if (!finished) {
                finished = true;
                done.accept(answer);
            }
        }
    }

    private boolean lost() {
        return lossy && random.oneIn(3);
    }

    private long wayUs() {
        return lossy && random.oneIn(4)
                ? random.between(1_000, LATEST_US)
                : random.between(500, 20_000);
    }
}
