package trailthread.lab.emulation;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;

/** A non-blocking connection that carries HTTP messages. */
final class HttpMessageConnection implements EmulationLoop.ChannelHandler {
    /** Receives the events of a connection. */
    interface Listener {
        /** The connection is established. */
        default void opened() {}

        /** A complete message has arrived. */
        void message(HttpMessage message);

        /**
         * The peer has closed or reset the connection, or has sent a malformed message. Not called
         * after {@link HttpMessageConnection#close}.
         */
        void closed(String reason);
    }

    /** Shared by all connections: they are read on one thread, one after the other. */
    private static final ByteBuffer READ_BUFFER = ByteBuffer.allocateDirect(64 * 1024);

    private final SocketChannel channel;
    private final Listener listener;
    private final MessageDecoder decoder = new MessageDecoder();
    private final ArrayDeque<ByteBuffer> pendingWrites = new ArrayDeque<>();
    private final SelectionKey key;
    private boolean connected;
    private boolean open = true;

    /** Whether the connection is closed once everything sent has been written. */
    private boolean closeWhenFlushed;

    /** Whether the host is isolated: the connection is then neither read nor written. */
    private boolean isolated;

    /** When the first byte of the current message arrived. */
    private long messageStartedAt;

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

    /** Wraps an accepted channel. */
    static HttpMessageConnection accepted(
            EmulationLoop loop, SocketChannel channel, Listener listener) throws IOException {
        return new HttpMessageConnection(loop, channel, true, listener);
    }

    /** Starts to connect; the listener receives the outcome. */
    static HttpMessageConnection open(
            EmulationLoop loop, InetSocketAddress address, Listener listener) throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.connect(address);
        return new HttpMessageConnection(loop, channel, false, listener);
    }

    boolean isOpen() {
        return open;
    }

    boolean isConnected() {
        return connected;
    }

    long messageStartedAt() {
        return messageStartedAt;
    }

    void setIsolated(boolean isolated) {
        this.isolated = isolated;
        updateInterestOps();
    }

    void send(String text) {
        send(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    void send(ByteBuffer bytes) {
        if (open) {
            pendingWrites.add(bytes);
            if (connected && !isolated) {
                write();
            }
        }
    }

    /** Whether everything sent has been written to the socket. */
    boolean isFlushed() {
        return pendingWrites.isEmpty();
    }

    @Override
    public void ready() {
        if (!open || isolated) {
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
            fail("connect failed");
            return;
        }
        if (connected) {
            listener.opened();
            write();
        }
    }

    /** Reads and decodes the bytes that have arrived. */
    void read() {
        while (open && connected && !isolated) {
            int count;
            READ_BUFFER.clear();
            try {
                count = channel.read(READ_BUFFER);
            } catch (IOException e) {
                fail("reset");
                return;
            }
            if (count <= 0) {
                if (count < 0) {
                    fail(decoder.isMidMessage() ? "closed within a message" : "closed");
                }
                return;
            }
            READ_BUFFER.flip();
            // A copy: the listener may read other connections into the shared buffer.
            ByteBuffer received = ByteBuffer.allocate(count).put(READ_BUFFER).flip();
            decode(received);
        }
    }

    private void decode(ByteBuffer bytes) {
        try {
            while (open && bytes.hasRemaining()) {
                messageStartedAt =
                        decoder.isMidMessage() ? messageStartedAt : loop.eventQueue().now();
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
            while (!pendingWrites.isEmpty()) {
                channel.write(pendingWrites.peek());
                if (pendingWrites.peek().hasRemaining()) {
                    break;
                }
                pendingWrites.poll();
            }
        } catch (IOException e) {
            fail("reset");
        }
        if (closeWhenFlushed && pendingWrites.isEmpty()) {
            close();
        }
        updateInterestOps();
    }

    private void updateInterestOps() {
        if (open && key.isValid()) {
            key.interestOps(
                    isolated
                            ? 0
                            : !connected
                                    ? SelectionKey.OP_CONNECT
                                    : SelectionKey.OP_READ
                                            | (pendingWrites.isEmpty()
                                                    ? 0
                                                    : SelectionKey.OP_WRITE));
        }
    }

    private void fail(String reason) {
        if (open) {
            close();
            listener.closed(reason);
        }
    }

    /** Closes the connection; the listener receives no further events. */
    void close() {
        if (open) {
            open = false;
            key.cancel();
            try {
                channel.close();
            } catch (IOException e) {
                // the channel is closed in any case
            }
        }
    }

    /** Closes the connection once everything sent has been written. */
    void closeWhenFlushed() {
        closeWhenFlushed = true;
        if (pendingWrites.isEmpty()) {
            close();
        }
    }

    /** Closes the connection with a TCP reset. */
    void reset() {
        try {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
            // the socket is closed already
        }
        close();
    }
}
