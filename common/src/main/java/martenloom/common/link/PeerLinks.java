package martenloom.common.link;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;
import martenloom.common.clock.Clocks;
import martenloom.common.log.RingLog;
import martenloom.common.socket.SocketReader;

/**
 * Links between daemons: length-prefixed records over ActiveJ's TCP sockets. A Dial keeps one
 * outgoing link alive, opening it again after a pause and giving it up after a silence; Inbound
 * takes links in. What waits to be written on a link is bounded: a peer that does not read loses
 * its link, not our memory.
 */
public final class PeerLinks {
    public static final int MAX_FRAME = 24 << 20;
    private static final int MAX_WAITING = 32 << 20;
    private static final SocketSettings SOCKET =
            SocketSettings.builder().withTcpNoDelay(true).build();

    private PeerLinks() {}

    /** Receives records and the ends of links; called on the thread of the reactor. */
    public interface Handler {
        void onRecord(Link l, byte[] record);

        void onClosed(Link l);
    }

    /** One open link in either direction. The tag is free for the owner's use. */
    public static final class Link implements SocketReader.Owner {
        private final ITcpSocket sock;
        private final Handler h;
        private final SocketReader pump;
        private byte[] buf = new byte[1024];
        private int len;
        private int waiting;
        private final LinkTraffic traffic = LinkTraffic.mine();
        private boolean open = true;
        public long heardUs = Clocks.nowUs();

        /** How long the records that carry their time of sending were under way. */
        public final TransitDelay delay = new TransitDelay();

        public Object tag = "";
        public String peer;

        private Link(ITcpSocket s, String peer, Handler h) {
            sock = s;
            this.h = h;
            this.peer = peer;
            pump = new SocketReader(s, this);
        }

        public boolean isOpen() {
            return open;
        }

        public void send(byte[] record) {
            if (!open) {
                return;
            }
            if (waiting > MAX_WAITING) {
                RingLog.note("link " + peer + ": does not read, dropped");
                close();
                return;
            }
            var b = ByteBufPool.allocate(record.length + 4);
            b.writeInt(record.length);
            b.put(record);
            var n = record.length + 4;
            waiting += n;
            traffic.sent(record);
            sock.write(b)
                    .subscribe(
                            (v, e) -> {
                                waiting -= n;
                                if (e != null) {
                                    close();
                                }
                            });
        }

        public void close() {
            if (open) {
                open = false;
                sock.close();
                h.onClosed(this);
            }
        }

        private void pump() {
            pump.go();
        }

        @Override
        public boolean wants() {
            return open;
        }

        @Override
        public void ended() {
            close();
        }

        @Override
        public void take(ByteBuf b) {
            heardUs = Clocks.nowUs();
            var n = b.readRemaining();
            if (len + n > buf.length) {
                buf = Arrays.copyOf(buf, Math.max(buf.length * 2, len + n));
            }
            b.drainTo(buf, len, n);
            len += n;
            cut();
        }

        private void cut() {
            var at = 0;
            while (open && len - at >= 4) {
                var n =
                        ((buf[at] & 255) << 24)
                                | ((buf[at + 1] & 255) << 16)
                                | ((buf[at + 2] & 255) << 8)
                                | (buf[at + 3] & 255);
                if (n < 1 || n > MAX_FRAME) {
                    RingLog.wrong("link " + peer + ": record length " + n);
                    close();
                    return;
                }
                if (len - at - 4 < n) {
                    break;
                }
                var record = Arrays.copyOfRange(buf, at + 4, at + 4 + n);
                at += 4 + n;
                try {
                    h.onRecord(this, record);
                } catch (RuntimeException x) {
                    RingLog.wrong("link " + peer + " record " + record[0] + ": " + Clocks.trace(x));
                }
            }
            System.arraycopy(buf, at, buf, 0, len - at);
            len -= at;
            if (len == 0 && buf.length > 65536) {
                buf = new byte[1024];
            }
        }
    }

    /** An outgoing link that is kept up until stopped. */
    public static final class Dial {
        private final Eventloop loop;
        private final InetSocketAddress to;
        private final Handler h;
        private final Consumer<Link> onUp;
        private final long pauseUs;
        private Optional<Link> link = Optional.empty();
        private boolean stopped;

        public Dial(
                Eventloop loop,
                InetSocketAddress to,
                long pauseUs,
                Consumer<Link> onUp,
                Handler h) {
            this.loop = loop;
            this.to = to;
            this.h = h;
            this.onUp = onUp;
            this.pauseUs = pauseUs;
            open();
        }

        public Optional<Link> link() {
            return link;
        }

        public void send(byte[] record) {
            link.ifPresent(l -> l.send(record));
        }

        public void stop() {
            stopped = true;
            link.ifPresent(Link::close);
        }

        /** Gives up a link that has been silent for longer than this. */
        public void check(long silenceUs) {
            link.filter(l -> Clocks.nowUs() - l.heardUs > silenceUs)
                    .ifPresent(
                            l -> {
                                RingLog.note("link " + l.peer + ": silent, given up");
                                l.close();
                            });
        }

        private void open() {
            if (stopped) {
                return;
            }
            TcpSocket.connect(loop, to, 1500L, SOCKET)
                    .subscribe(
                            (s, e) -> {
                                if (e != null) {
                                    again();
                                } else if (stopped) {
                                    s.close();
                                } else {
                                    up(s);
                                }
                            });
        }

        private void again() {
            Clocks.after(loop, pauseUs, this::open);
        }

        private void up(ITcpSocket s) {
            var l =
                    new Link(
                            s,
                            to.getAddress().getHostAddress(),
                            new Handler() {
                                @Override
                                public void onRecord(Link l, byte[] record) {
                                    h.onRecord(l, record);
                                }

                                @Override
                                public void onClosed(Link l) {
                                    link = Optional.empty();
                                    h.onClosed(l);
                                    again();
                                }
                            });
            link = Optional.of(l);
            onUp.accept(l);
            l.pump();
        }
    }

    public static void listen(Eventloop loop, InetSocketAddress at, Handler h) throws IOException {
        SimpleServer.builder(
                        loop,
                        s -> {
                            var l = new Link(s, remote(s), h);
                            l.pump();
                        })
                .withSocketSettings(SOCKET)
                .withListenAddress(at)
                .build()
                .listen();
    }

    private static String remote(ITcpSocket s) {
        return s instanceof TcpSocket t && t.getRemoteAddress() != null
                ? t.getRemoteAddress().getAddress().getHostAddress()
                : "unknown";
    }
}
