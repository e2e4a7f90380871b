package martenloom.core.chain;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import martenloom.common.jobs.Content;
import martenloom.core.chain.ContentMessage.ContentRequest;
import martenloom.core.chain.ContentMessage.ContentResponse;
import martenloom.core.state.ClusterState;

/**
 * Brings the contents that a state only names: a message with such a state is handled once all of
 * them are at hand. What this member does not hold it asks of the sender, a few at a time, so that
 * a state of any size can be taught in records of bounded size. Of each kind of message only the
 * newest waits; a lost one is sent again by those who need it.
 *
 * <p>Invariant: a content is taken by its digest alone, so it does not matter who sent it.
 */
final class ContentExchange {
    /** So many contents are asked for at a time. */
    private static final int MAX_OUTSTANDING = 8;

    /** A content that has not come by then is asked for again. */
    private static final long REPEAT_US = 1_000_000;

    /** A message for which nothing came for so long is given up. */
    private static final long MAX_WAIT_US = 10_000_000;

    /** So long what was fetched is kept for the next message that names it. */
    private static final long KEEP_US = 30_000_000;

    private record Waiting(String from, StateMessage message) {}

    private final MemberContext member;
    private final BiConsumer<String, ChainMessage> handler;

    /** The messages that wait for contents, by their kinds. */
    private final Map<Class<?>, Waiting> waiting = new LinkedHashMap<>();

    private final Map<String, Content> fetched = new HashMap<>();

    /** When each content that has not come was last asked for. */
    private final Map<String, Long> requestedUs = new HashMap<>();

    private long progressUs;

    /**
     * @param handler takes each message whose state is complete
     */
    ContentExchange(MemberContext member, BiConsumer<String, ChainMessage> handler) {
        this.member = member;
        this.handler = handler;
    }

    /** Whether a message waits for contents. */
    boolean isFetching() {
        return !waiting.isEmpty();
    }

    /** Handles a message with a state now, or once all contents are at hand. */
    void deliver(String from, StateMessage message) {
        if (!message.state().hasReferences()) {
            handler.accept(from, message);
            return;
        }
        if (waiting.isEmpty()) {
            progressUs = member.nowUs();
        }
        waiting.put(message.getClass(), new Waiting(from, message));
        handleComplete();
    }

    /** Time passes: asks again, gives up, and forgets. */
    void tick() {
        var idleUs = member.nowUs() - progressUs;
        if (idleUs > MAX_WAIT_US) {
            waiting.clear();
            requestedUs.clear();
        }
        if (idleUs > KEEP_US) {
            fetched.clear();
        }
        if (isFetching()) {
            requestMissing();
        }
    }

    void onMessage(String from, ContentMessage message) {
        if (message instanceof ContentRequest request) {
            answer(from, request);
        } else if (message instanceof ContentResponse response) {
            onContent(Content.of(response.content()));
        }
    }

    private void answer(String from, ContentRequest request) {
        var known = knownContents();
        for (var digest : request.digests()) {
            Optional.ofNullable(known.get(digest))
                    .ifPresent(content -> member.send(from, new ContentResponse(content.bytes())));
        }
    }

    private void onContent(Content content) {
        if (requestedUs.remove(content.digest()) == null) {
            return;
        }
        fetched.put(content.digest(), content);
        progressUs = member.nowUs();
        handleComplete();
    }

    /** Handles the messages whose states are complete, and asks for what the others lack. */
    private void handleComplete() {
        var known = knownContents();
        for (var each : List.copyOf(waiting.values())) {
            var state =
                    each.message.state().resolved(digest -> Optional.ofNullable(known.get(digest)));
            if (state.missing().isEmpty()) {
                waiting.remove(each.message.getClass());
                progressUs = member.nowUs();
                handler.accept(each.from, each.message.withState(state));
            }
        }
        requestMissing();
    }

    private void requestMissing() {
        var known = knownContents();
        for (var each : waiting.values()) {
            var wanted =
                    each.message.state().missing().stream()
                            .filter(digest -> !known.containsKey(digest))
                            .limit(MAX_OUTSTANDING)
                            .filter(this::isDue)
                            .toList();
            if (!wanted.isEmpty()) {
                wanted.forEach(digest -> requestedUs.put(digest, member.nowUs()));
                member.send(each.from, new ContentRequest(wanted));
            }
        }
    }

    private boolean isDue(String digest) {
        return member.nowUs() - requestedUs.getOrDefault(digest, member.nowUs() - REPEAT_US)
                >= REPEAT_US;
    }

    private Map<String, Content> knownContents() {
        var known = new HashMap<>(fetched);
        addContents(known, member.state());
        addContents(known, member.committed().state());
        return known;
    }

    private static void addContents(Map<String, Content> known, ClusterState state) {
        state.jobs()
                .references()
                .forEach(
                        reference ->
                                known.put(reference.digest(), state.jobs().content(reference)));
    }
}
