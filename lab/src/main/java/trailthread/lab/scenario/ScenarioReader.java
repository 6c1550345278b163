package trailthread.lab.scenario;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.RequestClass;
import trailthread.api.Tenant;
import trailthread.configuration.Fault;
import trailthread.lab.model.ServerLimits;
import trailthread.lab.scenario.Scenario.ClassModel;
import trailthread.lab.scenario.Scenario.ClientModel;
import trailthread.lab.scenario.Scenario.DiscoveryModel;
import trailthread.lab.scenario.Scenario.FaultKind;
import trailthread.lab.scenario.Scenario.FleetModel;
import trailthread.lab.scenario.Scenario.NetworkModel;
import trailthread.lab.scenario.Scenario.NodeRules;
import trailthread.lab.scenario.Scenario.ScheduledFault;
import trailthread.lab.scenario.Scenario.Surge;
import trailthread.lab.scenario.Scenario.WorkDistribution;

/** Reads scenarios; docs/lab-scenarios.md lists the keys. */
public final class ScenarioReader {
    private static final String LONGEST = "1000h";

    /** A scenario that can't be used. */
    public static final class InvalidScenarioException extends Exception {
        private static final long serialVersionUID = 1;
        private final transient List<Fault> faults;

        InvalidScenarioException(List<Fault> faults) {
            super(String.join("\n", faults.stream().map(Fault::toString).toList()));
            this.faults = List.copyOf(faults);
        }

        /** One at least. */
        public List<Fault> faults() {
            return faults;
        }
    }

    private final List<Fault> faults = new ArrayList<>();

    private ScenarioReader() {}

    /**
     * Reads a file.
     *
     * @throws InvalidScenarioException with all its faults
     */
    public static Scenario read(Path file) throws IOException, InvalidScenarioException {
        return parse(file.toString(), Files.readString(file, StandardCharsets.UTF_8));
    }

    /**
     * Reads a text; pure.
     *
     * @param name stands in faults
     * @throws InvalidScenarioException with all its faults
     */
    public static Scenario parse(String name, String text) throws InvalidScenarioException {
        ScenarioReader reader = new ScenarioReader();
        TomlParseResult toml = Toml.parse(text);
        toml.errors()
                .forEach(
                        e ->
                                reader.faults.add(
                                        new Fault(
                                                name,
                                                e.position().line(),
                                                e.position().column(),
                                                "",
                                                "TOML",
                                                e.getMessage())));
        Scenario scenario =
                reader.faults.isEmpty()
                        ? reader.scenario(new ScenarioTable(name, reader.faults, toml, null, ""))
                        : null;
        if (!reader.faults.isEmpty()) {
            throw new InvalidScenarioException(reader.faults);
        }
        return scenario;
    }

    private Scenario scenario(ScenarioTable top) {
        String name = top.text("name", null);
        String description = top.text("about", "");
        long duration = top.time("length", null);
        long warmUp = top.time("warm_up", "0s");
        int nodes = top.whole("nodes", 1, 1, 10_000);
        List<String> zones = top.texts("zones", List.of("a"));
        List<ClassModel> classes = new ArrayList<>();
        top.parts("classes").forEach(part -> classes.add(requestClass(part)));
        if (classes.isEmpty()) {
            top.fault("classes", "at least one, begun with [[classes]]");
        }
        List<Tenant> tenants = new ArrayList<>();
        for (ScenarioTable part : top.parts("tenants")) {
            tenants.add(
                    new Tenant(
                            part.text("name", null),
                            part.number("per_second", 1e9, 0, 1e9),
                            part.number("share", null, 0, 1)));
            part.end();
        }
        ClientModel clients = clients(top.part("clients"));
        NetworkModel network = network(top.part("network"));
        FleetModel fleet = fleet(top.part("fleet"));
        ScenarioTable list = top.part("list");
        long[] delay = list.times("delay", "500ms");
        list.end();
        NodeRules rules = rules(top.part("rules"));
        List<ScheduledFault> scheduledFaults = new ArrayList<>();
        top.parts("faults").forEach(part -> scheduledFaults.add(scheduledFault(part, zones)));
        top.end();
        return faults.isEmpty()
                ? new Scenario(
                        name,
                        description,
                        duration,
                        warmUp,
                        nodes,
                        zones,
                        classes,
                        tenants,
                        clients,
                        network,
                        fleet,
                        new DiscoveryModel(delay[0], delay[1]),
                        rules,
                        scheduledFaults)
                : null;
    }

    /** The words of the scenario file for {@link Idempotency}. */
    private enum Repeats {
        SAFE(Idempotency.IDEMPOTENT),
        KEYED(Idempotency.IDEMPOTENCY_KEY),
        UNSAFE(Idempotency.NOT_IDEMPOTENT);

        private final Idempotency idempotency;

        Repeats(Idempotency idempotency) {
            this.idempotency = idempotency;
        }
    }

