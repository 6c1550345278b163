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
 * Days in virtual time: the same from the same seed, judged, and ended where the decisions run
 * wild.
 */
public class SimulationTest {
    private static final Path SCENARIOS = Path.of("scenarios");

    /** A short form of a scenario of the repository. */
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
        List<String> once =
                RunExecutor.runAll(specs, 1, r -> {}).stream()
                        .map(r -> r.withoutTimes().json())
                        .toList();
        List<String> again =
                RunExecutor.runAll(specs, 7, r -> {}).stream()
                        .map(r -> r.withoutTimes().json())
                        .toList();
        assertEquals(once, again);
        assertNotEquals(once.get(0), run(shortened("fast-errors", 7), "trailthread", 6).json());
    }

    /** Whoever decides: what clients ask for, when and how much work it is. */
    @Test
    public void policiesMeetTheSameClients() throws Exception {
        Scenario scenario = shortened("calm", 8);
        long[] asked =
                Simulation.run(scenario, Policies.byName("random"), 3)
                        .metrics()
                        .classes()
                        .get("action")
                        .counts();
        for (Policy policy : Policies.all()) {
            long[] other =
                    Simulation.run(scenario, policy, 3).metrics().classes().get("action").counts();
            assertEquals(policy.name(), asked[0], other[0]);
        }
    }

    /** A short form of every scenario: the project's module keeps all rules, and nothing hangs. */
    @Test
    public void theModuleKeepsTheRulesOnEveryScenario() throws Exception {
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
        assertTrue("twelve at least", specs.size() >= 12);
        for (Result result : RunExecutor.runAll(specs, 4, r -> {})) {
            assertTrue(result.tableRow(), result.broken().isEmpty());
            assertTrue(result.tableRow(), result.goodput() > 0.3);
        }
    }

    // ---- decisions that run wild
    // -------------------------------------------------------------------

    /** The project's module, but for what the test puts between. */
    private interface Spoiler {
        BalancerActions spoil(BalancerActions actions, BalancerEvents[] module);
    }

    private static Policy spoilt(Spoiler spoiler) {
        return new Policy() {
            @Override
            public String name() {
                return "spoilt";
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
                BalancerEvents[] module = new BalancerEvents[1];
                module[0] = new Balancer(settings, seed, now, spoiler.spoil(actions, module));
                return module[0];
            }
        };
    }

    private static class Passing implements BalancerActions {
        private final BalancerActions to;

        Passing(BalancerActions to) {
            this.to = to;
        }

        @Override
        public void send(long id, long timeoutNs, long writtenBy, String endpoint) {
            to.send(id, timeoutNs, writtenBy, endpoint);
        }

        @Override
        public void refuse(long id, long retryAfterNs) {
            to.refuse(id, retryAfterNs);
        }

        @Override
        public void fail(long id) {
            to.fail(id);
        }

        @Override
        public void cancel(long id, int attempt) {
            to.cancel(id, attempt);
        }

        @Override
        public void timer(long delayNs, long token) {
            to.timer(delayNs, token);
        }

        @Override
        public void checkHealth(String endpoint) {
            to.checkHealth(endpoint);
        }

        @Override
        public void closeIdle(String endpoint) {
            to.closeIdle(endpoint);
        }

        @Override
        public void sendToPeer(int peer, byte[] data) {
            to.sendToPeer(peer, data);
        }

        @Override
        public void watch(boolean on) {
            to.watch(on);
        }

        @Override
        public void fetch() {
            to.fetch();
        }

        @Override
        public void log(String text) {
            to.log(text);
        }
    }

    private static void runsWild(String with, Spoiler spoiler) throws Exception {
        Scenario scenario = shortened("calm", 5);
        BalancerFailureException fault =
                assertThrows(
                        BalancerFailureException.class,
                        () -> Simulation.run(scenario, spoilt(spoiler), 1));
        assertTrue(fault.getMessage(), fault.getMessage().contains(with));
    }

    @Test(timeout = 60_000)
    public void aFloodOfTimersEndsTheRun() throws Exception {
        runsWild(
                "without time passing",
                (actions, module) ->
                        new Passing(actions) {
                            @Override
                            public void timer(long delayNs, long token) {
                                super.timer(0, token);
                            }

                            @Override
                            public void send(
                                    long id, long timeoutNs, long writtenBy, String endpoint) {
                                super.timer(
                                        0,
                                        2); // each sets the next: it is the timer that the module
                                // sets again
                                super.send(id, timeoutNs, writtenBy, endpoint);
                            }
                        });
    }

    @Test
    public void moreActionsThanAnyEventNeedsEndTheRun() throws Exception {
        runsWild(
                "one event asked for more than",
                (actions, module) ->
                        new Passing(actions) {
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
        runsWild(
                "no list has named: w999",
                (actions, module) ->
                        new Passing(actions) {
                            @Override
                            public void send(
                                    long id, long timeoutNs, long writtenBy, String endpoint) {
                                super.send(id, timeoutNs, writtenBy, "w999");
                            }
                        });
    }

    @Test
    public void aSecondAnswerIsSeen() throws Exception {
        Simulation.RunResult run =
                Simulation.run(
                        shortened("calm", 4),
                        spoilt(
                                (actions, module) ->
                                        new Passing(actions) {
                                            @Override
                                            public void send(
                                                    long id,
                                                    long timeoutNs,
                                                    long writtenBy,
                                                    String endpoint) {
                                                super.send(id, timeoutNs, writtenBy, endpoint);
                                                super.refuse(id, 0);
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
    public void callsThatAreForgottenAreSeen() throws Exception {
        Simulation.RunResult run =
                Simulation.run(
                        shortened("calm", 4),
                        spoilt(
                                (actions, module) ->
                                        new Passing(actions) {
                                            @Override
                                            public void send(
                                                    long id,
                                                    long timeoutNs,
                                                    long writtenBy,
                                                    String endpoint) {
                                                // nothing
                                            }

                                            @Override
                                            public void refuse(long id, long retryAfterNs) {
                                                // nothing
                                            }
                                        }),
                        1);
        assertTrue(
                run.checker().violationCounts().toString(),
                run.checker().violationCounts().containsKey(Invariant.IN_TIME));
        assertEquals("each is judged", 0, run.checker().openRequests());
    }
}
