package trailthread.daemon;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;

/**
 * The clients' listening socket, where the platform holds it and every process of a node inherits
 * it.
 */
final class InheritedSocket {
    private static final String VARIABLE = "LB_SOCKET_FD";

    /** The only one that Java hands over, see {@link System#inheritedChannel}. */
    private static final String DESCRIPTOR = "0";

    private InheritedSocket() {}

    /** The socket, or null: the node opens its address itself. */
    static ServerSocketChannel of(Map<String, String> environment)
            throws ConfigException, IOException {
        String told = environment.getOrDefault(VARIABLE, "");
        if (told.isEmpty()) {
            return null;
        }
        if (!told.equals(DESCRIPTOR)) {
            throw new ConfigException(
                    VARIABLE, "descriptor " + DESCRIPTOR + ", got '" + told + "'");
        }
        Channel given = System.inheritedChannel();
        if (given instanceof ServerSocketChannel socket) {
            return socket;
        }
        throw new ConfigException(VARIABLE, "a listening socket");
    }
}
