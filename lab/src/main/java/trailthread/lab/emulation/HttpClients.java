package trailthread.lab.emulation;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.LongSupplier;
import trailthread.api.Idempotency;
import trailthread.lab.clients.ClientOperation;
import trailthread.lab.clients.RequestSink;
import trailthread.lab.event.EventQueue;
import trailthread.lab.invariant.InvariantChecker;
import trailthread.lab.invariant.RequestTerms;

/**
 * Clients on sockets, in the platform's protocol. Connections are kept alive and carry one request
 * at a time; a new one is opened when all are busy. The clients of a zone send to the nodes of
 * their zone, or to any node if their zone has none that accepts connections.
 */
final class HttpClients implements RequestSink {
    /** A node that clients send to. */
    static final class TargetNode {
        final String name;
        final String zone;
        final InetSocketAddress address;

        /** Whether new requests go to this node. */
        boolean admitted = true;

        /**
         * The process was killed or paused by a fault, so the requests that it had received may
         * stay without a response.
         */
        boolean interrupted;

        private final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();
        private final Set<ClientConnection> connections = new HashSet<>();

        TargetNode(String name, String zone, int port) {
            this.name = name;
            this.zone = zone;
            this.address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        }

        /** The process was killed; the operating system closes all its connections. */
        void killed() {
            interrupted = true;
            admitted = false;
        }
    }

    /**
     * How much later than its deadline a response may be read, so that the last bytes of a response
     * that was sent in time still count.
     */
    private static final long READ_GRACE_NS = 50_000_000L;

    private final EmulationLoop loop;
    private final EventQueue eventQueue;
    private final InvariantChecker checker;
    private final long responseSlackNs;
    private final List<String> zones;
    private final List<TargetNode> targets = new ArrayList<>();
    private final LongSupplier requestIds;
    private int openConnections;
    private int maxOpenConnections;

    /**
     * @param responseSlackNs how far past its deadline a response is still in time
     * @param zones the zones of clients, by number
     * @param requestIds supplies a new request id each time
     */
    HttpClients(
            EmulationLoop loop,
            InvariantChecker checker,
            long responseSlackNs,
            List<String> zones,
            LongSupplier requestIds) {
        this.loop = loop;
        this.eventQueue = loop.eventQueue();
        this.checker = checker;
        this.responseSlackNs = responseSlackNs;
        this.zones = List.copyOf(zones);
        this.requestIds = requestIds;
    }

    /** Adds a node that clients send to. */
    TargetNode add(String zone, int port) {
        TargetNode target = new TargetNode("n" + targets.size(), zone, port);
        targets.add(target);
        return target;
    }

    boolean allAdmitted() {
        return targets.stream().allMatch(t -> t.admitted);
    }

    /** The most connections that were open at once. */
    int maxOpenConnections() {
        return maxOpenConnections;
    }

    /** Opens this many idle connections to each node. */
    void preconnect(int connectionsPerNode) {
        for (TargetNode target : targets) {
            for (int i = 0; i < connectionsPerNode; i++) {
                ClientConnection connection = new ClientConnection(target);
                connection.open(null);
            }
        }
    }

    private TargetNode chooseTarget(String zone, double draw) {
        List<TargetNode> sameZone =
                targets.stream().filter(t -> t.admitted && t.zone.equals(zone)).toList();
        List<TargetNode> candidates =
                sameZone.isEmpty() ? targets.stream().filter(t -> t.admitted).toList() : sameZone;
        return candidates.isEmpty() ? null : candidates.get((int) (draw * candidates.size()));
    }

    @Override
    public void startAttempt(
            ClientOperation operation, int zoneIndex, double nodeChoice, long clientTimeoutAt) {
        TargetNode target = chooseTarget(zones.get(zoneIndex), nodeChoice);
        if (target == null) {
            operation.attemptEnded(ClientOperation.AttemptResult.UNREACHABLE, 0);
            return;
        }
        send(
                target,
                new ClientAttempt(
                        operation,
                        Long.toHexString(requestIds.getAsLong()),
                        clientTimeoutAt,
                        false));
    }

    private void send(TargetNode target, ClientAttempt attempt) {
        ClientConnection connection = target.idle.pollLast();
        while (connection != null && !connection.transport.isOpen()) {
            connection = target.idle.pollLast();
        }
        if (connection == null) {
            connection = new ClientConnection(target);
            connection.open(attempt);
        } else {
            connection.send(attempt);
        }
    }

    /**
     * An attempt of a client.
     *
     * @param resent whether it is sent for the second time, because the node had closed the idle
     *     connection that it was sent on first
     */
    private record ClientAttempt(
            ClientOperation operation, String id, long clientTimeoutAt, boolean resent) {
        String request(long now) {
            var requestClass = operation.classModel().requestClass();
            boolean idempotent = requestClass.idempotency() == Idempotency.IDEMPOTENT;
            return (idempotent ? "GET /" : "POST /")
                    + requestClass.name()
                    + "?work="
                    + (long) operation.work()
                    + " HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: "
                    + id
                    + "\r\nX-Service-Class: "
                    + requestClass.name()
                    + "\r\nX-Time-Left: "
                    + String.format(Locale.ROOT, "%.4f", Math.max(0, clientTimeoutAt - now) / 1e9)
                    + (operation.tenant() == null ? "" : "\r\nX-Account: " + operation.tenant())
                    + (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                            ? "\r\nIdempotency-Key: " + id
                            : "")
                    + (idempotent ? "\r\n\r\n" : "\r\nContent-Length: 4\r\n\r\npour");
        }
    }

