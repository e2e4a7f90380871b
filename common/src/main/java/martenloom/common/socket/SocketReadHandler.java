package martenloom.common.socket;

import io.activej.bytebuf.ByteBuf;

/** Receives what a {@link SocketReader} reads. Called on the reactor thread. */
public interface SocketReadHandler {
    /** Whether to go on reading; asked before each read and before bytes are given. */
    boolean wantsMore();

    /** Takes the bytes of one read; the reader recycles the buffer afterwards. */
    void onBytes(ByteBuf bytes);

    /** The other side has closed its half of the connection in order. */
    void onEnd();

    /** The connection was reset or failed in another way. */
    default void onError() {
        onEnd();
    }
}