    private static ClassModel requestClass(ScenarioTable part) {
        long[] work = part.times("work", null);
        WorkDistribution draw =
                part.word(
                        "draw",
                        work[0] == work[1] ? WorkDistribution.FIXED : WorkDistribution.UNIFORM,
                        WorkDistribution.class);
        RequestClass rules =
                new RequestClass(
                        part.text("name", null),
                        part.time("aim", null),
                        0,
                        part.time("deadline", null),
                        part.word("repeats", Repeats.SAFE, Repeats.class).idempotency,
                        part.word("group", DeduplicationScope.ALL, DeduplicationScope.class),
                        part.time("window", "0s"),
                        part.number("worth", 1.0, 0, 1e6),
                        part.number("late_worth", 0.0, 0, 1));
        ClassModel model =
                new ClassModel(rules, part.number("share", 1.0, 0, 1e6), draw, work[0], work[1]);
        part.end();
        return model;
    }

    private static ClientModel clients(ScenarioTable part) {
        List<Surge> surges = new ArrayList<>();
        for (ScenarioTable surge : part.parts("surges")) {
            surges.add(
                    new Surge(
                            surge.time("at", null),
                            surge.time("for", null),
                            surge.number("times", null, 0, 1000)));
            surge.end();
        }
        double[] patience = part.numbers("patience", 1, 0.01, 1);
        ClientModel model =
                new ClientModel(
                        part.number("per_second", null, 0.001, 1e7),
                        surges,
                        part.time("swing_period", "0s"),
                        part.number("swing", 0.0, 0, 1),
                        part.whole("retries", 0, 0, 20),
                        part.time("backoff", "100ms"),
                        part.flag("heeds", true),
                        patience[0],
                        patience[1],
                        part.whole("keys", 0, 0, 1_000_000_000));
        part.end();
        return model;
    }

    private static NetworkModel network(ScenarioTable part) {
        NetworkModel model =
                new NetworkModel(
                        part.time("near", "200us"),
                        part.time("far", "4ms"),
                        part.number("jitter", 0.2, 0, 10),
                        part.time("open_work", "0s"),
                        part.time("dial", "100ms"),
                        part.time("idle_close", "5s"),
                        part.whole("connections", 1000, 1, 1_000_000));
        part.end();
        return model;
    }

    private static FleetModel fleet(ScenarioTable part) {
        ScenarioTable jam = part.part("jam");
        ServerLimits.Jam jamModel =
                new ServerLimits.Jam(
                        jam.number(
                                "waiting_per_core",
                                Double.POSITIVE_INFINITY,
                                0,
                                Double.POSITIVE_INFINITY),
                        jam.time("after", LONGEST),
                        jam.number("slower", 1.0, 1, 1000),
                        jam.number("idle", 0.5, 0, 1000),
                        jam.time("calm", "1s"));
        jam.end();
        ScenarioTable cold = part.part("cold");
        ServerLimits.Cold coldModel =
                new ServerLimits.Cold(
                        cold.number("share", 1.0, 0.001, 1),
                        cold.time("warm", "0s"),
                        cold.number(
                                "multiple", Double.POSITIVE_INFINITY, 1, Double.POSITIVE_INFINITY),
                        cold.time("window", "1s"));
        cold.end();
        int cores = part.whole("cores", 1, 1, 10_000);
        int slots = part.whole("slots", 1_000_000, 1, 1_000_000);
        ServerLimits limits =
                new ServerLimits(
                        1,
                        cores,
                        slots,
                        part.whole("room", 1_000_000, 0, 1_000_000),
                        part.number("crowding", 0.0, 0, 10),
                        jamModel,
                        coldModel,
                        part.flag("cancel_stops", false));
        double[] speed = part.numbers("speed", 1, 0.001, 1000);
        long[] every = part.times("report_every", "500ms");
        FleetModel fleet =
                new FleetModel(
                        part.whole("workers", null, 1, 100_000),
                        limits,
                        speed[0],
                        speed[1],
                        part.whole("cells", 0, 0, 100_000),
                        part.flag("reports", true),
                        every[0],
                        every[1],
                        part.number("noise", 0.0, 0, 1),
                        part.time("probe_work", "100us"),
                        part.flag("deep_probes", false));
        part.end();
        return fleet;
    }

    private static NodeRules rules(ScenarioTable part) {
        NodeRules rules =
                new NodeRules(
                        part.whole("attempts", 3, 1, 100),
                        part.time("answer_slack", "20ms"),
                        part.time("drain_grace", "1s"),
                        part.time("retry_after", "0s"),
                        part.flag("probes", true),
                        part.number("cross_zone_price", 0.0, 0, 1));
        part.end();
        return rules;
    }

    private static ScheduledFault scheduledFault(ScenarioTable part, List<String> zones) {
        FaultKind kind = part.word("trouble", null, FaultKind.class);
        String zone = part.text("zone", "");
        if (!zone.isEmpty() && !zones.contains(zone)) {
            part.fault("zone", "one of " + String.join(", ", zones));
        }
        if (kind == FaultKind.ZONE_CUT && zone.isEmpty()) {
            part.fault("zone", "the zone that is cut off");
        }
        ScheduledFault fault =
                new ScheduledFault(
                        kind,
                        part.time("at", null),
                        part.time("for", "1s"),
                        part.number("part", 1.0, 0, 1),
                        part.number("size", 1.0, 0, 1e6),
                        part.number("extra", 0.0, 0, 1),
                        zone.isEmpty() ? null : zone);
        part.end();
        return fault;
    }
}
