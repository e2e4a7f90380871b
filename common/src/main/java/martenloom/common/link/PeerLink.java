package martenloom.common.link;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.Reactor;
import java.util.Arrays;
import java.util.Optional;
import martenloom.common.callers.Callers;
import martenloom.common.clock.Clocks;
import martenloom.common.log.RingLog;
import martenloom.common.socket.SocketReadHandler;
import martenloom.common.socket.SocketReader;

/**
 * One open link between two daemons, in either direction. It carries records, each preceded by its
 * length in four bytes. It is open from the start and closes once. Runs on the reactor thread.
 */
public final class PeerLink implements SocketReadHandler, Callers.Connection {
    private static final int LENGTH_BYTES = 4;

    /** The longest record that a link takes. */
    private static final int MAX_RECORD_BYTES = 24 << 20;

    private static final int MAX_UNSENT_BYTES = 32 << 20;

    /** What may wait to be sent on all links of a thread together, as a part of the heap. */
    private static final long UNSENT_DIVISOR = 4;

    private static final long MAX_UNSENT_ON_ALL_LINKS_BYTES =
            Runtime.getRuntime().maxMemory() / UNSENT_DIVISOR;

    private static final int INITIAL_BUFFER_BYTES = 1024;

    /** The objects of a link. */
    private static final int LINK_BYTES = 2 << 10;

    /** A larger buffer is given back as soon as it is empty. */
    private static final int MAX_IDLE_BUFFER_BYTES = 65536;

    private final ITcpSocket socket;
    private final PeerLinkHandler handler;
    private final SocketReader reader;
    private final LinkTraffic traffic = LinkTraffic.ofCurrentThread();
    private final TransitDelay transitDelay = new TransitDelay();

