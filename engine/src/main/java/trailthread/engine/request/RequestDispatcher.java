package trailthread.engine.request;

import java.util.List;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import trailthread.Balancer;
import trailthread.api.Admission;
import trailthread.api.EndpointEntry;
import trailthread.api.ListKind;
import trailthread.api.RequestClass;
import trailthread.api.Settings;
import trailthread.engine.discovery.EndpointListSource;
import trailthread.engine.endpoint.EndpointPool;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;

/**
 * Dispatches clients' requests to endpoints as the balancer decides. Everything runs on the event
 * loop's thread.
 */
public final class RequestDispatcher implements RequestHandler {
    private static final Logger LOG = LoggerFactory.getLogger(RequestDispatcher.class);
    private static final long NS_PER_MS = 1_000_000L;
    private static final Admission ADMIT_NONE = (requestClass, overQuota, random) -> false;

    private final EventLoop loop;
    private final EndpointPool endpoints;
    private final MetricsRecorder metrics;
    private final BalancerDriver driver;
    private final BalancerActionExecutor actions;
    private final Balancer balancer;
    private final ActiveRequests requests = new ActiveRequests();
    private final SpentRequestIds spentIds;
    private final RequestLog log;
    private long lastId;

    /** How long after its deadline a request may still be answered, ns. */
    private long responseSlackNs;

    /** The latest deadline of any request, by {@link EventLoop#now}. */
    private long latestDeadline = Long.MAX_VALUE;

    /** Fires when all open requests are given up; null until {@link #setAnswerDeadlines}. */
    private XnioExecutor.Key giveUpTimer;

    /** Runs once the last request has ended after {@link #retire}; null before that. */
    private Runnable whenRetired;

    private boolean retired;

    /** The host's admission rule; null: all requests are admitted. */
    private Admission admission;

    /**
     * Creates a dispatcher without requests.
     *
     * @param seed the seed of the balancer's random numbers
     */
    public RequestDispatcher(
            EventLoop loop,
            EndpointPool endpoints,
            Settings settings,
            long seed,
            MetricsRecorder metrics) {
        this.metrics = metrics;
        this.loop = loop;
        this.endpoints = endpoints;
        log = new RequestLog(loop);
        spentIds = new SpentRequestIds(loop.now());
        driver = new BalancerDriver(loop::now);
        actions = new BalancerActionExecutor(loop, endpoints, metrics, driver, requests);
        applyTimeouts(settings);
        balancer = new Balancer(settings, seed, loop.now(), driver.queueingActions(actions));
        driver.setBalancer(balancer);
    }

    private void applyTimeouts(Settings settings) {
        responseSlackNs = settings.responseSlackNs;
        // An endpoint whose health check takes longer can't meet any latency objective.
        actions.setHealthCheckTimeoutNs(
                settings.classes.stream()
                        .mapToLong(RequestClass::latencyObjectiveNs)
                        .min()
                        .orElseThrow());
    }

    /**
     * Applies changed settings. Open requests keep the request class with which they were admitted.
     */
    public void applySettings(Settings settings) {
        applyTimeouts(settings);
        // Not an event, but run like one, so that an exception is logged.
        driver.deliver((events, now) -> balancer.applySettings(now, settings));
    }

    /** To be called if the only endpoint is this process itself: its failures are not logged. */
    public void useForLoopback() {
        endpoints.useForLoopback();
        log.disable();
    }

    /** Sets the source from which the balancer watches and fetches the endpoint list. */
    public void setDiscovery(EndpointListSource discovery) {
        actions.setDiscovery(discovery);
    }

    /**
     * Retires the dispatcher. The caller admits no more requests; once the open ones have ended, no
     * more timers are delivered to the balancer.
     *
     * @param whenRetired runs once, when no request is left
     */
    public void retire(Runnable whenRetired) {
        this.whenRetired = whenRetired;
        finishRetiring();
    }

    private void finishRetiring() {
        if (whenRetired != null && !retired && requests.isEmpty()) {
            retired = true;
            actions.stopTimers();
            whenRetired.run();
        }
    }

