package trailthread.lab.emulation;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;

/** A connection with HTTP messages on it. */
final class HttpMessageConnection implements EmulationLoop.Ready {
    /** Hears what comes. */
    interface Listener {
        /** It has come up. */
        default void opened() {}

        /** A message is whole. */
        void message(HttpMessage message);

        /**
         * It has ended, by the other side or by what can't be read; not after {@link
         * HttpMessageConnection#close}.
         */
        void closed(String how);
    }

    /** All wires of a loop are read on its thread, one after the other. */
    private static final ByteBuffer IN = ByteBuffer.allocateDirect(64 * 1024);

    private final SocketChannel channel;
    private final Listener listener;
    private final MessageDecoder decoder = new MessageDecoder();
    private final ArrayDeque<ByteBuffer> out = new ArrayDeque<>();
    private final SelectionKey key;
    private boolean connected;
    private boolean open = true;

    /** It is neither read nor written: its machine is cut off. */
    private boolean mute;

    /** When the first byte of the message came that is being read. */
    private long beganAt;

    private final EmulationLoop loop;

    private HttpMessageConnection(
            EmulationLoop loop, SocketChannel channel, boolean connected, Listener listener)
            throws IOException {
        this.loop = loop;
        this.channel = channel;
        this.listener = listener;
        this.connected = connected;
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        key =
                loop.register(
                        channel, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
    }

    /** One that was accepted. */
    static HttpMessageConnection accepted(
            EmulationLoop loop, SocketChannel channel, Listener listener) throws IOException {
        return new HttpMessageConnection(loop, channel, true, listener);
    }

    /** One that is being opened; the listener hears whether it comes up. */
    static HttpMessageConnection open(EmulationLoop loop, InetSocketAddress to, Listener listener)
            throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.connect(to);
        return new HttpMessageConnection(loop, channel, false, listener);
    }

    boolean isOpen() {
        return open;
    }

    boolean isConnected() {
        return connected;
    }

    long beganAt() {
        return beganAt;
    }

    void mute(boolean on) {
        mute = on;
        arrange();
    }

    void send(String text) {
        send(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    void send(ByteBuffer bytes) {
        if (open) {
            out.add(bytes);
            if (connected && !mute) {
                write();
            }
        }
    }

    /** Whether all that was sent is written. */
    boolean isFlushed() {
        return out.isEmpty();
    }

    @Override
    public void ready() {
        if (!open || mute) {
            return;
        }
        if (!connected) {
            connect();
            return;
        }
        if (key.isValid() && key.isWritable()) {
            write();
        }
        read();
    }

    private void connect() {
        try {
            connected = channel.finishConnect();
        } catch (IOException e) {
            fail("can't be opened");
            return;
        }
        if (connected) {
            listener.opened();
            write();
        }
    }

    /** Reads what has come by now. */
    void read() {
        while (open && connected && !mute) {
            int count;
            IN.clear();
            try {
                count = channel.read(IN);
            } catch (IOException e) {
                fail("reset");
                return;
            }
            if (count <= 0) {
                if (count < 0) {
                    fail(decoder.isWithin() ? "ended within a message" : "ended");
                }
                return;
            }
            IN.flip();
            // A listener may read other wires, and with the same buffer.
            ByteBuffer mine = ByteBuffer.allocate(count).put(IN).flip();
            take(mine);
        }
    }

    private void take(ByteBuffer bytes) {
        try {
            while (open && bytes.hasRemaining()) {
                beganAt = decoder.isWithin() ? beganAt : loop.eventQueue().now();
                HttpMessage message = decoder.decode(bytes);
                if (message != null) {
                    listener.message(message);
                }
            }
        } catch (IOException e) {
            fail(e.getMessage());
        }
    }

    private void write() {
        try {
            while (!out.isEmpty()) {
                channel.write(out.peek());
                if (out.peek().hasRemaining()) {
                    break;
                }
                out.poll();
            }
        } catch (IOException e) {
            fail("reset");
        }
        arrange();
    }

    private void arrange() {
        if (open && key.isValid()) {
            key.interestOps(
                    mute
                            ? 0
                            : !connected
                                    ? SelectionKey.OP_CONNECT
                                    : SelectionKey.OP_READ
                                            | (out.isEmpty() ? 0 : SelectionKey.OP_WRITE));
        }
    }

    private void fail(String how) {
        if (open) {
            close();
            listener.closed(how);
        }
    }

    /** Ends it; nothing more is heard. */
    void close() {
        if (open) {
            open = false;
            key.cancel();
            try {
                channel.close();
            } catch (IOException e) {
                // it is gone either way
            }
        }
    }

    /** Ends it by a reset. */
    void reset() {
        try {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
            // it is gone already
        }
        close();
    }
}
