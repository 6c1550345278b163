package trailthread.daemon;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;

/**
 * The listening socket for clients, if the platform opened it and all processes of a node inherit
 * it.
 */
final class InheritedSocket {
    private static final String VARIABLE = "LB_SOCKET_FD";

    /** The only descriptor that Java can inherit, see {@link System#inheritedChannel}. */
    private static final String DESCRIPTOR = "0";

    private InheritedSocket() {}

    /**
     * The inherited socket, or null if the node is to open its address itself.
     *
     * @throws ConfigException if the variable names another descriptor, or is not a listening
     *     socket
     * @throws IOException if the descriptor can't be used
     */
    static ServerSocketChannel fromEnvironment(Map<String, String> environment)
            throws ConfigException, IOException {
        String descriptor = environment.getOrDefault(VARIABLE, "");
        if (descriptor.isEmpty()) {
            return null;
        }
        if (!descriptor.equals(DESCRIPTOR)) {
            throw new ConfigException(
                    VARIABLE, "descriptor " + DESCRIPTOR + ", got '" + descriptor + "'");
        }
        Channel inherited = System.inheritedChannel();
        if (inherited instanceof ServerSocketChannel socket) {
            return socket;
        }
        throw new ConfigException(VARIABLE, "a listening socket");
    }
}
