package trailthread.lab.emulation;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.rng.UniformRandomProvider;
import trailthread.api.EndpointState;
import trailthread.lab.event.EventQueue;
import trailthread.lab.random.RandomStreams;

/**
 * Discovery on sockets, in the platform's protocol: it serves the endpoint list and watches of its
 * changes. Changes reach each node after a random delay and in order; a fault can stop it.
 */
final class EmulatedDiscovery {
    private static final Pattern INDEX = Pattern.compile("[?&]index=([0-9]{1,18})\\b");
    private static final long KEEPALIVE_INTERVAL_NS = 2_000_000_000L;

    private final Emulation emulation;
    private final UniformRandomProvider random;
    private final List<EmulatedServer> servers = new ArrayList<>();
    private final List<RestartableListener> listeners = new ArrayList<>();
    private final Set<NodeConnection> watches = new HashSet<>();
    private final Set<NodeConnection> connections = new HashSet<>();
    private long generation = 1;
    private boolean down;

    EmulatedDiscovery(Emulation emulation, int nodes) throws IOException {
        this.emulation = emulation;
        random = emulation.streams().stream("roster");
        for (int i = 0; i < Math.max(1, nodes); i++) {
            int node = i;
            listeners.add(
                    new RestartableListener(emulation.loop(), 0, channel -> accept(node, channel)));
        }
    }

    /** The address at which the node of this number reaches discovery. */
    String hostPort(int node) {
        return listeners.get(Math.min(node, listeners.size() - 1)).hostPort();
    }

    private void accept(int node, SocketChannel channel) {
        try {
            if (down) {
                channel.close();
                return;
            }
            NodeConnection connection = new NodeConnection(node);
            connection.transport =
                    HttpMessageConnection.accepted(emulation.loop(), channel, connection);
            connections.add(connection);
        } catch (IOException e) {
            // the client has disconnected already
        }
    }

    void add(EmulatedServer server) {
        servers.add(server);
        setState(server, server.state);
    }

    /** Changes the state of a server and notifies all watches. */
    void setState(EmulatedServer server, EndpointState state) {
        server.state = state;
        generation++;
        if (state == EndpointState.GONE) {
            servers.remove(server);
        }
        long changeGeneration = generation;
        for (NodeConnection watch : List.copyOf(watches)) {
            var model = emulation.scenario().discovery();
            long at =
                    emulation.now()
                            + (long)
                                    RandomStreams.uniform(
                                            random, model.minDelayNs(), model.maxDelayNs());
            watch.lastSendAt = Math.max(at, watch.lastSendAt);
            String update =
                    updateJson(changeGeneration, false, entryJson(server, watch.node, state));
            emulation
                    .eventQueue()
                    .scheduleAt(
                            watch.lastSendAt,
                            () -> {
                                if (watches.contains(watch)) {
                                    watch.sendLine(update);
                                    emulation.check(
                                            checker ->
                                                    checker.endpointStateReceived(
                                                            emulation.now(),
                                                            "n" + watch.node,
                                                            server.name,
                                                            state == EndpointState.READY));
                                }
                            });
        }
    }

    /** The complete endpoint list, with the addresses that this node uses. */
    String fullListJson(int node) {
        List<String> entries = new ArrayList<>();
        servers.forEach(server -> entries.add(entryJson(server, node, server.state)));
        return updateJson(generation, true, String.join(",", entries));
    }

    /** Reports to the checker that a node has received the complete endpoint list. */
    void recordListReceived(int node) {
        servers.forEach(
                server ->
                        emulation.check(
                                checker ->
                                        checker.endpointStateReceived(
                                                emulation.now(),
                                                "n" + node,
                                                server.name,
                                                server.state == EndpointState.READY)));
    }

    private static String updateJson(long generation, boolean reset, String entries) {
        return "{\"generation\":"
                + generation
                + ",\"reset\":"
                + reset
                + ",\"instances\":["
                + entries
                + "]}";
    }

    private String entryJson(EmulatedServer server, int node, EndpointState state) {
        String lifecycle =
                state == EndpointState.READY
                        ? "active"
                        : state == EndpointState.DRAINING ? "leaving" : "left";
        return String.format(
                Locale.ROOT,
                "{\"instanceId\":\"%s\",\"hostPort\":\"%s\",\"zone\":\"%s\",\"cell\":%d,"
                        + "\"lifecycle\":\"%s\",\"weight\":1.0,\"startedAtMs\":%d}",
                server.name,
                server.hostPort(node),
                server.zone,
                server.cell,
                lifecycle,
                emulation.unixMs(server.process().startedAt()));
    }

    /** Stops discovery, which also resets its connections, or brings it back. */
    void setDown(boolean down) {
        this.down = down;
        if (down) {
            for (NodeConnection connection : List.copyOf(connections)) {
                connection.transport.reset();
                connection.closed("down");
            }
        }
    }

    /** A connection from a node, on which it may open a watch. */
    private final class NodeConnection implements HttpMessageConnection.Listener {
        private final int node;
        private HttpMessageConnection transport;

        /** When the last message was or will be sent, so that a later one is not sent before it. */
        private long lastSendAt;

        private EventQueue.Entry keepalive;

        NodeConnection(int node) {
            this.node = node;
        }

        @Override
        public void message(HttpMessage message) {
            if (!message.target().startsWith("/v1/endpoints")) {
                transport.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            long at = emulation.now() + emulation.scenario().discovery().minDelayNs();
            lastSendAt = Math.max(at, lastSendAt);
            if (message.target().contains("stream=1")) {
                Matcher index = INDEX.matcher(message.target());
                long knownGeneration = index.find() ? Long.parseLong(index.group(1)) : -1;
                transport.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                watches.add(this);
                emulation
                        .eventQueue()
                        .scheduleAt(
                                lastSendAt,
                                () -> {
                                    if (watches.contains(this) && knownGeneration != generation) {
                                        sendLine(fullListJson(node));
                                        recordListReceived(node);
                                    }
                                });
                scheduleKeepalive();
            } else {
                emulation
                        .eventQueue()
                        .scheduleAt(
                                lastSendAt,
                                () -> {
                                    String list = fullListJson(node);
                                    transport.send(
                                            "HTTP/1.1 200 OK\r\nContent-Length: "
                                                    + list.length()
                                                    + "\r\n\r\n"
                                                    + list);
                                    recordListReceived(node);
                                });
            }
        }

        /**
         * Sends a line of the watch; after a pause without lines, an empty one is sent as
         * keepalive.
         */
        void sendLine(String text) {
            transport.send(Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n");
            scheduleKeepalive();
        }

        private void scheduleKeepalive() {
            if (keepalive != null) {
                keepalive.cancel();
            }
            keepalive =
                    emulation
                            .eventQueue()
                            .scheduleAfter(
                                    KEEPALIVE_INTERVAL_NS,
                                    () -> {
                                        if (watches.contains(this)) {
                                            sendLine("");
                                        }
                                    });
        }

        @Override
        public void closed(String reason) {
            watches.remove(this);
            connections.remove(this);
        }
    }
}
