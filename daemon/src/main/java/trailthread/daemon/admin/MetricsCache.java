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
 * What the endpoint answers. The loop only takes the snapshot; it is rendered beside the loop, and
 * then goes to all who ask within a while, so that the loop's time does not depend on how often
 * they do.
 */
final class MetricsCache {
    private static final Logger LOG = LoggerFactory.getLogger(MetricsCache.class);

    /** In what form figures are told. */
    enum Form {
        PROMETHEUS(PrometheusTextFormatWriter.create()),
        OPEN_METRICS(OpenMetricsTextFormatWriter.create()),
        JSON(null);

        @SuppressWarnings("ImmutableEnumChecker") // the library's writers hold no state
        private final ExpositionFormatWriter writer;

        Form(ExpositionFormatWriter writer) {
            this.writer = writer;
        }

        /** The form for metrics that suits an Accept header, which may be null. */
        static Form accepted(String header) {
            return OPEN_METRICS.writer.accepts(header) ? OPEN_METRICS : PROMETHEUS;
        }

        String contentType() {
            return writer == null ? "application/json" : writer.getContentType();
        }
    }

    /** One form's last body, and who waits for the next. */
    private static final class Slot {
        private byte[] body;
        private long madeAt;
        private final List<Consumer<byte[]>> waiting = new ArrayList<>();
    }

    private final EventLoop loop;
    private final String name;
    private final String version;
    private final long freshNs;
    private final Supplier<Snapshot> snapshots;
    private final Map<Form, Slot> slots = new EnumMap<>(Form.class);

    MetricsCache(
            EventLoop loop,
            String name,
            String version,
            long freshNs,
            Supplier<Snapshot> snapshots) {
        this.loop = loop;
        this.name = name;
        this.version = version;
        this.freshNs = freshNs;
        this.snapshots = snapshots;
    }

    /** Hands over the body, which nobody may change, at once or later; null if it can't be made. */
    void ask(Form form, Consumer<byte[]> then) {
        Slot slot = slots.computeIfAbsent(form, f -> new Slot());
        if (slot.body != null && loop.now() - slot.madeAt < freshNs) {
            then.accept(slot.body);
            return;
        }
        slot.waiting.add(then);
        if (slot.waiting.size() == 1) {
            long now = loop.now();
            Snapshot snapshot = snapshots.get();
            loop.worker()
                    .execute(
                            () -> {
                                byte[] body = null;
                                try {
                                    body = render(form, snapshot);
                                } finally {
                                    byte[] made = body;
                                    loop.execute(() -> made(slot, made, now));
                                }
                            });
        }
    }

    private byte[] render(Form form, Snapshot snapshot) {
        try {
            ProcessMetrics process = ProcessMetrics.read();
            return form.writer == null
                    ? StatusJson.render(snapshot, process, name, version)
                    : Exposition.render(snapshot, process, name, version, form.writer);
        } catch (IOException | RuntimeException e) {
            LOG.error("the figures for operators can't be told", e);
            return null;
        }
    }

    private static void made(Slot slot, byte[] body, long at) {
        slot.body = body;
        slot.madeAt = at;
        List<Consumer<byte[]>> waited = List.copyOf(slot.waiting);
        slot.waiting.clear();
        waited.forEach(then -> then.accept(body));
    }
}
