package martenloom.edge.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import martenloom.common.clock.Clocks;
import martenloom.edge.http.Head;
import martenloom.edge.replica.Prompt;
import martenloom.routing.route.Route;

/**
 * One request of a client on its way through the edge: what was asked, how long is left, which
 * attempts it has had and how far its answer has come. All changes of its state go through one
 * function.
 */
public final class Request implements Prompt {
    /** Where a request stands; exactly one at any time. */
    public enum State {
        WAITING,
        RUNNING,
        STREAMING,
        DONE
    }

    /** How the client is told; called by the owner only. */
    public interface Sink {
        void whole(byte[] head, byte[] body);

        void open(byte[] head);

        void event(byte[] b);

        void end();

        void cut();

        int waiting();
    }

    public final Head head;
    public final byte[] body;
    public final Route route;
    public final String service;
    public final String id;
    public final long arrivedUs;
    public final long deadlineUs;
    public final long clientUs;
    public final Sink sink;
    public final List<String> parts = new ArrayList<>(4);
    public final List<Integer> sizes = new ArrayList<>(4);
    public int promptTokens;
    public int outTokens;
    public int sent;
    public final Set<String> tried = new HashSet<>(4);
    public boolean mayHaveRun;
    public String lastEvent = "";
    public String model = "";
    public Optional<Attempt> attempt = Optional.empty();

    /** 0 for an interactive request; a deferred job's urgency and one more otherwise. */
    public int deferred;

    /** The states of overload whose share this request fell into when it was last weighed. */
    public List<String> keptAway = List.of();

    private State state = State.WAITING;

    /**
     * The client's time runs from when its request began to come in, the route's from when it was
     * whole.
     */
    public Request(Head h, byte[] b, Route r, String service, Sink s, long beganUs, long now) {
        head = h;
        body = b;
        route = r;
        this.service = service;
        sink = s;
        id = h.get("X-Attempt-Id");
        arrivedUs = now;
        var left = millis(h.get("X-Time-Remaining"));
        clientUs = left >= 0 ? beganUs + left * 1000 : Long.MAX_VALUE;
        deadlineUs = Math.min(clientUs, now + r.timeoutUs());
        model = h.get("X-Model");
        lastEvent = h.get("Last-Event-Id");
        prompt();
    }

    private static long millis(String s) {
        try {
            return s.isEmpty() ? -1 : (long) Double.parseDouble(s);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private void prompt() {
        for (var p : head.get("X-Prompt-Prefix").split(",")) {
            var i = p.lastIndexOf(':');
            var n = i < 1 ? -1 : millis(p.substring(i + 1));
            if (n >= 0) {
                parts.add(p.substring(0, i).strip());
                sizes.add((int) n);
            }
        }
        var u = head.get("X-Token-Usage").split(",");
        promptTokens = (int) Math.max(0, millis(u[0].strip()));
        outTokens = u.length > 1 ? (int) Math.max(0, millis(u[1].strip())) : 0;
    }

    /** Tokens in the parts that others share: all but the last. */
    public int sharedTokens() {
        var n = 0;
        for (var i = 0; i + 1 < sizes.size(); i++) {
            n += sizes.get(i);
        }
        return n;
    }

    @Override
    public int tokens() {
        return promptTokens;
    }

    @Override
    public int segmentCount() {
        return sizes.size();
    }

    @Override
    public String segment(int index) {
        return parts.get(index);
    }

    @Override
    public int segmentTokens(int index) {
        return sizes.get(index);
    }

    public State state() {
        return state;
    }

    public void become(State s) {
        state = s;
    }

    public boolean done() {
        return state == State.DONE;
    }

    public long ageUs() {
        return Clocks.nowUs() - arrivedUs;
    }
}
