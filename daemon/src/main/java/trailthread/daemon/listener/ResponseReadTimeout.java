package trailthread.daemon.listener;

import org.xnio.XnioExecutor;
import trailthread.engine.loop.EventLoop;

/**
 * Ends a response whose client has stopped reading.
 *
 * <p>The buffers between node and client hide most of what the client reads: the selector reports a
 * socket as writable only once a third of its send buffer, which may hold megabytes, is free. So
 * the unwritten bytes are offered to the socket at short intervals. Each byte that it accepts shows
 * that the client has read.
 */
final class ResponseReadTimeout {
    /** A response whose timeout is watched. */
    interface PendingResponse {
        /** Whether the response is complete or was aborted. */
        boolean hasEnded();

        /** Whether bytes of the response wait for the client. */
        boolean hasUnwritten();

        /** The number of body bytes that the socket has accepted so far. */
        long writtenBytes();

        /** Writes what the socket accepts now. */
        void offerUnwritten();

        /** The client has read nothing for {@link #TIMEOUT_NS}. */
        void readTimedOut();
    }

    /** The slowest client that is certain to get its response whole. */
    private static final long MIN_BYTES_PER_SECOND = 2 * 1024;

    /**
     * What a client may read before the node can see it: TCP opens a closed window again by a whole
     * segment at least, of 64 KiB on the loopback interface.
     */
    private static final long MAX_UNSEEN_BYTES = 64 * 1024;

    private static final long NS_PER_SECOND = 1_000_000_000L;

    /** A client that reads nothing for this time has stopped reading. */
    static final long TIMEOUT_NS = MAX_UNSEEN_BYTES / MIN_BYTES_PER_SECOND * NS_PER_SECOND;

    private static final long OFFER_INTERVAL_NS = 1_000_000_000L;

    private final EventLoop loop;
    private final PendingResponse response;

    private XnioExecutor.Key timer;

    /** The client's progress at the last check, in bytes. */
    private long writtenBytesBefore;

    /** Since when the client is not known to have read, by {@link EventLoop#now}. */
    private long unreadSince;

    /** Starts to watch a response. */
    ResponseReadTimeout(EventLoop loop, PendingResponse response) {
        this.loop = loop;
        this.response = response;
        unreadSince = loop.now();
        scheduleCheck();
    }

    /** Ends the watch. A pending timer would keep the response in memory. */
    void cancel() {
        timer.remove();
    }

    private void scheduleCheck() {
        timer = loop.schedule(OFFER_INTERVAL_NS, this::check);
    }

    private void check() {
        boolean wasPending = !response.hasEnded() && response.hasUnwritten();
        if (wasPending) {
            response.offerUnwritten();
        }
        if (response.hasEnded()) {
            return;
        }
        long now = loop.now();
        if (!wasPending || response.writtenBytes() != writtenBytesBefore) {
            writtenBytesBefore = response.writtenBytes();
            unreadSince = now;
        }
        if (now - unreadSince >= TIMEOUT_NS) {
            response.readTimedOut();
        } else {
            scheduleCheck();
        }
    }
}
