package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Page images are fetched: by clients that are connected, straight from an edge; for a site that
 * has lost its link, as deferred jobs whose results are fetched later.
 */
public final class BinaryResults {
    private static final int IMAGES = 12;
    private static final int LEAST_BYTES = 800;
    private static final int MORE_BYTES = 4_000;
    private static final double WAIT_S = 40;

    /** What the replica answered, by the path that was asked for. */
    private static final Map<String, byte[]> ANSWERED = new ConcurrentHashMap<>();

    private BinaryResults() {}

    public static void main(String[] args) {
        Kit.runCase(args[0], BinaryResults::run);
    }

    /** An image: its bytes are no text in any encoding. */
    private static byte[] image(String path) {
        var random = new Random(path.hashCode());
        var bytes = new byte[LEAST_BYTES + random.nextInt(MORE_BYTES)];
        random.nextBytes(bytes);
        return bytes;
    }

    static int run(Kit kit) throws Exception {
        kit.start(1);
        for (var zone = 0; zone < 3; zone++) {
            new Replica(kit, "i-" + zone, "digests", zone, zone, 6) {
                @Override
                boolean run(Request request, Socket socket, OutputStream out) throws IOException {
                    var image = image(request.path);
                    ANSWERED.put(request.path, image);
                    respond(request, out, image);
                    return true;
                }
            };
        }
        if (kit.configure(0, JobResults.configuration(1), 20_000) != 200 || !kit.awaitReady(30_000)) {
            return Kit.EXIT_CANNOT_RUN;
        }
        Kit.pause(4_000);
        var received = 0;
        var wrong = 0;
        for (var i = 0; i < IMAGES; i++) {
            var path = "/digest/page-" + i;
            var reply = kit.trouble ? deferred(kit, i, path) : direct(kit, i, path);
            var whole = ANSWERED.getOrDefault(path, new byte[0]);
            var same = Arrays.equals(reply.body, whole);
            kit.note(path + ": " + reply.status + ", the replica answered " + whole.length
                    + " bytes, the client got " + reply.body.length + (same ? ", the same" : ", other bytes"));
            received += reply.status == 200 ? 1 : 0;
            wrong += reply.status == 200 && !same ? 1 : 0;
        }
        kit.note("received " + received + ", with another body than the replica's " + wrong);
        if (received == 0) {
            return Kit.EXIT_CANNOT_RUN;
        }
        return wrong > 0 ? Kit.EXIT_BROKEN : Kit.EXIT_HELD;
    }

    private static Http.Reply direct(Kit kit, int number, String path) {
        return Http.call(
                kit.edges.get(number % 3),
                kit.frontPort(),
                "GET",
                path,
                "Host: ficu95.example\r\nX-Attempt-Id: page-" + number + "\r\nX-Time-Remaining: 5000\r\n",
                "",
                6_000);
    }

    private static Http.Reply deferred(Kit kit, int number, String path) {
        var job = "/jobs/page-" + number;
        var taken =
                kit.operate(
                        "POST",
                        job + "/submit",
                        "Content-Type: application/json\r\n",
                        "{\"Hostname\":\"ficu95.example\",\"Method\":\"GET\",\"Path\":\"" + path
                                + "\",\"Headers\":{},\"DueMs\":60000,\"Region\":\"" + Kit.REGIONS[number % 3] + "\"}",
                        5_000);
        kit.note(job + " handed in: " + taken.status);
        var end = kit.seconds() + WAIT_S;
        Http.Reply result;
        do {
            Kit.pause(200);
            result = kit.operate("GET", job + "/result", "", "", 3_000);
        } while (result.status == 409 && kit.seconds() < end);
        return result;
    }
}