    /**
     * Limits deadlines, so that requests are answered before the process is killed. A later call
     * may only set earlier times. Times are by {@link EventLoop#now}, ns.
     *
     * @param newRequestsBy the latest deadline of requests that are admitted from now on
     * @param allRequestsBy when every request that is still open is given up
     */
    public void setAnswerDeadlines(long newRequestsBy, long allRequestsBy) {
        latestDeadline = newRequestsBy;
        if (giveUpTimer != null) {
            giveUpTimer.remove();
        }
        giveUpTimer =
                loop.scheduleAfterReading(
                        allRequestsBy - now(), () -> giveUpOpenRequests(allRequestsBy));
    }

    /**
     * Answers every open request with a failure, and only then cancels their attempts. Prevents a
     * request from being answered late because the attempts of others are cancelled before it.
     */
    private void giveUpOpenRequests(long dueAt) {
        List<ActiveRequest> open =
                requests.snapshot().stream().filter(request -> !request.isFinished()).toList();
        if (open.isEmpty()) {
            return;
        }
        long startedAt = now();
        open.forEach(ActiveRequest::fail);
        long answeredAt = now();
        open.forEach(ActiveRequest::abandon);
        LOG.warn(
                "{} requests are given up: the process may be killed before their deadlines;"
                        + " started {} ms late, all answered within {} ms",
                open.size(),
                (startedAt - dueAt) / NS_PER_MS,
                (answeredAt - startedAt) / NS_PER_MS);
    }

    /**
     * Sets to which endpoints the health checks that the balancer requests are sent; without a
     * filter, to all.
     */
    public void setHealthCheckFilter(Predicate<String> mayCheckHealth) {
        actions.setHealthCheckFilter(mayCheckHealth);
    }

    /** Sets which requests the balancer admits; null: all. */
    public void setAdmission(Admission admission) {
        this.admission = admission;
        driver.deliver((balancer, now) -> balancer.setAdmission(admission));
    }

    /** Returns how many of the listed endpoints the balancer avoids now. */
    public int avoidedEndpoints() {
        return balancer.countAvoided(now());
    }

    /** Delivers an update of the endpoint list to the balancer. */
    public void updateEndpointList(ListKind kind, List<EndpointEntry> entries) {
        driver.deliver((balancer, now) -> balancer.updateEndpointList(now, kind, entries));
    }

    /** Sets until when the endpoint list is valid, by {@link EventLoop#now}. */
    public void setListLeaseEnd(long until) {
        driver.deliver((balancer, now) -> balancer.setListLeaseEnd(now, until));
    }

    @Override
    public Runnable handle(ClientRequest client, long deadline, ClientResponse response) {
        long id = ++lastId;
        ActiveRequest request =
                new ActiveRequest(this, id, client, Math.min(deadline, latestDeadline), response);
        requests.add(id, client.id(), request);
        metrics.requestAdmitted(client.requestClass());
        request.start();
        return request::clientDisconnected;
    }

    @Override
    public Runnable handleUnadmitted(ClientRequest client, long deadline, ClientResponse response) {
        log.outOfMemory(client);
        driver.deliver((balancer, now) -> balancer.setAdmission(ADMIT_NONE));
        Runnable onDisconnect = handle(client, deadline, response);
        driver.deliver((balancer, now) -> balancer.setAdmission(admission));
        return onDisconnect;
    }

    @Override
    public boolean isOpen(String correlationId) {
        return requests.hasCorrelationId(correlationId);
    }

    @Override
    public boolean isSpent(String correlationId) {
        return spentIds.contains(correlationId);
    }

    /** Remembers that a request may have run that must not run again. */
    void addSpentId(String correlationId) {
        spentIds.add(correlationId, now());
    }

    /** Releases a finished request without an attempt in flight; a second call does nothing. */
    void release(ActiveRequest request, long id, String correlationId) {
        if (requests.remove(id, correlationId, request)) {
            request.notifyReleased();
            finishRetiring();
        }
    }

    long now() {
        return loop.now();
    }

    EventLoop loop() {
        return loop;
    }

    RequestLog log() {
        return log;
    }

    BalancerDriver driver() {
        return driver;
    }

    MetricsRecorder metrics() {
        return metrics;
    }

    EndpointPool endpoints() {
        return endpoints;
    }

    long responseSlackNs() {
        return responseSlackNs;
    }
}
