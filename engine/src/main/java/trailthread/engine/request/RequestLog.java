package trailthread.engine.request;

import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.RateLimitedLogger;

/** Logs the requests that were rejected or failed, a bounded number per second. */
final class RequestLog {
    private static final int REQUESTS_PER_SECOND = 10;

    private final RateLimitedLogger log;

    RequestLog(EventLoop loop) {
        log =
                new RateLimitedLogger(
                        LoggerFactory.getLogger(RequestLog.class),
                        Level.INFO,
                        REQUESTS_PER_SECOND,
                        loop::now);
    }

    /** Stops logging. */
    void disable() {
        log.disable();
    }

    void rejected(ClientRequest request, int attempts) {
        write(request, "was rejected", attempts);
    }

    void failed(ClientRequest request, int attempts) {
        write(request, "failed", attempts);
    }

    /** Logs that there is no memory for a request, which is rejected. */
    void outOfMemory(ClientRequest request) {
        if (log.tryAcquire()) {
            log.write("no memory for request {} of class {}", request.id(), request.requestClass());
        }
    }

    private void write(ClientRequest request, String result, int attempts) {
        if (log.tryAcquire()) {
            log.write(
                    "request {} of class {} {} after {} attempts",
                    request.id(),
                    request.requestClass(),
                    result,
                    attempts);
        }
    }
}
