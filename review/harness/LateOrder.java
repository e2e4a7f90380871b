package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A zone is emptied, taken back and emptied again. The operator's way to one core daemon is cut for
 * a while when it takes the zone back, so it sends that order again to another daemon; the first
 * copy arrives when the cut is over.
 */
public final class LateOrder {
    private static final int ZONE = 0;
    private static final long CUT_MS = 6_000;
    private static final long EVACUATED_MS = 8_000;
    private static final long IN_USE_MS = 1_500;
    private static final double EVACUATION_S = 5.0;
    private static final double JUDGED_S = 8.0;
    private static final int CLIENTS_PER_EDGE = 3;

    /** When each request was sent, in seconds. */
    private static final Map<String, Double> SENT = new ConcurrentHashMap<>();

    private static final Map<String, Double> ARRIVED_IN_ZONE = new ConcurrentHashMap<>();
    private static final AtomicInteger NUMBER = new AtomicInteger();
    private static volatile boolean over;

    /** The core daemon that acknowledged the operator's last order. */
    private static int answeredLast;

    private LateOrder() {}

    public static void main(String[] args) {
        Kit.runCase(args[0], LateOrder::run);
    }

    private static void client(Kit kit, String edge) {
        while (!over) {
            var id = "q-" + NUMBER.incrementAndGet();
            SENT.put(id, kit.seconds());
            Http.call(
                    edge,
                    kit.frontPort(),
                    "POST",
                    "/digest/x",
                    "Host: ficu95.example\r\nX-Attempt-Id: " + id + "\r\nX-Time-Remaining: 3000\r\n",
                    "p",
                    4_000);
            Kit.pause(60);
        }
    }

    /**
     * Sends an order as the operator does: to one daemon after another, each for a second, until it
     * is acknowledged, beginning with the one that answered last. Daemon 0 is reached over the link.
     */
    private static boolean order(Kit kit, HeldLink link, String ownIp, String what) {
        for (var turn = 0; turn < 6; turn++) {
            var daemon = (answeredLast + turn) % kit.cores.size();
            var reply =
                    Http.call(
                            daemon == 0 ? ownIp : kit.cores.get(daemon),
                            daemon == 0 ? link.port() : kit.controlPort(),
                            "POST",
                            "/evacuations/" + Kit.ZONES[ZONE] + "/" + what,
                            "",
                            "",
                            1_000);
            kit.note(what + " sent to daemon " + daemon + ": " + (reply.status == 0 ? "no answer" : reply.status));
            if (reply.status == 200) {
                answeredLast = daemon;
                return true;
            }
            Kit.pause(100);
        }
        return false;
    }

    static int run(Kit kit) throws Exception {
        kit.start(1);
        for (var zone = 0; zone < 3; zone++) {
            for (var i = 0; i < 2; i++) {
                new Replica(kit, "i-" + zone + "-" + i, "digests", zone, zone * 2 + i, 6) {
                    @Override
                    boolean run(Request request, Socket socket, OutputStream out) throws IOException {
                        if (this.zone == ZONE) {
                            ARRIVED_IN_ZONE.put(request.id(), kit.seconds());
                        }
                        return super.run(request, socket, out);
                    }
                };
            }
        }
        if (kit.configure(0, JobResults.configuration(1), 20_000) != 200 || !kit.awaitReady(30_000)) {
            return Kit.EXIT_CANNOT_RUN;
        }
        Kit.pause(5_000);
        for (var edge : kit.edges) {
            for (var i = 0; i < CLIENTS_PER_EDGE; i++) {
                Replica.daemon(() -> client(kit, edge));
            }
        }
        Kit.pause(2_000);
        var ownIp = kit.clientIp(1);
        try (var link = new HeldLink(ownIp, kit.cores.get(0), kit.controlPort())) {
            return evacuate(kit, link, ownIp);
        }
    }

    private static int evacuate(Kit kit, HeldLink link, String ownIp) {
        if (!order(kit, link, ownIp, "start")) {
            return Kit.EXIT_CANNOT_RUN;
        }
        Kit.pause(EVACUATED_MS);
        if (kit.trouble) {
            link.setCut(true);
            kit.note("the operator's way to daemon 0 is cut");
            Replica.daemon(
                    () -> {
                        Kit.pause(CUT_MS);
                        link.setCut(false);
                        kit.note("the cut is over");
                    });
        }
        if (!order(kit, link, ownIp, "finish")) {
            return Kit.EXIT_CANNOT_RUN;
        }
        Kit.pause(IN_USE_MS);
        if (!order(kit, link, ownIp, "start")) {
            return Kit.EXIT_CANNOT_RUN;
        }
        var acknowledged = kit.seconds();
        kit.note("the second evacuation is acknowledged");
        Kit.pause((long) ((EVACUATION_S + JUDGED_S) * 1000));
        over = true;
        Kit.pause(500);
        return judge(kit, acknowledged);
    }

    private static int judge(Kit kit, double acknowledged) {
        var before = 0;
        var late = 0;
        var sentLate = 0;
        for (var entry : SENT.entrySet()) {
            var isLate = entry.getValue() > acknowledged + EVACUATION_S;
            sentLate += isLate ? 1 : 0;
            if (ARRIVED_IN_ZONE.containsKey(entry.getKey())) {
                late += isLate ? 1 : 0;
                before += isLate ? 0 : 1;
            }
        }
        kit.note("requests at replicas of the zone before: " + before);
        kit.note("requests sent over " + EVACUATION_S + " s after the acknowledgement: " + sentLate
                + ", at replicas of the zone: " + late);
        if (before == 0 || sentLate == 0) {
            return Kit.EXIT_CANNOT_RUN;
        }
        return late > 0 ? Kit.EXIT_BROKEN : Kit.EXIT_HELD;
    }
}
