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
 * Renders the metrics, and caches the result for a while, so that the loop's time does not depend
 * on how often clients ask. The loop's thread only takes the snapshot; another thread renders it.
 */
final class MetricsCache {
    private static final Logger LOG = LoggerFactory.getLogger(MetricsCache.class);

    /** A format in which metrics are rendered. */
    enum Form {
        PROMETHEUS(PrometheusTextFormatWriter.create()),
        OPEN_METRICS(OpenMetricsTextFormatWriter.create()),
        JSON(null);

        @SuppressWarnings("ImmutableEnumChecker") // the library's writers hold no state
        private final ExpositionFormatWriter writer;

        Form(ExpositionFormatWriter writer) {
            this.writer = writer;
        }

        /** The metrics format that suits an Accept header, which may be null. */
        static Form accepted(String header) {
            return OPEN_METRICS.writer.accepts(header) ? OPEN_METRICS : PROMETHEUS;
        }

        String contentType() {
            return writer == null ? "application/json" : writer.getContentType();
        }
    }

    /** The last body of one format, and who waits for the next one. */
    private static final class Entry {
        /** Null before the first one, and if the last one could not be rendered. */
        private byte[] body;

        private long snapshotAt;
        private final List<Consumer<byte[]>> waiting = new ArrayList<>();

        void complete(byte[] rendered, long at) {
            body = rendered;
            snapshotAt = at;
            List<Consumer<byte[]>> notified = List.copyOf(waiting);
            waiting.clear();
            notified.forEach(receiver -> receiver.accept(rendered));
        }
    }

    private final EventLoop loop;
    private final String nodeName;
    private final String version;
    private final long freshNs;
    private final Supplier<Snapshot> snapshots;
    private final Map<Form, Entry> entries = new EnumMap<>(Form.class);

    /**
     * Makes an empty cache.
     *
     * @param freshNs for how long a body is served again, from its snapshot on
     */
    MetricsCache(
            EventLoop loop,
            String nodeName,
            String version,
            long freshNs,
            Supplier<Snapshot> snapshots) {
        this.loop = loop;
        this.nodeName = nodeName;
        this.version = version;
        this.freshNs = freshNs;
        this.snapshots = snapshots;
    }

    /**
     * Gives the rendered metrics to a receiver, at once or later, on the loop's thread.
     *
     * @param receiver gets the bytes, which it must not change; null if they can't be rendered
     */
    void get(Form form, Consumer<byte[]> receiver) {
        Entry entry = entries.computeIfAbsent(form, f -> new Entry());
        if (entry.body != null && loop.now() - entry.snapshotAt < freshNs) {
            receiver.accept(entry.body);
            return;
        }
        entry.waiting.add(receiver);
        if (entry.waiting.size() == 1) {
            long now = loop.now();
            Snapshot snapshot = snapshots.get();
            loop.xnioWorker().execute(() -> renderInto(entry, form, snapshot, now));
        }
    }

    /**
     * Completes the entry even if the rendering ends in an error, so that nobody waits for ever.
     */
    private void renderInto(Entry entry, Form form, Snapshot snapshot, long snapshotAt) {
        byte[] body = null;
        try {
            body = render(form, snapshot);
        } finally {
            byte[] rendered = body;
            loop.execute(() -> entry.complete(rendered, snapshotAt));
        }
    }

    private byte[] render(Form form, Snapshot snapshot) {
        try {
            ProcessMetrics process = ProcessMetrics.read();
            return form.writer == null
                    ? StatusJson.render(snapshot, process, nodeName, version)
                    : Exposition.render(snapshot, process, nodeName, version, form.writer);
        } catch (IOException | RuntimeException e) {
            LOG.error("the metrics can't be rendered", e);
            return null;
        }
    }
}
