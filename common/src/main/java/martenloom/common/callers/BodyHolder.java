package martenloom.common.callers;

/** Whoever answers for the memory of the body of one request. */
public interface BodyHolder {
    /** From now on the rest of the body is awaited. */
    void awaitBody();

    /** The request is complete; its caller waits for the response. */
    void serve();

    /**
     * Counts the body of the request.
     *
     * @param bytes all that is held of it
     * @return whether it is within the bound; if not, the request is to be refused
     */
    boolean holdBody(long bytes);
}
