package trailthread.lab.simulation;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.Test;
import trailthread.Balancer;
import trailthread.api.BalancerActions;
import trailthread.api.BalancerEvents;
import trailthread.api.Settings;
import trailthread.lab.baseline.FleetView;
import trailthread.lab.baseline.Policies;
import trailthread.lab.baseline.Policy;
import trailthread.lab.experiment.Result;
import trailthread.lab.experiment.RunExecutor;
import trailthread.lab.invariant.Invariant;
import trailthread.lab.scenario.Scenario;
import trailthread.lab.scenario.ScenarioReader;

/**
 * Runs in virtual time are reproducible, have no violations, and end when the balancer gets into an
 * endless loop or requests an impossible action.
 */
public class SimulationTest {
    private static final Path SCENARIOS = Path.of("scenarios");

    /** A scenario of the repository, shortened. */
    private static Scenario shortened(String name, double seconds)
            throws IOException, ScenarioReader.InvalidScenarioException {
        Scenario s = ScenarioReader.read(SCENARIOS.resolve(name + ".toml"));
        long length = Math.min(s.durationNs(), (long) (seconds * 1e9));
        return new Scenario(
                s.name(),
                s.description(),
                length,
                Math.min(s.warmUpNs(), length / 4),
                s.nodes(),
                s.zones(),
                s.classes(),
                s.tenants(),
                s.clients(),
                s.network(),
                s.fleet(),
                s.discovery(),
                s.rules(),
                s.faults());
    }

    private static Result run(Scenario scenario, String policy, long seed) {
        return Result.of(
                        scenario,
                        policy,
                        seed,
                        Simulation.run(scenario, Policies.byName(policy), seed))
                .withoutTimes();
    }

    @Test
    public void oneSeedGivesOneResultToTheByteOnAnyNumberOfThreads() throws Exception {
        List<RunExecutor.RunSpec> specs = new ArrayList<>();
        for (String name : List.of("fast-errors", "rolling-restart", "node-killed")) {
            for (Policy policy : Policies.all()) {
                specs.add(new RunExecutor.RunSpec(shortened(name, 7), policy, 5));
            }
        }
        List<String> onOneThread =
                RunExecutor.runAll(specs, 1, r -> {}).stream()
                        .map(r -> r.withoutTimes().json())
                        .toList();
        List<String> onSevenThreads =
                RunExecutor.runAll(specs, 7, r -> {}).stream()
                        .map(r -> r.withoutTimes().json())
                        .toList();
        assertEquals(onOneThread, onSevenThreads);
        assertNotEquals(
                onOneThread.get(0), run(shortened("fast-errors", 7), "trailthread", 6).json());
    }

    /** The operations of clients, their times and their work do not depend on the policy. */
    @Test
    public void allPoliciesReceiveTheSameClientRequests() throws Exception {
        Scenario scenario = shortened("calm", 8);
        long[] counts =
                Simulation.run(scenario, Policies.byName("random"), 3)
                        .metrics()
                        .classes()
                        .get("action")
                        .counts();
        for (Policy policy : Policies.all()) {
            long[] other =
                    Simulation.run(scenario, policy, 3).metrics().classes().get("action").counts();
            assertEquals(policy.name(), counts[0], other[0]);
        }
    }

    /** The balancer of this project violates no invariant in any scenario, and nothing hangs. */
    @Test
    public void noInvariantIsViolatedInAnyScenario() throws Exception {
        List<RunExecutor.RunSpec> specs = new ArrayList<>();
        try (Stream<Path> files = Files.list(SCENARIOS)) {
            for (Path file : files.sorted().toList()) {
                String name = file.getFileName().toString().replace(".toml", "");
                specs.add(
                        new RunExecutor.RunSpec(
                                shortened(name, name.equals("large") ? 0.5 : 14),
                                Policies.TRAILTHREAD,
                                2));
            }
        }
        assertTrue("at least twelve scenarios", specs.size() >= 12);
        for (Result result : RunExecutor.runAll(specs, 4, r -> {})) {
            assertTrue(result.tableRow(), result.broken().isEmpty());
            assertTrue(result.tableRow(), result.goodput() > 0.3);
        }
    }

    // ---- faulty balancers

    /** Changes the actions of the balancer of this project. */
    private interface ActionFilter {
        BalancerActions wrap(BalancerActions actions, BalancerEvents[] balancer);
    }

    private static Policy filteredPolicy(ActionFilter filter) {
        return new Policy() {
            @Override
            public String name() {
                return "filtered";
            }

            @Override
            public String description() {
                return "for tests";
            }

            @Override
            public BalancerEvents create(
                    Settings settings,
                    long seed,
                    long now,
                    BalancerActions actions,
                    FleetView fleetView) {
                BalancerEvents[] balancer = new BalancerEvents[1];
                balancer[0] = new Balancer(settings, seed, now, filter.wrap(actions, balancer));
                return balancer[0];
            }
        };
    }

