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
import trailthread.api.EndpointState;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.lab.fault.FaultTarget;
import trailthread.lab.invariant.InvariantChecker;
import trailthread.lab.model.ServerLimits;
import trailthread.lab.server.IncomingRequest;
import trailthread.lab.server.ServerProcess;

/**
 * A server on sockets: the model of virtual time, driven by the real clock, behind the servers'
 * side of the platform's protocol. Each node has an address of its own for it, so that the checker
 * knows who sends.
 */
final class EmulatedServer implements FaultTarget.Server {
    private static final Pattern WORK = Pattern.compile("[?&]work=([0-9]{1,15})\\b");
    private static final String GARBAGE =
            "HTTP/9 \u0001\u0002 wor\u00ffk\r\n\u0000\u0003: ;;\r\n\r\n\u00fe";
    private static final int DRIPS = 10;

    final String name;
    final String zone;
    final int cell;
    private final Emulation emulation;
    private final ServerProcess process;
    private final List<RestartableListener> listeners = new ArrayList<>();
    private final Set<Line> lines = new HashSet<>();
    EndpointState state = EndpointState.READY;
    private boolean wasCut;

    EmulatedServer(
            Emulation emulation,
            String name,
            String zone,
            int cell,
            ServerLimits limits,
            boolean cold)
            throws IOException {
        this.emulation = emulation;
        this.name = name;
        this.zone = zone;
        this.cell = cell;
        process =
                new ServerProcess(
                        emulation.eventQueue(),
                        emulation.streams(),
                        emulation.scenario().fleet(),
                        name,
                        limits,
                        cold,
                        () -> {
                            emulation.check(r -> r.coldServerOverloaded(emulation.now(), name));
                            stop();
                        });
        for (int i = 0; i < Math.max(1, emulation.nodeCount()); i++) {
            String node = "n" + i;
            listeners.add(
                    new RestartableListener(emulation.loop(), 0, channel -> accept(node, channel)));
        }
    }

    /** Where a node, by its number, finds it. */
    String hostPort(int node) {
        return listeners.get(Math.min(node, listeners.size() - 1)).hostPort();
    }

    private void accept(String node, SocketChannel channel) {
        try {
            if (lines.size() >= emulation.scenario().network().maxConnections()) {
                channel.close();
                return;
            }
            process.addBackgroundWork(emulation.scenario().network().connectionWorkNs());
            Line line = new Line(node);
            line.wire = HttpMessageConnection.accepted(emulation.loop(), channel, line);
            line.wire.mute(process.faults.isolated);
            lines.add(line);
        } catch (IOException e) {
            // the client has gone already
        }
    }

    /**
     * Cuts it off or joins it again, as its ills say. Connections of before are reset once it is
     * back: what was written to them meanwhile lies in this machine's buffers, and was lost on the
     * way to another one.
     */
    void arrangeCut() {
        if (process.faults.isolated == wasCut) {
            return;
        }
        wasCut = process.faults.isolated;
        for (Line line : List.copyOf(lines)) {
            if (wasCut) {
                line.wire.mute(true);
            } else {
                line.wire.reset();
                line.ends();
            }
        }
    }

    /** Looks whether the connection of an attempt has ended by now. */
    void look(String requestId) {
        List.copyOf(lines).stream()
                .filter(line -> line.served != null && line.served.requestId.equals(requestId))
                .forEach(line -> line.wire.read());
    }

    @Override
    public String zone() {
        return zone;
    }

    @Override
    public boolean isReady() {
        return state == EndpointState.READY;
    }

    @Override
    public ServerProcess process() {
        return process;
    }

    @Override
    public void startDraining() {
        emulation.discovery().changed(this, EndpointState.DRAINING);
    }

