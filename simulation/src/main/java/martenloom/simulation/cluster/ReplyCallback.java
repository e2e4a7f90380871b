package martenloom.simulation.cluster;

/** Takes what an order came to: a status as of HTTP, and a text. */
@FunctionalInterface
public interface ReplyCallback {
    /** The outcome is not known, or nothing was done: the caller may call again. */
    int UNAVAILABLE = 503;

    void accept(int status, String text);
}
