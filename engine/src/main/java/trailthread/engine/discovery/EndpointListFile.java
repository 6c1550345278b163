package trailthread.engine.discovery;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.engine.loop.EventLoop;

/**
 * A list of endpoints in a file, in the form in which discovery sends a whole one. It is looked at
 * twice a second by its time, size and inode, beside the loop, and may be replaced or written anew
 * at any moment: what can't be read, as a half-written one can't, is told of in one line, and the
 * list before stays.
 */
public final class EndpointListFile implements EndpointListSource {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListFile.class);
    private static final long EVERY_NS = 500_000_000L;

    /** More than ten thousand endpoints need. */
    private static final long MOST_BYTES = 8 * 1024 * 1024;

    /** What tells one state of the file from the next. */
    private record Look(long modified, long size, Object inode) {}

    private final EventLoop loop;
    private final Path path;
    private final DiscoveryListener listener;
    private Look last;
    private boolean failing;
    private boolean closed;

    /** Makes one that has not looked yet. */
    public EndpointListFile(EventLoop loop, Path path, DiscoveryListener listener) {
        this.loop = loop;
        this.path = path;
        this.listener = listener;
    }

    @Override
    public void start() {
        look();
    }

    @Override
    public void known(DiscoveryUpdate update) {
        // the file is read at once
    }

    @Override
    public void watch(boolean on) {
        // it is looked at all the time
    }

    @Override
    public void fetch() {
        last = null;
    }

    @Override
    public void close() {
        closed = true;
    }

    private void look() {
        if (closed) {
            return;
        }
        Look before = last;
        loop.worker()
                .execute(
                        () -> {
                            Look seen = null;
                            DiscoveryUpdate update = null;
                            String fault = null;
                            try {
                                BasicFileAttributes file =
                                        Files.readAttributes(path, BasicFileAttributes.class);
                                seen =
                                        new Look(
                                                file.lastModifiedTime().to(TimeUnit.NANOSECONDS),
                                                file.size(),
                                                file.fileKey());
                                if (!seen.equals(before)) {
                                    update = read(file.size());
                                }
                            } catch (IOException e) {
                                fault = e.getClass().getSimpleName() + ": " + e.getMessage();
                            }
                            Look now = seen;
                            DiscoveryUpdate read = update;
                            String why = fault;
                            loop.execute(() -> looked(now, read, why));
                        });
        loop.after(EVERY_NS, this::look);
    }

    private DiscoveryUpdate read(long size) throws IOException {
        if (size > MOST_BYTES) {
            throw new IOException("more than " + MOST_BYTES + " bytes");
        }
        DiscoveryUpdate update =
                DiscoveryParser.parse(Files.readString(path, StandardCharsets.UTF_8));
        return new DiscoveryUpdate(
                update.generation(), true, update.instances()); // always the whole list
    }

    private void looked(Look seen, DiscoveryUpdate update, String fault) {
        if (closed) {
            return;
        }
        if (fault != null) {
            if (!failing) {
                LOG.warn("list {} can't be used ({}): going on with the one before", path, fault);
            }
            failing = true;
            last = null; // it is read again until it can be
            return;
        }
        last = seen;
        if (update != null) {
            if (failing) {
                LOG.info("list {} can be used again", path);
            }
            failing = false;
            listener.told(update, loop.now());
        }
    }
}
