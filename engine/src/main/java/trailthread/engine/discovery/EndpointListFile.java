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
 * An endpoint list in a file, in the JSON form of a complete list from discovery.
 *
 * <p>The file is checked for changes twice a second, by modification time, size and inode, on a
 * worker thread. It may be replaced or rewritten at any time. A file that cannot be read, such as
 * one that is half written, is logged once, and the list that was read last stays valid.
 */
public final class EndpointListFile implements EndpointListSource {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListFile.class);
    private static final long CHECK_INTERVAL_NS = 500_000_000L;

    /** Far more than a list of ten thousand endpoints has. */
    private static final long MAX_FILE_BYTES = 8 * 1024 * 1024;

    /** Identifies one version of the file's contents. */
    private record FileVersion(long modifiedNs, long size, Object inode) {
        static FileVersion of(BasicFileAttributes file) {
            return new FileVersion(
                    file.lastModifiedTime().to(TimeUnit.NANOSECONDS), file.size(), file.fileKey());
        }
    }

    /**
     * The result of one check of the file.
     *
     * @param version the version that was found, or null if it could not be read
     * @param update the list, or null if it has not changed or could not be read
     * @param error why the file could not be read, or null
     */
    private record CheckResult(FileVersion version, DiscoveryUpdate update, String error) {}

    private final EventLoop loop;
    private final Path path;
    private final DiscoveryListener listener;

    /** The version that was read last; null: the next check reads the file whatever its version. */
    private FileVersion lastVersion;

    private boolean failing;
    private boolean closed;

    /** Creates a source that checks the file for the first time when it is started. */
    public EndpointListFile(EventLoop loop, Path path, DiscoveryListener listener) {
        this.loop = loop;
        this.path = path;
        this.listener = listener;
    }

    @Override
    public void start() {
        startCheck();
    }

    @Override
    public void setKnownList(DiscoveryUpdate update) {
        // the file is read at the start and takes precedence over an earlier list
    }

    @Override
    public void watch(boolean on) {
        // the file is checked all the time
    }

    @Override
    public void fetch() {
        lastVersion = null;
    }

    @Override
    public void close() {
        closed = true;
    }

    private void startCheck() {
        if (closed) {
            return;
        }
        FileVersion knownVersion = lastVersion;
        loop.xnioWorker().execute(() -> checkOnWorkerThread(knownVersion));
        loop.schedule(CHECK_INTERVAL_NS, this::startCheck);
    }

    /** Runs on a worker thread, as reading a file may block the loop. */
    private void checkOnWorkerThread(FileVersion knownVersion) {
        CheckResult result = check(knownVersion);
        loop.execute(() -> applyResult(result));
    }

    private CheckResult check(FileVersion knownVersion) {
        try {
            FileVersion version =
                    FileVersion.of(Files.readAttributes(path, BasicFileAttributes.class));
            DiscoveryUpdate update = version.equals(knownVersion) ? null : read(version.size());
            return new CheckResult(version, update, null);
        } catch (IOException e) {
            return new CheckResult(
                    null, null, e.getClass().getSimpleName() + ": " + e.getMessage());
        }
    }

    private DiscoveryUpdate read(long size) throws IOException {
        if (size > MAX_FILE_BYTES) {
            throw new IOException("more than " + MAX_FILE_BYTES + " bytes");
        }
        DiscoveryUpdate update =
                DiscoveryParser.parse(Files.readString(path, StandardCharsets.UTF_8));
        // a file always holds the complete list, whatever its reset flag says
        return new DiscoveryUpdate(update.generation(), true, update.instances());
    }

    private void applyResult(CheckResult result) {
        if (closed) {
            return;
        }
        if (result.error() != null) {
            if (!failing) {
                LOG.warn(
                        "endpoint list {} can't be used ({}): keeping the previous list",
                        path,
                        result.error());
            }
            failing = true;
            lastVersion = null; // the file is read at each check until it can be used
            return;
        }
        lastVersion = result.version();
        if (result.update() != null) {
            if (failing) {
                LOG.info("endpoint list {} can be used again", path);
            }
            failing = false;
            listener.listUpdated(result.update(), loop.now());
        }
    }
}
