package trailthread.engine.request;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.LogRateLimiter;

/** Logs the requests that were rejected or failed, a bounded number per second. */
final class RequestLog {
    private static final Logger LOG = LoggerFactory.getLogger(RequestLog.class);
    private static final int REQUESTS_PER_SECOND = 10;

    private final EventLoop loop;
    private final LogRateLimiter requests = new LogRateLimiter(REQUESTS_PER_SECOND);
    private boolean enabled = true;

    RequestLog(EventLoop loop) {
        this.loop = loop;
    }

    /** Stops logging. */
    void disable() {
        enabled = false;
    }

    void rejected(ClientRequest request, int attempts) {
        log(request, "rejected", attempts);
    }

    void failed(ClientRequest request, int attempts) {
        log(request, "failed", attempts);
    }

    private void log(ClientRequest request, String result, int attempts) {
        if (!enabled || !requests.tryAcquire(loop.now())) {
            return;
        }
        long suppressed = requests.takeSuppressed();
        LOG.info(
                "request {} of class {} is {} after {} attempts{}",
                request.id(),
                request.requestClass(),
                result,
                attempts,
                suppressed == 0 ? "" : "; " + suppressed + " such lines left out before");
    }
}
