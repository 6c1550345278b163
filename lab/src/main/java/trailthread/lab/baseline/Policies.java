package trailthread.lab.baseline;

import java.util.List;
import trailthread.Balancer;
import trailthread.api.BalancerActions;
import trailthread.api.BalancerEvents;
import trailthread.api.Settings;

/** All policies that runs can have, by name. */
public final class Policies {
    /** Makes the decisions of a policy. */
    private interface Factory {
        BalancerEvents create(
                Settings settings,
                long seed,
                long now,
                BalancerActions actions,
                FleetView fleetView);
    }

    private record NamedPolicy(String name, String description, Factory factory) implements Policy {
        @Override
        public BalancerEvents create(
                Settings settings,
                long seed,
                long now,
                BalancerActions actions,
                FleetView fleetView) {
            return factory.create(settings, seed, now, actions, fleetView);
        }
    }

    /** The project's own decision module. */
    public static final Policy TRAILTHREAD =
            new NamedPolicy(
                    "trailthread",
                    "this project's decision module",
                    (settings, seed, now, actions, fleetView) ->
                            new Balancer(settings, seed, now, actions));

    /** Sees what no real node can. */
    public static final Policy ORACLE =
            new NamedPolicy(
                    "oracle",
                    "the worker that is best by the true state of all; refuses what would miss its aim",
                    (settings, seed, now, actions, fleetView) ->
                            new OraclePolicy(settings, seed, actions, fleetView));

    private static final List<Policy> ALL =
            List.of(
                    TRAILTHREAD,
                    new NamedPolicy(
                            "random",
                            "any worker, evenly",
                            (settings, seed, now, actions, fleetView) ->
                                    new RandomChoice(settings, seed, actions)),
                    new NamedPolicy(
                            "round-robin",
                            "each worker in its turn",
                            (settings, seed, now, actions, fleetView) ->
                                    new RoundRobin(settings, seed, actions)),
                    new NamedPolicy(
                            "least-outstanding",
                            "the worker with the fewest of this node's own requests",
                            (settings, seed, now, actions, fleetView) ->
                                    new LeastOutstanding(settings, seed, actions)),
                    new NamedPolicy(
                            "two-choices",
                            "the better of two drawn evenly, by own requests (Mitzenmacher, IEEE TPDS 2001)",
                            (settings, seed, now, actions, fleetView) ->
                                    new TwoChoices(settings, seed, actions)),
                    new NamedPolicy(
                            "sns",
                            "lottery by reported queues and own sends since then (Chawathe and Brewer 1998)",
                            (settings, seed, now, actions, fleetView) ->
                                    new SnsLottery(settings, seed, actions, true)),
                    new NamedPolicy(
                            "sns-uncorrected",
                            "the same without own sends",
                            (settings, seed, now, actions, fleetView) ->
                                    new SnsLottery(settings, seed, actions, false)),
                    new NamedPolicy(
                            "prequal",
                            "probes, hot and cold, least latency among the cold (Wydrowski et al., NSDI 2024)",
                            (settings, seed, now, actions, fleetView) ->
                                    new Prequal(settings, seed, actions)),
                    ORACLE);

    private Policies() {}

    /** In the order of tables. */
    public static List<Policy> all() {
        return ALL;
    }

    /**
     * The policy of this name.
     *
     * @throws IllegalArgumentException if there is none
     */
    public static Policy byName(String name) {
        return ALL.stream()
                .filter(p -> p.name().equals(name))
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "no policy "
                                                + name
                                                + "; there are "
                                                + String.join(
                                                        ", ",
                                                        ALL.stream().map(Policy::name).toList())));
    }
}