    private static class ForwardingActions implements BalancerActions {
        private final BalancerActions target;

        ForwardingActions(BalancerActions target) {
            this.target = target;
        }

        @Override
        public void send(long id, long timeoutNs, long writtenBy, String endpoint) {
            target.send(id, timeoutNs, writtenBy, endpoint);
        }

        @Override
        public void reject(long id, long retryAfterNs) {
            target.reject(id, retryAfterNs);
        }

        @Override
        public void fail(long id) {
            target.fail(id);
        }

        @Override
        public void cancel(long id, int attempt) {
            target.cancel(id, attempt);
        }

        @Override
        public void setTimer(long delayNs, long token) {
            target.setTimer(delayNs, token);
        }

        @Override
        public void checkHealth(String endpoint) {
            target.checkHealth(endpoint);
        }

        @Override
        public void closeIdleConnections(String endpoint) {
            target.closeIdleConnections(endpoint);
        }

        @Override
        public void sendToPeer(int peer, byte[] data) {
            target.sendToPeer(peer, data);
        }

        @Override
        public void watchList(boolean on) {
            target.watchList(on);
        }

        @Override
        public void fetchList() {
            target.fetchList();
        }

        @Override
        public void log(String text) {
            target.log(text);
        }
    }

    private static void assertRunFails(String message, ActionFilter filter) throws Exception {
        Scenario scenario = shortened("calm", 5);
        BalancerFailureException failure =
                assertThrows(
                        BalancerFailureException.class,
                        () -> Simulation.run(scenario, filteredPolicy(filter), 1));
        assertTrue(failure.getMessage(), failure.getMessage().contains(message));
    }

    @Test(timeout = 60_000)
    public void anEndlessLoopOfTimersEndsTheRun() throws Exception {
        assertRunFails(
                "without time passing",
                (actions, balancer) ->
                        new ForwardingActions(actions) {
                            @Override
                            public void setTimer(long delayNs, long token) {
                                super.setTimer(0, token);
                            }

                            @Override
                            public void send(
                                    long id, long timeoutNs, long writtenBy, String endpoint) {
                                // Each timer event schedules the next: the balancer
                                // schedules this timer again.
                                super.setTimer(0, 2);
                                super.send(id, timeoutNs, writtenBy, endpoint);
                            }
                        });
    }

    @Test
    public void tooManyActionsForOneEventEndTheRun() throws Exception {
        assertRunFails(
                "one event requested more than",
                (actions, balancer) ->
                        new ForwardingActions(actions) {
                            @Override
                            public void send(
                                    long id, long timeoutNs, long writtenBy, String endpoint) {
                                for (int i = 0; i < 200_000; i++) {
                                    super.send(id, timeoutNs, writtenBy, endpoint);
                                }
                            }
                        });
    }

    @Test
    public void anEndpointInNoListEndsTheRun() throws Exception {
        assertRunFails(
                "no list has named: w999",
                (actions, balancer) ->
                        new ForwardingActions(actions) {
                            @Override
                            public void send(
                                    long id, long timeoutNs, long writtenBy, String endpoint) {
                                super.send(id, timeoutNs, writtenBy, "w999");
                            }
                        });
    }

    @Test
    public void aSecondResponseIsReported() throws Exception {
        Simulation.RunResult run =
                Simulation.run(
                        shortened("calm", 4),
                        filteredPolicy(
                                (actions, balancer) ->
                                        new ForwardingActions(actions) {
                                            @Override
                                            public void send(
                                                    long id,
                                                    long timeoutNs,
                                                    long writtenBy,
                                                    String endpoint) {
                                                super.send(id, timeoutNs, writtenBy, endpoint);
                                                super.reject(id, 0);
                                                super.fail(id);
                                            }
                                        }),
                        1);
        assertTrue(
                run.checker().violationCounts().toString(),
                run.checker().violationCounts().containsKey(Invariant.ONE_ANSWER));
        assertTrue(
                run.checker().violations().get(0).describe(),
                run.checker().violations().get(0).describe().contains("answered: refused"));
    }

    @Test
    public void requestsWithoutAResponseAreReported() throws Exception {
        Simulation.RunResult run =
                Simulation.run(
                        shortened("calm", 4),
                        filteredPolicy(
                                (actions, balancer) ->
                                        new ForwardingActions(actions) {
                                            @Override
                                            public void send(
                                                    long id,
                                                    long timeoutNs,
                                                    long writtenBy,
                                                    String endpoint) {
                                                // drops the request
                                            }

                                            @Override
                                            public void reject(long id, long retryAfterNs) {
                                                // drops the request
                                            }
                                        }),
                        1);
        assertTrue(
                run.checker().violationCounts().toString(),
                run.checker().violationCounts().containsKey(Invariant.IN_TIME));
        assertEquals("each request is checked", 0, run.checker().openRequests());
    }
}
