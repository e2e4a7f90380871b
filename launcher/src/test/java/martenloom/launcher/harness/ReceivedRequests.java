package martenloom.launcher.harness;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What a stand-in replica received and executed, by attempt id, and when something came about, so
 * that tests wait for signals. Thread-safe.
 */
final class ReceivedRequests {
    private final Map<String, List<ReplicaRequest>> received = new ConcurrentHashMap<>();
    private final Map<String, String> texts = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();
    private final Set<String> stalled = ConcurrentHashMap.newKeySet();
    private final Map<String, CompletableFuture<Long>> signals = new ConcurrentHashMap<>();

    void addReceived(ReplicaRequest request) {
        received.computeIfAbsent(request.attempt(), key -> new CopyOnWriteArrayList<>())
                .add(request);
    }

    void addExecution(String attempt) {
        executions.computeIfAbsent(attempt, key -> new AtomicInteger()).incrementAndGet();
    }

    void addText(ReplicaRequest request, String body) {
        texts.put(request.attempt(), request.startLine() + " " + request.fields() + " " + body);
    }

    void addStalled(String attempt) {
        stalled.add(attempt);
    }

    List<ReplicaRequest> received(String attempt) {
        return received.getOrDefault(attempt, List.of());
    }

    /** Start line, fields and body of the latest request of this attempt that was executed. */
    String text(String attempt) {
        return texts.getOrDefault(attempt, "");
    }

    /** How many attempts whose id starts so were executed and read to the end. */
    int attempts(String prefix) {
        return (int) texts.keySet().stream().filter(id -> id.startsWith(prefix)).count();
    }

    int executions(String attempt) {
        return executions.getOrDefault(attempt, new AtomicInteger()).get();
    }

    /** How many executions there were of attempts whose id starts so. */
    int executionsOf(String prefix) {
        return executions.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(prefix))
                .mapToInt(entry -> entry.getValue().get())
                .sum();
    }

    Set<String> stalled() {
        return stalled;
    }

    /** When, by nanoTime, this came about. */
    CompletableFuture<Long> signal(String event) {
        return signals.computeIfAbsent(event, key -> new CompletableFuture<>());
    }

    void tell(String event) {
        signal(event).complete(System.nanoTime());
    }
}
