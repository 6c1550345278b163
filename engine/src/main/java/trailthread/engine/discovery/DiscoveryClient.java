package trailthread.engine.discovery;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.ListLease;
import trailthread.engine.loop.EventLoop;

/**
 * Fetches the endpoint list from discovery over HTTP and watches it for changes.
 *
 * <p>In the polled mode the listener decides when to watch and when to fetch. In the pushed mode
 * ({@link #setPushed}) a watch is kept open, and is opened again here when it breaks.
 */
public final class DiscoveryClient implements EndpointListSource {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);
    private static final String PATH = "/v1/endpoints";
    private static final long NS_PER_MS = 1_000_000;
    private static final long NO_GENERATION = -1;

    /**
     * The pause before a broken watch is opened again in the pushed mode. May be short, as the
     * agent that pushes lists has few clients.
     */
    private static final long REOPEN_DELAY_NS = 50_000_000L;

    private final EventLoop loop;
    private InetSocketAddress address;
    private final DiscoveryListener listener;
    private final DiscoveryExchange.Listener exchangeListener = new ExchangeListener();

    /** The generation of the latest known list. */
    private long generation = NO_GENERATION;

    /** The watch that is open, or null. */
    private DiscoveryExchange watch;

    /** Whether a watch is to be open; kept when the address of discovery changes. */
    private boolean watchWanted;

    /** Whether a watch is kept open without calls from the listener. */
    private boolean pushed;

    /** All exchanges in progress, the watch among them. */
    private final Set<DiscoveryExchange> exchanges = new HashSet<>();

    private boolean failing;
    private boolean closed;

    /**
     * The earliest time at which the last sign of life can have arrived: every change up to then
     * has been received.
     */
    private long confirmedAt;

    /**
     * Creates a client; it sends nothing before {@link #watch}, {@link #fetch} or {@link
     * #setPushed}.
     */
    public DiscoveryClient(EventLoop loop, InetSocketAddress address, DiscoveryListener listener) {
        this.loop = loop;
        this.address = address;
        this.listener = listener;
        confirmedAt = loop.now();
    }

    /**
     * Sets the address of discovery; fetches in progress at the old address are repeated at the new
     * one.
     *
     * @return whether the address has changed
     */
    public boolean setAddress(InetSocketAddress to) {
        if (address.equals(to)) {
            return false;
        }
        address = to;
        LOG.info(
                "discovery is at {} from now on",
                address.getHostString() + ":" + address.getPort());
        for (DiscoveryExchange old : List.copyOf(exchanges)) {
            // closed without a failure event: the new address has not failed
            old.close();
            if (!old.isWatch()) {
                fetch();
            }
        }
        watch = null;
        // Opened at once. Prevents the backoff after failures at the old address from delaying
        // changes at the new one for longer than they may wait.
        watch(watchWanted);
        return true;
    }

    @Override
    public void start() {
        // the listener calls watch and fetch; for the pushed mode see setPushed
    }

    /** Sets whether a watch is kept open from now on without calls from the listener. */
    public void setPushed(boolean pushed) {
        this.pushed = pushed;
        if (pushed) {
            watch(true);
        }
    }

    @Override
    public void setKnownList(DiscoveryUpdate update) {
        generation = update.generation();
    }

    @Override
    public void watch(boolean on) {
        watchWanted = on;
        if (!on) {
            closeWatch();
        } else if (watch == null && !closed) {
            watch = newExchange(true, PATH + "?stream=1&index=" + generation);
            watch.start();
        }
    }

    private void closeWatch() {
        if (watch != null) {
            watch.close();
            watch = null;
        }
    }

    @Override
    public void fetch() {
        if (!closed) {
            newExchange(false, PATH).start();
        }
    }

    private DiscoveryExchange newExchange(boolean isWatch, String target) {
        DiscoveryExchange exchange =
                new DiscoveryExchange(loop, address, isWatch, target, exchangeListener);
        exchanges.add(exchange);
        return exchange;
    }

    /**
     * Reads updates that have arrived on the watch but have not been read: the rest of a long list,
     * or any update if the loop runs late. Must be called before a request is written to an
     * endpoint.
     */
    public void readArrivedUpdates() {
        if (watch != null) {
            watch.readArrived();
        }
    }

    @Override
    public void close() {
        closed = true;
        for (DiscoveryExchange old : List.copyOf(exchanges)) {
            old.close();
        }
        watch = null;
    }

    private final class ExchangeListener implements DiscoveryExchange.Listener {
        @Override
        public void updateReceived(DiscoveryExchange exchange, DiscoveryUpdate update) {
            generation = update.generation();
            if (failing) {
                LOG.info("discovery is back, at generation {}", generation);
                failing = false;
            }
            long dueAt = confirmedAt + ListLease.NOTIFICATION_DUE_NS;
            listener.listUpdated(update, Math.min(loop.arrivedNotBefore(), dueAt));
        }

        @Override
        public DiscoveryUpdate unchangedUpdate() {
            return new DiscoveryUpdate(generation, false, List.of());
        }

        @Override
        public void listConfirmed() {
            // The sign of life may have arrived long before it is read, and says nothing about
            // changes made after its arrival.
            confirmedAt = loop.arrivedNotBefore();
            listener.listConfirmed(confirmedAt);
        }

        @Override
        public void failed(DiscoveryExchange exchange, String reason) {
            logFirstFailure(exchange, reason);
            boolean provesOutage = pushed ? !exchange.hasReceived() : exchange.provesNotServing();
            if (provesOutage) {
                listener.pollFailed(exchange.waitedSince());
            }
            if (exchange.isWatch()) {
                watch = null;
            }
            if (pushed) {
                loop.schedule(REOPEN_DELAY_NS, () -> watch(watchWanted));
            } else {
                listener.listRequestFailed();
            }
        }

        /** Logs one line for a series of failures. */
        private void logFirstFailure(DiscoveryExchange exchange, String reason) {
            if (!failing) {
                LOG.warn(
                        "discovery {} {} ms after the request: keeping the list of generation {}",
                        reason,
                        (loop.now() - exchange.startedAt()) / NS_PER_MS,
                        generation);
                failing = true;
            }
        }

        @Override
        public void closed(DiscoveryExchange exchange) {
            exchanges.remove(exchange);
        }
    }
}
