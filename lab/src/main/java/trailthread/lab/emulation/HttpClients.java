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
 * Clients on sockets, in the platform's protocol: connections are kept, carry one request at a
 * time, and further ones are opened when all are busy. The nodes of a zone share its clients.
 */
final class HttpClients implements RequestSink {
    /** A node that clients send to. */
    static final class Target {
        final String name;
        final String zone;
        final InetSocketAddress address;

        /** Whether new connections go there. */
        boolean admitted = true;

        /** Its process was killed or stopped from outside: what it had is owed nothing. */
        boolean excused;

        private final ArrayDeque<Client> idle = new ArrayDeque<>();
        private final Set<Client> all = new HashSet<>();

        Target(String name, String zone, int port) {
            this.name = name;
            this.zone = zone;
            this.address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        }

        /** All its connections are closed by the system. */
        void died() {
            excused = true;
            admitted = false;
        }
    }

    /**
     * What the clients' answers may be late by, so that the last bytes of one in time are still
     * read.
     */
    private static final long GRACE_NS = 50_000_000L;

    private final EmulationLoop loop;
    private final EventQueue eventQueue;
    private final InvariantChecker checker;
    private final long slackNs;
    private final List<String> zones;
    private final List<Target> targets = new ArrayList<>();
    private final LongSupplier ids;
    private int open;
    private int mostOpen;

    /**
     * @param slackNs how far past its deadline an answer still counts
     * @param zones of clients, by number
     * @param ids new at each call
     */
    HttpClients(
            EmulationLoop loop,
            InvariantChecker checker,
            long slackNs,
            List<String> zones,
            LongSupplier ids) {
        this.loop = loop;
        this.eventQueue = loop.eventQueue();
        this.checker = checker;
        this.slackNs = slackNs;
        this.zones = List.copyOf(zones);
        this.ids = ids;
    }

    /** Adds a node. */
    Target add(String zone, int port) {
        Target target = new Target("n" + targets.size(), zone, port);
        targets.add(target);
        return target;
    }

    boolean allAdmitted() {
        return targets.stream().allMatch(t -> t.admitted);
    }

    /** The most connections that were open at once. */
    int mostOpen() {
        return mostOpen;
    }

    /** Opens so many connections to each node, ahead of need. */
    void openAhead(int each) {
        for (Target target : targets) {
            for (int i = 0; i < each; i++) {
                Client client = new Client(target);
                client.begin(null);
            }
        }
    }

    private Target chosen(String zone, double draw) {
        List<Target> near =
                targets.stream().filter(t -> t.admitted && t.zone.equals(zone)).toList();
        List<Target> some =
                near.isEmpty() ? targets.stream().filter(t -> t.admitted).toList() : near;
        return some.isEmpty() ? null : some.get((int) (draw * some.size()));
    }

    @Override
    public void startAttempt(ClientOperation operation, int zone, double draw, long until) {
        Target target = chosen(zones.get(zone), draw);
        if (target == null) {
            operation.attemptEnded(ClientOperation.AttemptResult.UNREACHABLE, 0);
            return;
        }
        send(target, new ClientAttempt(operation, Long.toHexString(ids.getAsLong()), until, false));
    }

    private void send(Target target, ClientAttempt attempt) {
        Client client = target.idle.pollLast();
        while (client != null && !client.wire.isOpen()) {
            client = target.idle.pollLast();
        }
        if (client == null) {
            client = new Client(target);
            client.begin(attempt);
        } else {
            client.send(attempt);
        }
    }

    /** One attempt of a client's. */
    private record ClientAttempt(ClientOperation operation, String id, long until, boolean again) {
        String request(long now) {
            var rules = operation.classModel().requestClass();
            boolean safe = rules.idempotency() == Idempotency.IDEMPOTENT;
            return (safe ? "GET /" : "POST /")
                    + rules.name()
                    + "?work="
                    + (long) operation.work()
                    + " HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: "
                    + id
                    + "\r\nX-Service-Class: "
                    + rules.name()
                    + "\r\nX-Time-Left: "
                    + String.format(Locale.ROOT, "%.4f", Math.max(0, until - now) / 1e9)
                    + (operation.tenant() == null ? "" : "\r\nX-Account: " + operation.tenant())
                    + (rules.idempotency() == Idempotency.IDEMPOTENCY_KEY
                            ? "\r\nIdempotency-Key: " + id
                            : "")
                    + (safe ? "\r\n\r\n" : "\r\nContent-Length: 4\r\n\r\npour");
        }
    }

