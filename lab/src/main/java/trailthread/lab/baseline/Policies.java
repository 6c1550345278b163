package trailthread.lab.baseline;

import java.util.List;
import trailthread.Balancer;
import trailthread.api.BalancerActions;
import trailthread.api.BalancerEvents;
import trailthread.api.Settings;

/** All policies, by name. */
public final class Policies {
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

    public static final Policy TRAILTHREAD =
            new NamedPolicy(
                    "trailthread",
                    "the balancer of this project",
                    (settings, seed, now, actions, fleetView) ->
                            new Balancer(settings, seed, now, actions));

    /** Uses the true state of the servers. */
    public static final Policy ORACLE =
            new NamedPolicy(
                    "oracle",
                    "the best server by the true state of all; rejects requests that would miss their objective",
                    (settings, seed, now, actions, fleetView) ->
                            new OraclePolicy(settings, seed, actions, fleetView));

    private static final List<Policy> ALL =
            List.of(
                    TRAILTHREAD,
                    new NamedPolicy(
                            "random",
                            "any server with equal probability",
                            (settings, seed, now, actions, fleetView) ->
                                    new RandomChoice(settings, seed, actions)),
                    new NamedPolicy(
                            "round-robin",
                            "each server in turn",
                            (settings, seed, now, actions, fleetView) ->
                                    new RoundRobin(settings, seed, actions)),
                    new NamedPolicy(
                            "least-outstanding",
                            "the server with the fewest outstanding requests of this node",
                            (settings, seed, now, actions, fleetView) ->
                                    new LeastOutstanding(settings, seed, actions)),
                    new NamedPolicy(
                            "two-choices",
                            "the better of two random servers by outstanding requests (Mitzenmacher, IEEE TPDS 2001)",
                            (settings, seed, now, actions, fleetView) ->
                                    new TwoChoices(settings, seed, actions)),
                    new NamedPolicy(
                            "sns",
                            "lottery by reported queue and attempts since the report (Chawathe and Brewer 1998)",
                            (settings, seed, now, actions, fleetView) ->
                                    new SnsLottery(settings, seed, actions, true)),
                    new NamedPolicy(
                            "sns-uncorrected",
                            "as sns, but without the attempts since the report",
                            (settings, seed, now, actions, fleetView) ->
                                    new SnsLottery(settings, seed, actions, false)),
                    new NamedPolicy(
                            "prequal",
                            "probes; least latency among the servers that are not hot (Wydrowski et al., NSDI 2024)",
                            (settings, seed, now, actions, fleetView) ->
                                    new Prequal(settings, seed, actions)),
                    ORACLE);

    private Policies() {}

    /** All policies, in the order of tables. */
    public static List<Policy> all() {
        return ALL;
    }

    /**
     * Returns the policy of this name.
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
