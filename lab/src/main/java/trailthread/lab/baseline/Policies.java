package trailthread.lab.baseline;

import java.util.List;
import trailthread.Balancer;
import trailthread.api.BalancerActions;
import trailthread.api.BalancerEvents;
import trailthread.api.Settings;

/** All policies that runs can have, by name. */
public final class Policies {
    /** Makes the decisions of a policy. */
    private interface Maker {
        BalancerEvents make(
                Settings settings, long seed, long now, BalancerActions actions, FleetView truth);
    }

    private record Named(String name, String about, Maker maker) implements Policy {
        @Override
        public BalancerEvents make(
                Settings settings, long seed, long now, BalancerActions actions, FleetView truth) {
            return maker.make(settings, seed, now, actions, truth);
        }
    }

    /** The project's own decision module. */
    public static final Policy TRAILTHREAD =
            new Named(
                    "trailthread",
                    "this project's decision module",
                    (settings, seed, now, actions, truth) ->
                            new Balancer(settings, seed, now, actions));

    /** Sees what no real node can. */
    public static final Policy ORACLE =
            new Named(
                    "oracle",
                    "the worker that is best by the true state of all; refuses what would miss its aim",
                    (settings, seed, now, actions, truth) ->
                            new OraclePolicy(settings, seed, actions, truth));

    private static final List<Policy> ALL =
            List.of(
                    TRAILTHREAD,
                    new Named(
                            "random",
                            "any worker, evenly",
                            (settings, seed, now, actions, truth) ->
                                    new RandomChoice(settings, seed, actions)),
                    new Named(
                            "round-robin",
                            "each worker in its turn",
                            (settings, seed, now, actions, truth) ->
                                    new RoundRobin(settings, seed, actions)),
                    new Named(
                            "least-outstanding",
                            "the worker with the fewest of this node's own requests",
                            (settings, seed, now, actions, truth) ->
                                    new LeastOutstanding(settings, seed, actions)),
                    new Named(
                            "two-choices",
                            "the better of two drawn evenly, by own requests (Mitzenmacher, IEEE TPDS 2001)",
                            (settings, seed, now, actions, truth) ->
                                    new TwoChoices(settings, seed, actions)),
                    new Named(
                            "sns",
                            "lottery by reported queues and own sends since then (Chawathe and Brewer 1998)",
                            (settings, seed, now, actions, truth) ->
                                    new SnsLottery(settings, seed, actions, true)),
                    new Named(
                            "sns-uncorrected",
                            "the same without own sends",
                            (settings, seed, now, actions, truth) ->
                                    new SnsLottery(settings, seed, actions, false)),
                    new Named(
                            "prequal",
                            "probes, hot and cold, least latency among the cold (Wydrowski et al., NSDI 2024)",
                            (settings, seed, now, actions, truth) ->
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
    public static Policy named(String name) {
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