    /** A client's connection. */
    private final class Client implements HttpMessageConnection.Listener {
        private final Target target;
        private HttpMessageConnection wire;
        private ClientAttempt attempt;
        private boolean reused;
        private boolean received;

        /** It came while the node was stopped, which learns too late when. */
        private boolean excused;

        private EventQueue.Entry overdue;

        Client(Target target) {
            this.target = target;
        }

        void begin(ClientAttempt first) {
            try {
                wire = HttpMessageConnection.open(loop, target.address, this);
            } catch (IOException e) {
                if (first != null) {
                    first.operation.attemptEnded(ClientOperation.AttemptResult.UNREACHABLE, 0);
                }
                return;
            }
            open++;
            mostOpen = Math.max(mostOpen, open);
            target.all.add(this);
            if (first != null) {
                send(first);
            }
        }

        void send(ClientAttempt next) {
            attempt = next;
            received = false;
            long now = eventQueue.now();
            overdue = eventQueue.scheduleAt(next.until + slackNs + GRACE_NS, this::overdue);
            if (wire.isConnected()) {
                requestReceived();
            }
            if (wire.isOpen()) {
                wire.send(next.request(now));
            }
        }

        /**
         * The node's machine has the connection, so with the request's last byte the node has the
         * call.
         */
        private void requestReceived() {
            received = true;
            excused = target.excused;
            var rules = attempt.operation.classModel().requestClass();
            checker.requestReceived(
                    eventQueue.now(),
                    attempt.id,
                    target.name,
                    new RequestTerms(
                            rules.name(),
                            rules.idempotency(),
                            rules.deduplicationScope(),
                            rules.deduplicationWindowNs(),
                            attempt.until + GRACE_NS));
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
                wire.close();
                forget();
                return;
            }
            ClientAttempt of = end();
            int status = message.status();
            boolean refused = status == 429 || status == 503;
            if (status == 200 && !message.text().startsWith(of.id + " ")) {
                checker.wrongResponse(eventQueue.now(), of.id, message.text());
            }
            checker.responded(
                    eventQueue.now(),
                    of.id,
                    status == 200 ? "served" : refused ? "refused" : "failed " + status);
            if (message.lasts()) {
                reused = true;
                target.idle.addLast(this);
            } else {
                wire.close();
                forget();
            }
            of.operation.attemptEnded(
                    status == 200
                            ? ClientOperation.AttemptResult.SERVED
                            : refused
                                    ? ClientOperation.AttemptResult.REFUSED
                                    : ClientOperation.AttemptResult.FAILED,
                    advice(message.header("retry-after")));
        }

        private static long advice(String retryAfter) {
            try {
                return retryAfter == null ? 0 : (long) (Double.parseDouble(retryAfter) * 1e9);
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        private ClientAttempt end() {
            ClientAttempt of = attempt;
            attempt = null;
            overdue.cancel();
            return of;
        }

        private void forget() {
            open--;
            target.all.remove(this);
            target.idle.remove(this);
        }

        @Override
        public void closed(String how) {
            forget();
            if (attempt == null) {
                return;
            }
            ClientAttempt of = end();
            if (!received) {
                of.operation.attemptEnded(ClientOperation.AttemptResult.UNREACHABLE, 0);
            } else if (excused || target.excused) {
                checker.clientDisconnected(eventQueue.now(), of.id);
                of.operation.attemptEnded(ClientOperation.AttemptResult.NO_RESPONSE, 0);
            } else if (reused && !of.again && (how.equals("ended") || how.equals("reset"))) {
                // The close has crossed the request, which is sent once more, on a new connection.
                checker.forget(of.id);
                new Client(target).begin(new ClientAttempt(of.operation, of.id, of.until, true));
            } else {
                checker.connectionLost(
                        eventQueue.now(), of.id, "the connection " + how + " without an answer");
                of.operation.attemptEnded(ClientOperation.AttemptResult.NO_RESPONSE, 0);
            }
        }

        /** The client leaves. */
        private void overdue() {
            ClientAttempt of = attempt;
            attempt = null;
            wire.close();
            forget();
            if (!received) {
                of.operation.attemptEnded(ClientOperation.AttemptResult.UNREACHABLE, 0);
                return;
            }
            if (excused || target.excused) {
                checker.clientDisconnected(eventQueue.now(), of.id);
            } else {
                checker.deadlineMissed(eventQueue.now(), of.id);
            }
            of.operation.attemptEnded(ClientOperation.AttemptResult.NO_RESPONSE, 0);
        }
    }
}
