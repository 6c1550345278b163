package trailthread.engine.endpoint;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.api.Outcome;
import trailthread.engine.http.Surplus;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.LogRateLimiter;

/**
 * Logs the attempts that were not served, with the reason of each, and surplus bytes from
 * endpoints; a bounded number of lines per second.
 */
final class EndpointLog {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointLog.class);
    private static final int ATTEMPTS_PER_SECOND = 10;
    private static final int SURPLUS_PER_SECOND = 10;
    private static final double NS_PER_MS = 1e6;

    /** The idle time of a connection that was opened for the attempt, or of no connection. */
    static final long NEVER_IDLE = -1;

    private final EventLoop loop;
    private final LogRateLimiter attempts = new LogRateLimiter(ATTEMPTS_PER_SECOND);
    private final LogRateLimiter surplus = new LogRateLimiter(SURPLUS_PER_SECOND);
    private boolean enabled = true;

    EndpointLog(EventLoop loop) {
        this.loop = loop;
    }

    /** Stops logging. */
    void disable() {
        enabled = false;
    }

    /**
     * Logs the end of an attempt that was not served.
     *
     * @param requestId null: a health check
     * @param reason a predicate whose subject is the endpoint, or null
     * @param sent whether the request's last byte was written
     * @param idleNs how long the attempt's connection was idle before, or {@link #NEVER_IDLE}
     */
    void attemptFailed(
            String requestId,
            String endpoint,
            Outcome outcome,
            String reason,
            long elapsedNs,
            boolean sent,
            long idleNs) {
        if (!enabled || !attempts.tryAcquire(loop.now())) {
            return;
        }
        LOG.info(
                "attempt of request {} at {} ended: {}{} after {} ms, request {}, connection {}{}",
                requestId == null ? "(health check)" : requestId,
                endpoint,
                outcome,
                reason == null ? "" : " (it " + reason + ")",
                milliseconds(elapsedNs),
                sent ? "sent" : "not sent",
                idleNs == NEVER_IDLE ? "new" : "idle for " + milliseconds(idleNs) + " ms before",
                suppressedNote(attempts));
    }

    /**
     * Logs that an endpoint has sent bytes that are no part of a response to any request.
     *
     * @param reuseDelayNs how long all connections rest from now on
     */
    void surplusReceived(String endpoint, Surplus received, long reuseDelayNs) {
        if (!enabled || !surplus.tryAcquire(loop.now())) {
            return;
        }
        LOG.warn(
                "{} has sent {} {} ms after a response: its connections carry one request each,"
                        + " others rest for {} ms{}",
                endpoint,
                received.startsResponse() ? "a response to no request" : "surplus bytes",
                milliseconds(received.afterNs()),
                milliseconds(reuseDelayNs),
                suppressedNote(surplus));
    }

    private static String suppressedNote(LogRateLimiter limiter) {
        long suppressed = limiter.takeSuppressed();
        return suppressed == 0 ? "" : "; " + suppressed + " such lines left out before";
    }

    private static String milliseconds(long ns) {
        return String.valueOf(Math.round(10 * ns / NS_PER_MS) / 10.0);
    }
}
