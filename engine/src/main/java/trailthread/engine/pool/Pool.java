package trailthread.engine.pool;

import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.api.EndpointEntry;
import trailthread.api.ListKind;
import trailthread.engine.discovery.DiscoveryClient;
import trailthread.engine.discovery.DiscoveryListener;
import trailthread.engine.discovery.DiscoveryUpdate;
import trailthread.engine.discovery.EndpointListFile;
import trailthread.engine.discovery.EndpointListSource;
import trailthread.engine.discovery.StaticEndpointList;
import trailthread.engine.endpoint.ConnectionLimit;
import trailthread.engine.endpoint.EndpointPool;
import trailthread.engine.endpoint.EndpointResponse;
import trailthread.engine.http.ByteSink;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.quota.Quota;
import trailthread.engine.quota.TimeQuota;
import trailthread.engine.request.ClientRequest;
import trailthread.engine.request.ClientResponse;
import trailthread.engine.request.RequestDispatcher;
import trailthread.engine.request.RequestHandler;

/**
 * One service: its decision module, its endpoints, its calls, and its part of what the process has.
 */
public final class Pool implements RequestHandler, DiscoveryListener, CpuAccount {
    private static final Logger LOG = LoggerFactory.getLogger(Pool.class);

    private final EventLoop loop;
    private final PoolConfig config;
    private final Shares shares;
    private final Quota.Party calls;
    private final Quota.Party connections;
    private final Quota.Party bodyBytes;
    private final TimeQuota.Party time;
    private final EndpointPool endpoints;
    private final RequestDispatcher atWork;
    private final EndpointListSource list;
    private final PoolMetrics meter;

    /** Whether the call that the module hears of now is within this pool's part. */
    private boolean roomForThis;

    private DiscoveryUpdate known = new DiscoveryUpdate(0, true, List.of());
    private boolean retired;

    /**
     * Makes a pool, which begins with {@link #start}; to be called on the loop's thread.
     *
     * @throws IllegalArgumentException if its guarantees are more than there is, or its settings
     *     make no sense
     */
    public Pool(
            EventLoop loop,
            PoolConfig config,
            long seed,
            Shares shares,
            MetricsRecorder operators) {
        this.loop = loop;
        this.config = config;
        this.shares = shares;
        calls =
                shares.calls.join(
                        config.limits().calls().guaranteed(), config.limits().calls().most());
        connections =
                shares.connections.join(
                        config.limits().connections().guaranteed(),
                        config.limits().connections().most());
        bodyBytes =
                shares.bodyBytes.join(
                        config.limits().bodyBytes().guaranteed(),
                        config.limits().bodyBytes().most());
        time = shares.time.join(config.limits().loopWeight());
        var settings = config.settings();
        endpoints =
                new EndpointPool(
                        loop,
                        settings.connectTimeoutNs,
                        config.rules().idleCloseNs(),
                        config.rules().drainGraceNs(),
                        new Room(),
                        settings.latencyResolutionNs(),
                        this);
        meter = new PoolMetrics(config.name(), operators);
        atWork = new RequestDispatcher(loop, endpoints, settings, seed, meter);
        atWork.admit((requestClass, overQuota, random) -> roomForThis);
        list = list(config.source());
        atWork.setDiscovery(list);
        shares.joined(this);
    }

    private EndpointListSource list(PoolConfig.Source source) {
        if (source instanceof PoolConfig.Source.Roster roster) {
            return new DiscoveryClient(loop, EndpointPool.address(roster.hostPort()), this);
        }
        if (source instanceof PoolConfig.Source.ListFile file) {
            return new EndpointListFile(loop, Path.of(file.path()), this);
        }
        return new StaticEndpointList(loop, ((PoolConfig.Source.Fixed) source).hostPorts(), this);
    }

    /**
     * Serves from now on.
     *
     * @param before the list that another pool of this source had, or null
     */
    public void start(DiscoveryUpdate before) {
        if (before != null) {
            list.known(before);
            listed(ListKind.CACHED, before, loop.now());
        } else {
            listed(ListKind.CACHED, known, loop.now());
        }
        list.start();
    }

    /**
     * Takes nothing new from now on; what it has taken it finishes, and then closes all that it
     * holds.
     */
    public void retire() {
        if (retired) {
            return;
        }
        retired = true;
        list.close();
        // Its guarantees are for others from now on; its calls may still need what is left.
        calls.change(0, config.limits().calls().most());
        connections.change(0, config.limits().connections().most());
        bodyBytes.change(0, config.limits().bodyBytes().most());
        atWork.retire(
                () -> {
                    endpoints.update(new DiscoveryUpdate(0, true, List.of()), loop.now());
                    calls.leave();
                    connections.leave();
                    bodyBytes.leave();
                    time.leave();
                    shares.left(this);
                    meter.ended();
                    LOG.info("pool {} has ended", config.name());
                });
    }

