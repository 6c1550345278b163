package trailthread;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import trailthread.api.DeduplicationScope;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.Idempotency;
import trailthread.api.ListKind;
import trailthread.api.Outcome;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/** Random legal events; the rules are checked from outside after each step. */
class RandomizedRulesTest {
    private static final long MS = ScriptedBalancer.MS;
    private static final Outcome[] OUTCOMES = {
        Outcome.OK,
        Outcome.OK,
        Outcome.OK,
        Outcome.ERROR,
        Outcome.REJECTED,
        Outcome.TIMEOUT,
        Outcome.CONNECT_FAILED,
        Outcome.RESET
    };

    private static final class ClientRequest {
        long deadline;
        RequestClass rules;
        boolean ended;
        final List<ScriptedBalancer.Send> sends = new ArrayList<>();
        final List<Outcome> outcomes = new ArrayList<>();
    }

    private final Map<Long, ClientRequest> requests = new HashMap<>();
    private final Map<String, EndpointEntry> endpoints = new HashMap<>();
    private Settings settings;
    private ScriptedBalancer s;
    private int sendsSeen;
    private final Set<Long> answeredIds = new HashSet<>();

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
    void theRulesHoldForRandomEvents(int seed) {
        Random random = new Random(seed);
        settings = ScriptedBalancer.settings();
        settings.classes.add(keyed("keyed-all", DeduplicationScope.ALL, 400 * MS));
        settings.classes.add(keyed("keyed-zone", DeduplicationScope.ZONE, 2000 * MS));
        settings.mayHedge = seed % 2 == 0;
        settings.listIsPolled = seed % 3 == 0;
        settings.keyAffinity = seed % 4 == 0;
        settings.zone = "z0";
        s = new ScriptedBalancer(settings, seed);
        for (int i = 0; i < 8; i++) {
            EndpointEntry e = entry(i, EndpointState.READY, 0);
            endpoints.put(e.endpoint(), e);
        }
        s.balancer.list(s.now, ListKind.CACHED, new ArrayList<>(endpoints.values()));
        for (int step = 0; step < 6000; step++) {
            step(random);
            check();
        }
        s.pass(5000 * MS);
        check();
        requests.forEach((id, a) -> assertTrue(a.ended, "no final answer for " + id));
    }

    private static RequestClass keyed(String name, DeduplicationScope group, long window) {
        return new RequestClass(
                name, 200 * MS, 0, 1000 * MS, Idempotency.IDEMPOTENCY_KEY, group, window, 2, 0.2);
    }

    private static EndpointEntry entry(int i, EndpointState state, long readyAt) {
        return new EndpointEntry("b" + i, 1, state, "z" + i % 2, readyAt, i % 3);
    }

    private void step(Random random) {
        int event = random.nextInt(100);
        if (event < 45) {
            RequestClass c = settings.classes.get(random.nextInt(settings.classes.size()));
            ClientRequest a = new ClientRequest();
            a.rules = c;
            a.deadline = s.now + (long) (c.deadlineNs() * (0.3 + 0.7 * random.nextDouble()));
            long id = s.nextId++;
            requests.put(id, a);
            s.balancer.request(s.now, id, c.name(), 0, a.deadline, null, false, random.nextInt(50));
        } else if (event < 85) {
            endOne(random);
        } else if (event < 88) {
            int i = random.nextInt(8);
            EndpointState state = EndpointState.values()[random.nextInt(3)];
            EndpointEntry e = entry(i, state, random.nextBoolean() ? s.now : 0);
            endpoints.put(e.endpoint(), e);
            s.balancer.list(s.now, ListKind.DELTA, List.of(e));
        } else if (event < 89) {
            s.balancer.list(s.now, ListKind.FAILED, List.of());
        } else if (event < 91) {
            requests.keySet().stream()
                    .filter(id -> !requests.get(id).ended)
                    .sorted()
                    .findFirst()
                    .ifPresent(
                            id -> {
                                requests.get(id).ended = true;
                                s.balancer.gone(s.now, id);
                            });
        } else {
            s.pass((1 + random.nextInt(20)) * MS);
        }
    }

