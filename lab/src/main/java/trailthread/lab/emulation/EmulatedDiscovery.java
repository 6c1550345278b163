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
 * Discovery on sockets, in the platform's protocol: a list, and watches on its changes; late, in
 * order, or down.
 */
final class EmulatedDiscovery {
    private static final Pattern INDEX = Pattern.compile("[?&]index=([0-9]{1,18})\\b");
    private static final long IDLE_NS = 2_000_000_000L;

    private final Emulation emulation;
    private final UniformRandomProvider random;
    private final List<EmulatedServer> listed = new ArrayList<>();
    private final List<RestartableListener> listeners = new ArrayList<>();
    private final Set<Watch> watches = new HashSet<>();
    private final Set<Watch> lines = new HashSet<>();
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

    /** Where a node, by its number, finds it. */
    String hostPort(int node) {
        return listeners.get(Math.min(node, listeners.size() - 1)).hostPort();
    }

    private void accept(int node, SocketChannel channel) {
        try {
            if (down) {
                channel.close();
                return;
            }
            Watch line = new Watch(node);
            line.wire = HttpMessageConnection.accepted(emulation.loop(), channel, line);
            lines.add(line);
        } catch (IOException e) {
            // the client has gone already
        }
    }

    void add(EmulatedServer server) {
        listed.add(server);
        changed(server, server.state);
    }

    /** A server's state is this now. */
    void changed(EmulatedServer server, EndpointState state) {
        server.state = state;
        generation++;
        if (state == EndpointState.GONE) {
            listed.remove(server);
        }
        long of = generation;
        for (Watch watch : List.copyOf(watches)) {
            var model = emulation.scenario().discovery();
            long at =
                    emulation.now()
                            + (long)
                                    RandomStreams.uniform(
                                            random, model.minDelayNs(), model.maxDelayNs());
            watch.toldAt = Math.max(at, watch.toldAt);
            String line = object(of, false, entry(server, watch.node, state));
            emulation
                    .eventQueue()
                    .scheduleAt(
                            watch.toldAt,
                            () -> {
                                if (watches.contains(watch)) {
                                    watch.line(line);
                                    emulation.check(
                                            r ->
                                                    r.endpointStateReceived(
                                                            emulation.now(),
                                                            "n" + watch.node,
                                                            server.name,
                                                            state == EndpointState.READY));
                                }
                            });
        }
    }

    /** The whole list, as a node hears it. */
    String whole(int node) {
        List<String> entries = new ArrayList<>();
        listed.forEach(server -> entries.add(entry(server, node, server.state)));
        return object(generation, true, String.join(",", entries));
    }

    /** A node starts, and knows the whole list. */
    void known(int node) {
        listed.forEach(
                w ->
                        emulation.check(
                                r ->
                                        r.endpointStateReceived(
                                                emulation.now(),
                                                "n" + node,
                                                w.name,
                                                w.state == EndpointState.READY)));
    }

    private static String object(long generation, boolean reset, String entries) {
        return "{\"generation\":"
                + generation
                + ",\"reset\":"
                + reset
                + ",\"instances\":["
                + entries
                + "]}";
    }

    private String entry(EmulatedServer server, int node, EndpointState state) {
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

    /** It answers nothing, and watches end; or it is back. */
    void down(boolean on) {
        down = on;
        if (on) {
            for (Watch line : List.copyOf(lines)) {
                line.wire.reset();
                line.closed("down");
            }
        }
    }

    /** A connection of a node's. */
    private final class Watch implements HttpMessageConnection.Listener {
        private final int node;
        private HttpMessageConnection wire;
        private long toldAt;
        private EventQueue.Entry idle;

        Watch(int node) {
            this.node = node;
        }

        @Override
        public void message(HttpMessage message) {
            if (!message.target().startsWith("/v1/endpoints")) {
                wire.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            long at = emulation.now() + emulation.scenario().discovery().minDelayNs();
            toldAt = Math.max(at, toldAt);
            if (message.target().contains("stream=1")) {
                Matcher index = INDEX.matcher(message.target());
                long has = index.find() ? Long.parseLong(index.group(1)) : -1;
                wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                watches.add(this);
                emulation
                        .eventQueue()
                        .scheduleAt(
                                toldAt,
                                () -> {
                                    if (watches.contains(this) && has != generation) {
                                        line(whole(node));
                                        known(node);
                                    }
                                });
                idles();
            } else {
                emulation
                        .eventQueue()
                        .scheduleAt(
                                toldAt,
                                () -> {
                                    String list = whole(node);
                                    wire.send(
                                            "HTTP/1.1 200 OK\r\nContent-Length: "
                                                    + list.length()
                                                    + "\r\n\r\n"
                                                    + list);
                                    known(node);
                                });
            }
        }

        /** Sends a line, and an empty one whenever none was sent for a while. */
        void line(String text) {
            wire.send(Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n");
            idles();
        }

        private void idles() {
            if (idle != null) {
                idle.cancel();
            }
            idle =
                    emulation
                            .eventQueue()
                            .scheduleAfter(
                                    IDLE_NS,
                                    () -> {
                                        if (watches.contains(this)) {
                                            line("");
                                        }
                                    });
        }

        @Override
        public void closed(String how) {
            watches.remove(this);
            lines.remove(this);
        }
    }
}