    /** What it was made from. */
    public PoolConfig config() {
        return config;
    }

    /** Its endpoints, as it knows them. */
    public DiscoveryUpdate known() {
        return known;
    }

    /** How many connections to its endpoints there are in each state. */
    public Map<String, Integer> connections() {
        return endpoints.connections();
    }

    /** How many of its endpoints are avoided just now. */
    public int avoidedEndpoints() {
        return atWork.avoidedEndpoints();
    }

    /** How many calls it has open. */
    public long open() {
        return calls.holds();
    }

    /** The share of the thread's time that it has used of late. */
    public double loopShare() {
        return time.share(loop.now());
    }

    /** Whether a body of so many bytes may be kept; {@link #giveBody} follows if so. */
    public boolean takeBody(long bytes) {
        return bytes == 0 || bodyBytes.take(bytes, loop.now());
    }

    /** A body is kept no more. */
    public void giveBody(long bytes) {
        if (bytes > 0) {
            bodyBytes.give(bytes);
        }
    }

    // ---- calls
    // -------------------------------------------------------------------------------------

    @Override
    public Runnable take(ClientRequest call, long deadline, ClientResponse reply) {
        return take(call, deadline, reply, 0);
    }

    /**
     * Takes a call. What is past this pool's part the module hears of, and turns away.
     *
     * @param kept how many bytes were taken for its body, which are given back with its end; -1:
     *     there was no room
     */
    public Runnable take(ClientRequest call, long deadline, ClientResponse reply, long kept) {
        Place place = new Place(reply, Math.max(0, kept));
        charge(
                () -> {
                    long now = loop.now();
                    roomForThis = kept >= 0 && !retired && time.mayBegin(now) && calls.take(1, now);
                    place.counted = roomForThis;
                    place.gone = atWork.take(call, deadline, place);
                });
        return place;
    }

    @Override
    public boolean isOpen(String id) {
        return atWork.isOpen(id);
    }

    @Override
    public void spent(long ns) {
        time.used(ns, loop.now());
    }

    // ---- endpoints
    // -----------------------------------------------------------------------------------

    @Override
    public void told(DiscoveryUpdate update, long knownSince) {
        if (!retired) {
            listed(update.reset() ? ListKind.FULL : ListKind.DELTA, update, knownSince);
        }
    }

    @Override
    public void failed() {
        if (!retired) {
            atWork.list(ListKind.FAILED, List.of());
        }
    }

    private void listed(ListKind kind, DiscoveryUpdate update, long knownSince) {
        known = update.onto(known);
        endpoints.update(update, knownSince);
        List<EndpointEntry> entries = new ArrayList<>();
        update.instances().forEach(endpoint -> entries.add(endpoint.entry()));
        meter.listed(kind, entries);
        atWork.list(kind, entries);
    }

    /** Closes idle connections, as far as they were lent and others want them. */
    void giveBackIdle() {
        long owed = connections.owes(loop.now());
        if (owed > 0) {
            endpoints.closeIdle((int) owed);
        }
    }

    /**
     * A call's place among those that the pool may have open, until its answer or its client's end.
     */
    private final class Place implements ClientResponse, Runnable {
        private final ClientResponse reply;
        private final long bytes;
        private boolean counted;
        private Runnable gone;
        private boolean given;

        Place(ClientResponse reply, long bytes) {
            this.reply = reply;
            this.bytes = bytes;
        }

        private void give() {
            if (!given) {
                given = true;
                giveBody(bytes);
                if (counted) {
                    calls.give(1);
                }
            }
        }

        @Override
        public void served(EndpointResponse made) {
            give();
            reply.served(made);
        }

        @Override
        public ByteSink begin(
                EndpointResponse head, long length, Runnable more, Runnable clientGone) {
            ByteSink sink = reply.begin(head, length, more, clientGone);
            return new ByteSink() {
                @Override
                public boolean piece(ByteBuffer piece) {
                    return sink.piece(piece);
                }

                @Override
                public void end() {
                    give();
                    sink.end();
                }

                @Override
                public void broken() {
                    give();
                    sink.broken();
                }
            };
        }

        @Override
        public void refused(long retryAfterNs) {
            give();
            reply.refused(retryAfterNs);
        }

        @Override
        public void failed() {
            give();
            reply.failed();
        }

        @Override
        public void released() {
            reply.released();
        }

        /** The client has gone. */
        @Override
        public void run() {
            give();
            gone.run();
        }
    }

    /** The connections that it may have. */
    private final class Room implements ConnectionLimit {
        @Override
        public boolean take() {
            boolean taken = connections.take(1, loop.now());
            if (!taken) {
                shares.connectionWanted();
                taken = connections.take(1, loop.now());
            }
            return taken;
        }

        @Override
        public void give() {
            connections.give(1);
        }

        @Override
        public boolean keepsIdle() {
            return connections.owes(loop.now()) == 0;
        }
    }
}
