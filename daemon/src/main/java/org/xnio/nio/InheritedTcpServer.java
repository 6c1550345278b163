package org.xnio.nio;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import org.xnio.ChannelListener;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Creates an XNIO server on a listening socket that the process inherited; XNIO itself can only
 * open sockets. This is in XNIO's package, as the classes that it uses are package-private; the
 * build pins XNIO's version.
 */
public final class InheritedTcpServer {
    private InheritedTcpServer() {}

    /**
     * Creates the server. It accepts nothing until accepts are resumed.
     *
     * @param inherited bound and listening; closed only with the server
     * @param accept runs when connections are waiting to be accepted
     * @throws IOException if it can't be made non-blocking or registered
     */
    public static AcceptingChannel<StreamConnection> create(
            ServerSocketChannel inherited,
            XnioWorker worker,
            ChannelListener<? super AcceptingChannel<StreamConnection>> accept,
            OptionMap options)
            throws IOException {
        inherited.configureBlocking(false);
        QueuedNioTcpServer2 server =
                new QueuedNioTcpServer2(
                        new NioTcpServer((NioXnioWorker) worker, inherited, options, true));
        server.setAcceptListener(accept);
        return server;
    }
}
