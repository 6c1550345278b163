package trailthread.engine.request;

import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.api.BalancerActions;
import trailthread.engine.discovery.EndpointListSource;
import trailthread.engine.endpoint.AttemptResult;
import trailthread.engine.endpoint.EndpointPool;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;

/** Executes the balancer's actions on requests, endpoints, timers and discovery. */
final class BalancerActionExecutor implements BalancerActions {
    private static final Logger LOG = LoggerFactory.getLogger(BalancerActionExecutor.class);

    private final EventLoop loop;
    private final EndpointPool endpoints;
    private final MetricsRecorder metrics;
    private final BalancerDriver driver;
    private final ActiveRequests requests;

    /** A health check that takes longer fails. */
    private long healthCheckTimeoutNs;

    private Predicate<String> mayCheckHealth = endpoint -> true;

    /** Watches and fetches the endpoint list; null: these actions are ignored. */
    private EndpointListSource discovery;

    private boolean timersStopped;

    BalancerActionExecutor(
            EventLoop loop,
            EndpointPool endpoints,
            MetricsRecorder metrics,
            BalancerDriver driver,
            ActiveRequests requests) {
        this.loop = loop;
        this.endpoints = endpoints;
        this.metrics = metrics;
        this.driver = driver;
        this.requests = requests;
    }

    void setHealthCheckTimeoutNs(long healthCheckTimeoutNs) {
        this.healthCheckTimeoutNs = healthCheckTimeoutNs;
    }

    /** Sets to which endpoints the health checks that the balancer requests are sent. */
    void setHealthCheckFilter(Predicate<String> mayCheckHealth) {
        this.mayCheckHealth = mayCheckHealth;
    }

    void setDiscovery(EndpointListSource discovery) {
        this.discovery = discovery;
    }

    /** Stops the delivery of due timers to the balancer. */
    void stopTimers() {
        timersStopped = true;
    }

    @Override
    public void send(long id, long timeoutNs, long writeDeadline, String endpoint) {
        ActiveRequest request = requests.get(id);
        if (request != null) {
            request.startAttempt(endpoint, timeoutNs, writeDeadline);
        }
    }

    @Override
    public void reject(long id, long retryAfterNs) {
        ActiveRequest request = requests.get(id);
        if (request != null) {
            request.reject(retryAfterNs);
        }
    }

    @Override
    public void fail(long id) {
        ActiveRequest request = requests.get(id);
        if (request != null) {
            request.fail();
        }
    }

    @Override
    public void cancel(long id, int attempt) {
        ActiveRequest request = requests.get(id);
        if (request != null) {
            request.cancel(attempt);
        }
    }

    @Override
    public void setTimer(long delayNs, long token) {
        loop.schedule(delayNs, () -> timerFired(token));
    }

    private void timerFired(long token) {
        if (!timersStopped) {
            driver.deliver((balancer, now) -> balancer.timerFired(now, token));
        }
    }

    @Override
    public void checkHealth(String endpoint) {
        if (mayCheckHealth.test(endpoint)) {
            endpoints.checkHealth(
                    endpoint, healthCheckTimeoutNs, result -> healthChecked(endpoint, result));
        }
    }

    private void healthChecked(String endpoint, AttemptResult result) {
        metrics.healthChecked(endpoint, result.outcome(), result.load());
        driver.deliver(
                (balancer, now) ->
                        balancer.healthChecked(
                                now,
                                endpoint,
                                result.outcome(),
                                result.latencyNs(),
                                result.load()));
    }

    @Override
    public void closeIdleConnections(String endpoint) {
        endpoints.closeIdle(endpoint);
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        LOG.warn("the balancer sent a message to a peer, which is dropped: nodes share nothing");
    }

    @Override
    public void watchList(boolean on) {
        if (discovery != null) {
            discovery.watch(on);
        }
    }

    @Override
    public void fetchList() {
        if (discovery != null) {
            discovery.fetch();
        }
    }

    @Override
    public void log(String text) {
        LOG.info(text);
    }
}