    /** Received bytes that do not make a whole record yet: the first {@link #buffered} of them. */
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];

    private int buffered;
    private int unsentBytes;
    private boolean open = true;
    private boolean readsShortForms;
    private long lastReceivedUs = Clocks.nowUs();

    /** What bounds a link that was accepted; empty for one that this daemon has opened. */
    private Optional<Callers.Caller> caller = Optional.empty();

    private Object attachment = "";
    private String peer;

    PeerLink(ITcpSocket socket, String peer, PeerLinkHandler handler) {
        this.socket = socket;
        this.handler = handler;
        this.peer = peer;
        reader = new SocketReader(socket, this);
    }

    /** Puts a link that was accepted under these bounds. */
    void boundBy(Callers callers) {
        caller = Optional.of(callers.open(this));
        countHeld();
    }

    private boolean countHeld() {
        return caller.map(bounded -> bounded.hold(heldBytes())).orElse(true);
    }

    @Override
    public long heldBytes() {
        return (long) LINK_BYTES + buffer.length;
    }

    /** A link may rest for any time; the one that rests for longest gives way first. */
    @Override
    public boolean isStalled(long nowUs) {
        return false;
    }

    @Override
    public void refuse() {
        drop("gives way to others");
    }

    /** Begins to read. */
    void start() {
        reader.readWhileWanted();
    }

    /** The steady time in microseconds at which bytes last arrived, or of the opening. */
    public long lastReceivedUs() {
        return lastReceivedUs;
    }

    /** How long the records that carry their time of sending were under way. */
    public TransitDelay transitDelay() {
        return transitDelay;
    }

    /** A value that the owner of the link has attached to it; at first an empty string. */
    public Object attachment() {
        return attachment;
    }

    public void setAttachment(Object attachment) {
        this.attachment = attachment;
    }

    /** Whether the peer has said that it reads the short forms of records. */
    public boolean readsShortForms() {
        return readsShortForms;
    }

    public void setReadsShortForms(boolean readsShortForms) {
        this.readsShortForms = readsShortForms;
    }

    /** The IP address of the peer, or the name that it has given itself. */
    public String peer() {
        return peer;
    }

    public void setPeer(String peer) {
        this.peer = peer;
    }

    /**
     * Sends a record; does nothing on a closed link. A link to a peer that does not read is closed
     * once {@link #MAX_UNSENT_BYTES} wait to be sent, or if most waits there once {@link
     * #MAX_UNSENT_ON_ALL_LINKS_BYTES} do.
     */
    public void send(byte[] record) {
        if (!open) {
            return;
        }
        if (unsentBytes > MAX_UNSENT_BYTES) {
            dropUnread();
            return;
        }
        if (traffic.unsentBytes() > MAX_UNSENT_ON_ALL_LINKS_BYTES) {
            traffic.slowestLink()
                    .ifPresent(slowest -> Reactor.getCurrentReactor().post(slowest::dropUnread));
        }
        var frameBytes = record.length + LENGTH_BYTES;
        var frame = ByteBufPool.allocate(frameBytes);
        frame.writeInt(record.length);
        frame.put(record);
        countUnsent(frameBytes);
        traffic.countSent(record);
        socket.write(frame)
                .subscribe(
                        (nothing, error) -> {
                            countUnsent(-frameBytes);
                            if (error != null) {
                                close();
                            }
                        });
    }

    private void countUnsent(int change) {
        unsentBytes += change;
        traffic.countUnsent(this, change);
    }

    /** Bytes that wait to be sent. */
    int unsentBytes() {
        return unsentBytes;
    }

    private void dropUnread() {
        drop("does not read");
    }

    private void drop(String reason) {
        RingLog.debug("link " + peer + ": " + reason + ", dropped");
        close();
    }

    /** Closes the link and tells its handler; does nothing on a closed link. */
    @Override
    public void close() {
        if (open) {
            open = false;
            socket.close();
            caller.ifPresent(Callers.Caller::close);
            handler.onClosed(this);
        }
    }

    @Override
    public boolean wantsMore() {
        return open;
    }

    @Override
    public void onEnd() {
        close();
    }

    @Override
    public void onBytes(ByteBuf bytes) {
        lastReceivedUs = Clocks.nowUs();
        var count = bytes.readRemaining();
        if (buffered + count > buffer.length && !makeRoom(buffered + count)) {
            drop("no memory for its record");
            return;
        }
        bytes.drainTo(buffer, buffered, count);
        buffered += count;
        handleRecords();
    }

    /** Lets the buffer grow, not beyond the record that it holds a part of; whether it may. */
    private boolean makeRoom(int neededBytes) {
        var recordBytes = buffered < LENGTH_BYTES ? 0 : Math.max(0, lengthAt(0)) + LENGTH_BYTES;
        var doubled = Math.min(buffer.length * 2, recordBytes);
        buffer = Arrays.copyOf(buffer, Math.max(doubled, neededBytes));
        return countHeld();
    }

    /** Passes all whole records in the buffer on and keeps the rest. */
    private void handleRecords() {
        var at = 0;
        while (open && buffered - at >= LENGTH_BYTES) {
            var length = lengthAt(at);
            if (length < 1 || length > MAX_RECORD_BYTES) {
                RingLog.error("link " + peer + ": record length " + length);
                close();
                return;
            }
            if (buffered - at - LENGTH_BYTES < length) {
                break;
            }
            at += LENGTH_BYTES;
            var record = Arrays.copyOfRange(buffer, at, at + length);
            at += length;
            handle(record);
            caller.ifPresent(Callers.Caller::await);
        }
        System.arraycopy(buffer, at, buffer, 0, buffered - at);
        buffered -= at;
        if (buffered == 0 && buffer.length > MAX_IDLE_BUFFER_BYTES) {
            buffer = new byte[INITIAL_BUFFER_BYTES];
            countHeld();
        }
    }

    /** The length at a position of the buffer, its most significant byte first. */
    private int lengthAt(int at) {
        var length = 0;
        for (var i = 0; i < LENGTH_BYTES; i++) {
            length = length << Byte.SIZE | Byte.toUnsignedInt(buffer[at + i]);
        }
        return length;
    }

    @SuppressWarnings("IllegalCatch") // whatever a record breaks in its handler, the link goes on
    private void handle(byte[] record) {
        try {
            handler.onRecord(this, record);
        } catch (RuntimeException e) {
            RingLog.error("link " + peer + " record " + record[0], e);
        }
    }
}
