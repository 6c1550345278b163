package org.xnio.nio;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import org.xnio.ChannelListener;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * XNIO's server on a listening socket that the process was given: XNIO itself only makes its own.
 * In XNIO's package, as the classes that this joins are not public; the build holds their version.
 */
public final class InheritedTcpServer {
    private InheritedTcpServer() {}

    /**
     * The server, which accepts nothing as yet.
     *
     * @param given bound and listening; to be closed with the server alone
     * @throws IOException if it can't be made non-blocking or registered
     */
    public static AcceptingChannel<StreamConnection> on(
            ServerSocketChannel given,
            XnioWorker worker,
            ChannelListener<? super AcceptingChannel<StreamConnection>> accept,
            OptionMap options)
            throws IOException {
        given.configureBlocking(false);
        QueuedNioTcpServer2 server =
                new QueuedNioTcpServer2(
                        new NioTcpServer((NioXnioWorker) worker, given, options, true));
        server.setAcceptListener(accept);
        return server;
    }
}