    private void endOne(Random random) {
        for (Long id : requests.keySet().stream().sorted().toList()) {
            ClientRequest a = requests.get(id);
            for (int k = 0; k < a.sends.size(); k++) {
                if (a.outcomes.get(k) == null && random.nextInt(4) == 0) {
                    Outcome o = OUTCOMES[random.nextInt(OUTCOMES.length)];
                    a.outcomes.set(k, o);
                    boolean closes = a.ended || o == Outcome.OK;
                    a.ended |= o == Outcome.OK;
                    s.balancer.outcome(
                            s.now,
                            id,
                            k,
                            o,
                            s.now - a.sends.get(k).at(),
                            closes,
                            ScriptedBalancer.queue(0));
                    return;
                }
            }
        }
    }

    /** Checks the actions of the balancer since the last step. */
    private void check() {
        for (; sendsSeen < s.sends.size(); sendsSeen++) {
            ScriptedBalancer.Send send = s.sends.get(sendsSeen);
            ClientRequest a = requests.get(send.id());
            assertFalse(a.ended, "a send after the end of " + send.id());
            assertTrue(a.sends.size() < settings.maxAttempts, "too many attempts of " + send.id());
            checkRetryIsHarmless(a, send);
            assertTrue(
                    endpoints.get(send.endpoint()).state() == EndpointState.READY,
                    "a send to a drained " + send);
            a.sends.add(send);
            a.outcomes.add(null);
        }
        for (Long id : s.refused) {
            if (answeredIds.add(id)) {
                ClientRequest a = requests.get(id);
                recordAnswer(a, id);
                boolean mayHaveRun = a.outcomes.stream().anyMatch(o -> o == null || o.mayHaveRun());
                boolean harmless =
                        a.rules.idempotency() == Idempotency.IDEMPOTENT
                                || !mayHaveRun
                                || (a.rules.idempotency() == Idempotency.IDEMPOTENCY_KEY
                                        && a.rules.deduplicationScope() == DeduplicationScope.ALL);
                assertTrue(harmless, "a refusal of what may have run: " + id);
            }
        }
        for (Long id : s.failed) {
            if (answeredIds.add(id)) {
                recordAnswer(requests.get(id), id);
            }
        }
        assertTrue(answeredIds.size() == s.refused.size() + s.failed.size(), "two final answers");
        requests.forEach(
                (id, a) ->
                        assertTrue(
                                a.ended || s.now <= a.deadline + settings.responseSlackNs,
                                "unanswered past its time: " + id));
    }

    private void recordAnswer(ClientRequest a, long id) {
        assertFalse(a.ended, "a second final answer for " + id);
        a.ended = true;
    }

    private void checkRetryIsHarmless(ClientRequest a, ScriptedBalancer.Send send) {
        for (int k = 0; k < a.sends.size(); k++) {
            Outcome o = a.outcomes.get(k);
            assertTrue(o != null || settings.mayHedge, "overlapping attempts of " + send.id());
            if (o != null && !o.mayHaveRun()) {
                continue;
            }
            if (a.rules.idempotency() == Idempotency.NOT_IDEMPOTENT) {
                throw new AssertionError("a repeat of unsafe " + send.id());
            }
            if (a.rules.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
                EndpointEntry was = endpoints.get(a.sends.get(k).endpoint());
                EndpointEntry is = endpoints.get(send.endpoint());
                assertTrue(
                        send.at() < a.sends.get(k).at() + a.rules.deduplicationWindowNs(),
                        "past the window");
                assertTrue(
                        a.rules.deduplicationScope() != DeduplicationScope.ZONE
                                || was.zone().equals(is.zone()),
                        "another zone");
                assertTrue(
                        a.rules.deduplicationScope() != DeduplicationScope.CELL
                                || was.cell() == is.cell(),
                        "another cell");
            }
        }
    }
}
