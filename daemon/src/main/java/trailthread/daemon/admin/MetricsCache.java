package trailthread.daemon.admin;

import io.prometheus.metrics.expositionformats.ExpositionFormatWriter;
import io.prometheus.metrics.expositionformats.OpenMetricsTextFormatWriter;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.engine.loop.EventLoop;

/**
 * Renders the metrics and caches the result, so that the load on the event loop does not depend on
 * the rate of the clients' requests. The loop's thread only takes the snapshot; another thread
 * renders it.
 */
final class MetricsCache {
    private static final Logger LOG = LoggerFactory.getLogger(MetricsCache.class);

    /** A format in which metrics are rendered. */
    enum Format {
        PROMETHEUS(PrometheusTextFormatWriter.create()),
        OPEN_METRICS(OpenMetricsTextFormatWriter.create()),
        JSON(null);

        @SuppressWarnings("ImmutableEnumChecker") // the library's writers hold no state
        private final ExpositionFormatWriter writer;

        Format(ExpositionFormatWriter writer) {
            this.writer = writer;
        }

        /** Returns the metrics format for an Accept header, which may be null. */
        static Format accepted(String header) {
            return OPEN_METRICS.writer.accepts(header) ? OPEN_METRICS : PROMETHEUS;
        }

        String contentType() {
            return writer == null ? "application/json" : writer.getContentType();
        }
    }

    /** The last rendered body in one format, and the receivers that wait for the next one. */
    private static final class Entry {
        /** Null before the first rendering, and if the last one failed. */
        private byte[] body;

        private long snapshotAt;
        private final List<Consumer<byte[]>> waitingReceivers = new ArrayList<>();

        void complete(byte[] rendered, long at) {
            body = rendered;
            snapshotAt = at;
            List<Consumer<byte[]>> notified = List.copyOf(waitingReceivers);
            waitingReceivers.clear();
            notified.forEach(receiver -> receiver.accept(rendered));
        }
    }

    private final EventLoop loop;
    private final String nodeName;
    private final String version;
    private final long cacheNs;
    private final Supplier<Snapshot> snapshotSource;
    private final Map<Format, Entry> entries = new EnumMap<>(Format.class);

    /**
     * Makes an empty cache.
     *
     * @param cacheNs how long a body is served from the cache, counted from its snapshot
     */
    MetricsCache(
            EventLoop loop,
            String nodeName,
            String version,
            long cacheNs,
            Supplier<Snapshot> snapshotSource) {
        this.loop = loop;
        this.nodeName = nodeName;
        this.version = version;
        this.cacheNs = cacheNs;
        this.snapshotSource = snapshotSource;
    }

    /**
     * Passes the rendered metrics to a receiver, at once or later, on the loop's thread.
     *
     * @param receiver gets the bytes, which it must not change; null if rendering failed
     */
    void get(Format format, Consumer<byte[]> receiver) {
        Entry entry = entries.computeIfAbsent(format, f -> new Entry());
        if (entry.body != null && loop.now() - entry.snapshotAt < cacheNs) {
            receiver.accept(entry.body);
            return;
        }
        entry.waitingReceivers.add(receiver);
        if (entry.waitingReceivers.size() == 1) {
            long now = loop.now();
            Snapshot snapshot = snapshotSource.get();
            loop.xnioWorker().execute(() -> renderInto(entry, format, snapshot, now));
        }
    }

    /**
     * Renders a snapshot and completes the entry, even if rendering throws an error: its receivers
     * would otherwise wait for ever.
     */
    private void renderInto(Entry entry, Format format, Snapshot snapshot, long snapshotAt) {
        byte[] body = null;
        try {
            body = render(format, snapshot);
        } finally {
            byte[] rendered = body;
            loop.execute(() -> entry.complete(rendered, snapshotAt));
        }
    }

    private byte[] render(Format format, Snapshot snapshot) {
        try {
            ProcessMetrics process = ProcessMetrics.read();
            return format.writer == null
                    ? StatusJson.render(snapshot, process, nodeName, version)
                    : Exposition.render(snapshot, process, nodeName, version, format.writer);
        } catch (IOException | RuntimeException e) {
            LOG.error("cannot render the metrics", e);
            return null;
        }
    }
}
