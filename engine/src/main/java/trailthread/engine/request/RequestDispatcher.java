package trailthread.engine.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.Balancer;
import trailthread.api.Admission;
import trailthread.api.BalancerActions;
import trailthread.api.EndpointEntry;
import trailthread.api.ListKind;
import trailthread.api.RequestClass;
import trailthread.api.Settings;
import trailthread.engine.discovery.EndpointListSource;
import trailthread.engine.endpoint.EndpointPool;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;

/** The calls at work, between the module that decides on them and the sockets that carry them. */
public final class RequestDispatcher implements BalancerActions, RequestHandler {
    private static final Logger LOG = LoggerFactory.getLogger(RequestDispatcher.class);

    private final EventLoop loop;
    private final EndpointPool endpoints;
    private final MetricsRecorder meter;
    private final BalancerDriver decisions;
    private final Balancer module;
    private final Map<Long, ActiveRequest> calls = new HashMap<>();

    /** The clients' ids of these. Endpoints tell copies of a call by its id. */
    private final Set<String> openIds = new HashSet<>();

    private long responseSlackNs;

    /** What takes longer to tell its load than the tightest aim is fit for nothing just now. */
    private long probeWithinNs;

    private EndpointListSource list;

    /** Runs when the last call has ended, and nothing more is done after that; null: it goes on. */
    private Runnable whenOver;

    private boolean over;
    private Predicate<String> mayCheckHealth = endpoint -> true;
    private long lastId;

    /** No call waits for its answer longer, by {@link EventLoop#now}. */
    private long answeredBy = Long.MAX_VALUE;

    public RequestDispatcher(
            EventLoop loop,
            EndpointPool endpoints,
            Settings settings,
            long seed,
            MetricsRecorder meter) {
        this.meter = meter;
        this.loop = loop;
        this.endpoints = endpoints;
        apply(settings);
        decisions = new BalancerDriver(loop::now);
        module = new Balancer(settings, seed, loop.now(), decisions.queueing(this));
        decisions.setModule(module);
    }

    private void apply(Settings settings) {
        responseSlackNs = settings.responseSlackNs;
        probeWithinNs =
                settings.classes.stream()
                        .mapToLong(RequestClass::latencyObjectiveNs)
                        .min()
                        .orElseThrow();
    }

    /** Other settings hold from now on; calls under way keep their class. */
    public void retune(Settings settings) {
        apply(settings);
        decisions.event(null, (events, now) -> module.retune(now, settings));
    }

    /** Where the module's wishes about the list go; without one they are let be. */
    public void setDiscovery(EndpointListSource list) {
        this.list = list;
    }

    /**
     * No call is taken from now on; those at work come to their ends, and then the module hears of
     * nothing more.
     */
    public void retire(Runnable whenOver) {
        this.whenOver = whenOver;
        endIfDone();
    }

    /**
     * The process may be killed soon: calls taken from now on have their answers by the first time,
     * and the module plans for that; all have them by the second. By {@link EventLoop#now}, in
     * nanoseconds.
     */
    public void answerBy(long newOnes, long all) {
        answeredBy = newOnes;
        loop.afterReading(
                all - now(),
                () -> {
                    if (!calls.isEmpty()) {
                        LOG.warn(
                                "{} calls are given up: the process may be killed before they have their time",
                                calls.size());
                        List.copyOf(calls.values()).forEach(ActiveRequest::giveUp);
                    }
                });
    }

    private void endIfDone() {
        if (whenOver != null && !over && calls.isEmpty()) {
            over = true;
            whenOver.run();
        }
    }

    /** Which probes that the module asks for are made; without it, all. */
    public void setProbes(Predicate<String> mayCheckHealth) {
        this.mayCheckHealth = mayCheckHealth;
    }

    /** Tells the module which calls to take; null: all. */
    public void admit(Admission admission) {
        decisions.event(null, (module, now) -> module.admit(admission));
    }

    /** How many of the listed endpoints the module avoids just now. */
    public int avoidedEndpoints() {
        return module.avoided(now());
    }

    /** Brings the module news of the endpoints. */
    public void list(ListKind kind, List<EndpointEntry> entries) {
        decisions.event(null, (module, now) -> module.list(now, kind, entries));
    }

    /** Tells the module until when the list may be acted on. */
    public void listLeaseUntil(long until) {
        decisions.event(null, (module, now) -> module.listLeaseUntil(now, until));
    }

    @Override
    public Runnable take(ClientRequest client, long deadline, ClientResponse reply) {
        openIds.add(client.id());
        ActiveRequest call =
                new ActiveRequest(this, ++lastId, client, Math.min(deadline, answeredBy), reply);
        calls.put(lastId, call);
        meter.taken(client.requestClass());
        call.taken();
        return call::gone;
    }

    @Override
    public boolean isOpen(String id) {
        return openIds.contains(id);
    }

    // ---- what calls need
    // ---------------------------------------------------------------------------

    long now() {
        return loop.now();
    }

    EventLoop loop() {
        return loop;
    }

    BalancerDriver decisions() {
        return decisions;
    }

    MetricsRecorder meter() {
        return meter;
    }

    EndpointPool endpoints() {
        return endpoints;
    }

    long responseSlackNs() {
        return responseSlackNs;
    }

    void forget(ActiveRequest call, long id, String clientsId) {
        if (calls.remove(id, call)) { // a call that has ended may end in a second way
            openIds.remove(clientsId);
            call.released();
            endIfDone();
        }
    }

    // ---- actions
    // -----------------------------------------------------------------------------------

    @Override
    public void send(long id, long timeoutNs, long writtenBy, String endpoint) {
        ActiveRequest call = calls.get(id);
        if (call != null) {
            call.attempt(endpoint, timeoutNs, writtenBy);
        }
    }

    @Override
    public void refuse(long id, long retryAfterNs) {
        ActiveRequest call = calls.get(id);
        if (call != null) {
            call.refuse(retryAfterNs);
        }
    }

    @Override
    public void fail(long id) {
        ActiveRequest call = calls.get(id);
        if (call != null) {
            call.fail();
        }
    }

    @Override
    public void cancel(long id, int attempt) {
        ActiveRequest call = calls.get(id);
        if (call != null) {
            call.cancel(attempt);
        }
    }

    @Override
    public void timer(long delayNs, long token) {
        loop.after(
                delayNs,
                () -> {
                    if (!over) {
                        decisions.event(null, (module, now) -> module.timer(now, token));
                    }
                });
    }

    @Override
    public void probe(String endpoint) {
        if (!mayCheckHealth.test(endpoint)) {
            return;
        }
        endpoints.probe(
                endpoint,
                probeWithinNs,
                ending -> {
                    meter.healthChecked(endpoint, ending.outcome(), ending.load());
                    decisions.event(
                            null,
                            (module, now) ->
                                    module.healthChecked(
                                            now,
                                            endpoint,
                                            ending.outcome(),
                                            ending.latencyNs(),
                                            ending.load()));
                });
    }

    @Override
    public void closeIdle(String endpoint) {
        endpoints.closeIdle(endpoint);
    }

    @Override
    public void tell(int peer, byte[] data) {
        LOG.warn("the module would tell a peer something: nodes share nothing here");
    }

    @Override
    public void watch(boolean on) {
        if (list != null) {
            list.watch(on);
        }
    }

    @Override
    public void fetch() {
        if (list != null) {
            list.fetch();
        }
    }

    @Override
    public void log(String text) {
        LOG.info(text);
    }
}