    @Override
    public void stop() {
        for (RestartableListener listener : listeners) {
            try {
                listener.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
        process.stop();
        for (Line line : List.copyOf(lines)) {
            line.wire.reset();
            line.ends();
        }
    }

    @Override
    public void restart() {
        try {
            for (RestartableListener listener : listeners) {
                listener.again();
            }
        } catch (IOException e) {
            throw new IllegalStateException(name + " can't listen again", e);
        }
        process.start();
        emulation.discovery().changed(this, EndpointState.READY);
    }

    @Override
    public void replace() {
        emulation.discovery().changed(this, EndpointState.GONE);
        emulation.addServer(zone, Math.max(0, cell), true);
    }

    private static String load(LoadReport load) {
        return String.format(
                Locale.ROOT, "{\"inflight\":%.2f,\"queue\":%.2f}", load.inflight(), load.queue());
    }

    private String answer(String status, LoadReport load, String extra, String body) {
        return "HTTP/1.1 "
                + status
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n"
                + extra
                + (load == null ? "" : "X-Backend-Load: " + load(load) + "\r\n")
                + "\r\n"
                + body;
    }

    /** A connection from a node. */
    private final class Line implements HttpMessageConnection.Listener {
        private final String node;
        private HttpMessageConnection wire;
        private Served served;

        Line(String node) {
            this.node = node;
        }

        @Override
        public void message(HttpMessage message) {
            if (served != null) {
                wire.reset(); // two requests at once on one connection
                ends();
                return;
            }
            if (message.target().equals("/health") || message.target().equals("/status/load")) {
                emulation.metrics().recordHealthCheck();
                process.checkHealth(
                        () -> wire.send(answer("200 OK", null, "", load(process.healthReport()))));
                return;
            }
            String id = message.header("x-correlation-id");
            Matcher work = WORK.matcher(message.target());
            if (id == null || !work.find()) {
                wire.send(answer("404 Not Found", null, "", ""));
                return;
            }
            int attempt = emulation.nextAttempt(id, EmulatedServer.this);
            served = new Served(this, id, attempt, Math.max(1, Double.parseDouble(work.group(1))));
            emulation.check(
                    r ->
                            r.attemptSent(
                                    wire.beganAt(),
                                    id,
                                    attempt,
                                    node,
                                    new InvariantChecker.ServerLocation(name, zone, cell)));
            emulation.metrics().recordAttempt(emulation.servers().indexOf(EmulatedServer.this));
            process.receive(served);
        }

        @Override
        public void closed(String how) {
            ends();
        }

        /** Nothing more goes over it. */
        void ends() {
            lines.remove(this);
            if (served != null) {
                Served was = served;
                served = null;
                process.cancelRequest(was);
                emulation.check(
                        r ->
                                r.attemptEnded(
                                        emulation.now(),
                                        was.requestId,
                                        was.attempt,
                                        Outcome.CANCELLED));
            }
        }

        private void answered(Served of, Outcome outcome, String text, long trickleNs) {
            served = null;
            emulation.check(
                    r -> r.attemptEnded(emulation.now(), of.requestId, of.attempt, outcome));
            if (trickleNs == 0) {
                wire.send(text);
                return;
            }
            int piece = Math.max(1, text.length() / DRIPS);
            for (int from = 0, i = 0; from < text.length(); from += piece, i++) {
                String part = text.substring(from, Math.min(text.length(), from + piece));
                emulation.eventQueue().scheduleAfter(trickleNs * i / DRIPS, () -> wire.send(part));
            }
        }
    }

    /** A request that is here. */
    private final class Served implements IncomingRequest {
        private final Line line;
        private final String requestId;
        private final int attempt;
        private final double work;

        Served(Line line, String requestId, int attempt, double work) {
            this.line = line;
            this.requestId = requestId;
            this.attempt = attempt;
            this.work = work;
        }

        @Override
        public double work() {
            return work;
        }

        @Override
        public void executionStarted() {
            emulation.check(r -> r.executionStarted(emulation.now(), requestId, attempt));
        }

        @Override
        public void respond(Response answer, long trickleNs) {
            if (line.served != this) {
                return;
            }
            LoadReport load = process.report();
            switch (answer) {
                case OK ->
                        line.answered(
                                this,
                                Outcome.OK,
                                answer(
                                        "200 OK",
                                        load,
                                        "",
                                        requestId + " " + name + " " + (long) work + "\n"),
                                trickleNs);
                case ERROR ->
                        line.answered(
                                this, Outcome.ERROR, answer("500 Failed", load, "", ""), trickleNs);
                case FULL ->
                        line.answered(
                                this,
                                Outcome.REJECTED,
                                answer("503 Full", load, "X-Unprocessed: 1\r\n", ""),
                                trickleNs);
                case GARBAGE -> line.answered(this, Outcome.RESET, GARBAGE, 0);
                case RESET -> {
                    line.wire.reset();
                    line.ends();
                }
                default -> throw new IllegalStateException(answer.name());
            }
        }

        @Override
        public void connectionBroken() {
            // its connection is reset with all others
        }
    }
}
