package martenloom.simulation;

/** Takes what an order came to: a status as of HTTP, and a text. */
@FunctionalInterface
interface Reply {
    /** No connection could be made: a clear sign that the order did not arrive. */
    int UNREACHABLE = 0;

    void accept(int status, String text);
}
