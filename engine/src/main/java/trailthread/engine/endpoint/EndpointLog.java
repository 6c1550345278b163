package trailthread.engine.endpoint;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import trailthread.api.Outcome;
import trailthread.engine.http.Surplus;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.RateLimitedLogger;

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

    private final RateLimitedLogger attempts;
    private final RateLimitedLogger surplus;

    EndpointLog(EventLoop loop) {
        attempts = new RateLimitedLogger(LOG, Level.INFO, ATTEMPTS_PER_SECOND, loop::now);
        surplus = new RateLimitedLogger(LOG, Level.WARN, SURPLUS_PER_SECOND, loop::now);
    }

    /** Stops logging. */
    void disable() {
        attempts.disable();
        surplus.disable();
    }

    /**
     * Logs the end of an attempt that was not served.
     *
     * @param requestId null: a health check
     * @param reason a predicate whose subject is the endpoint, or null
     * @param sent whether the request's last byte was written
     * @param idleNs how long the attempt's connection was idle before, or {@link #NEVER_IDLE}
     * @param response what was received of the response
     */
    void attemptFailed(
            String requestId,
            String endpoint,
            Outcome outcome,
            String reason,
            long elapsedNs,
            boolean sent,
            long idleNs,
            String response) {
        if (!attempts.tryAcquire()) {
            return;
        }
        attempts.write(
                "attempt of request {} at {} ended: {}{} after {} ms, request {}, connection {}, response: {}",
                requestId == null ? "(health check)" : requestId,
                endpoint,
                outcome,
                reason == null ? "" : " (it " + reason + ")",
                milliseconds(elapsedNs),
                sent ? "sent" : "not sent",
                idleNs == NEVER_IDLE ? "new" : "idle for " + milliseconds(idleNs) + " ms before",
                response);
    }

    /**
     * Logs that an endpoint has sent bytes that are no part of a response to any request.
     *
     * @param reuseDelayNs how long all connections rest from now on
     */
    void surplusReceived(String endpoint, Surplus received, long reuseDelayNs) {
        if (!surplus.tryAcquire()) {
            return;
        }
        surplus.write(
                "{} has sent {} {} ms after a response or connect: its connections carry one request each,"
                        + " others rest for {} ms",
                endpoint,
                received.startsResponse() ? "a response to no request" : "surplus bytes",
                milliseconds(received.afterNs()),
                milliseconds(reuseDelayNs));
    }

    private static String milliseconds(long ns) {
        return String.valueOf(Math.round(10 * ns / NS_PER_MS) / 10.0);
    }
}