    /** A connection of a client to a node. */
    private final class ClientConnection implements HttpMessageConnection.Listener {
        private final TargetNode target;
        private HttpMessageConnection transport;
        private ClientAttempt attempt;
        private boolean reused;
        private boolean received;

        /**
         * The request arrived while the node was paused; the node counts its deadline only from the
         * moment at which it resumes.
         */
        private boolean receivedWhileInterrupted;

        private EventQueue.Entry timeout;

        ClientConnection(TargetNode target) {
            this.target = target;
        }

        void open(ClientAttempt first) {
            try {
                transport = HttpMessageConnection.open(loop, target.address, this);
            } catch (IOException e) {
                if (first != null) {
                    first.operation.attemptEnded(ClientOperation.AttemptResult.UNREACHABLE, 0);
                }
                return;
            }
            openConnections++;
            maxOpenConnections = Math.max(maxOpenConnections, openConnections);
            target.connections.add(this);
            if (first != null) {
                send(first);
            }
        }

        void send(ClientAttempt next) {
            attempt = next;
            received = false;
            long now = eventQueue.now();
            timeout =
                    eventQueue.scheduleAt(
                            next.clientTimeoutAt + responseSlackNs + READ_GRACE_NS, this::timedOut);
            if (transport.isConnected()) {
                requestReceived();
            }
            if (transport.isOpen()) {
                transport.send(next.request(now));
            }
        }

        /**
         * Reports to the checker that the node has the request: the connection is established, so
         * the node's host receives every byte sent.
         */
        private void requestReceived() {
            received = true;
            receivedWhileInterrupted = target.interrupted;
            var requestClass = attempt.operation.classModel().requestClass();
            checker.requestReceived(
                    eventQueue.now(),
                    attempt.id,
                    target.name,
                    new RequestTerms(
                            requestClass.name(),
                            requestClass.idempotency(),
                            requestClass.deduplicationScope(),
                            requestClass.deduplicationWindowNs(),
                            attempt.clientTimeoutAt + READ_GRACE_NS));
        }

        @Override
        public void opened() {
            if (attempt != null) {
                requestReceived();
            } else {
                target.idle.addFirst(this);
            }
        }

        @Override
        public void message(HttpMessage message) {
            if (attempt == null) {
                transport.close();
                removeConnection();
                return;
            }
            ClientAttempt completed = takeAttempt();
            int status = message.status();
            boolean rejected = status == 429 || status == 503;
            if (status == 200 && !message.bodyText().startsWith(completed.id + " ")) {
                checker.wrongResponse(eventQueue.now(), completed.id, message.bodyText());
            }
            checker.responded(
                    eventQueue.now(),
                    completed.id,
                    status == 200 ? "served" : rejected ? "refused" : "failed " + status);
            if (message.keepsConnectionOpen()) {
                reused = true;
                target.idle.addLast(this);
            } else {
                transport.close();
                removeConnection();
            }
            completed.operation.attemptEnded(
                    status == 200
                            ? ClientOperation.AttemptResult.SERVED
                            : rejected
                                    ? ClientOperation.AttemptResult.REJECTED
                                    : ClientOperation.AttemptResult.FAILED,
                    retryAfterNs(message.header("retry-after")));
        }

        private static long retryAfterNs(String retryAfter) {
            try {
                return retryAfter == null ? 0 : (long) (Double.parseDouble(retryAfter) * 1e9);
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        /** Returns the current attempt, which has ended, and cancels its timeout. */
        private ClientAttempt takeAttempt() {
            ClientAttempt ended = attempt;
            attempt = null;
            timeout.cancel();
            return ended;
        }

        private void removeConnection() {
            openConnections--;
            target.connections.remove(this);
            target.idle.remove(this);
        }

        @Override
        public void closed(String reason) {
            removeConnection();
            if (attempt == null) {
                return;
            }
            ClientAttempt lost = takeAttempt();
            if (!received) {
                lost.operation.attemptEnded(ClientOperation.AttemptResult.UNREACHABLE, 0);
            } else if (receivedWhileInterrupted || target.interrupted) {
                checker.clientDisconnected(eventQueue.now(), lost.id);
                lost.operation.attemptEnded(ClientOperation.AttemptResult.NO_RESPONSE, 0);
            } else if (reused
                    && !lost.resent
                    && (reason.equals("closed") || reason.equals("reset"))) {
                // The node closed the idle connection while the request was on its way, so the
                // request is sent once more, on a new connection.
                checker.forget(lost.id);
                new ClientConnection(target)
                        .open(
                                new ClientAttempt(
                                        lost.operation, lost.id, lost.clientTimeoutAt, true));
            } else {
                checker.connectionLost(
                        eventQueue.now(),
                        lost.id,
                        "connection lost before the response: " + reason);
                lost.operation.attemptEnded(ClientOperation.AttemptResult.NO_RESPONSE, 0);
            }
        }

        /** The client gives up its attempt and closes the connection. */
        private void timedOut() {
            ClientAttempt abandoned = attempt;
            attempt = null;
            transport.close();
            removeConnection();
            if (!received) {
                abandoned.operation.attemptEnded(ClientOperation.AttemptResult.UNREACHABLE, 0);
                return;
            }
            if (receivedWhileInterrupted || target.interrupted) {
                checker.clientDisconnected(eventQueue.now(), abandoned.id);
            } else {
                checker.deadlineMissed(eventQueue.now(), abandoned.id);
            }
            abandoned.operation.attemptEnded(ClientOperation.AttemptResult.NO_RESPONSE, 0);
        }
    }
}
