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

/** Reads scenario files; docs/lab-scenarios.md lists their keys. */
public final class ScenarioReader {
    /** A duration longer than any run, for states that are not entered by default. */
    private static final String NEVER = "1000h";

    /** Thrown for a scenario file with errors. */
    public static final class InvalidScenarioException extends Exception {
        private static final long serialVersionUID = 1;
        private final transient List<Fault> errors;

        InvalidScenarioException(List<Fault> errors) {
            super(String.join("\n", errors.stream().map(Fault::toString).toList()));
            this.errors = List.copyOf(errors);
        }

        /** The errors found, at least one. */
        public List<Fault> errors() {
            return errors;
        }
    }

    private final List<Fault> errors = new ArrayList<>();

    private ScenarioReader() {}

    /**
     * Reads a scenario file.
     *
     * @throws InvalidScenarioException with all errors of the file
     */
    public static Scenario read(Path file) throws IOException, InvalidScenarioException {
        return parse(file.toString(), Files.readString(file, StandardCharsets.UTF_8));
    }

    /**
     * Parses the text of a scenario file; without side effects.
     *
     * @param name the file name for error messages
     * @throws InvalidScenarioException with all errors of the text
     */
    public static Scenario parse(String name, String text) throws InvalidScenarioException {
        ScenarioReader reader = new ScenarioReader();
        TomlParseResult toml = Toml.parse(text);
        toml.errors()
                .forEach(
                        e ->
                                reader.errors.add(
                                        new Fault(
                                                name,
                                                e.position().line(),
                                                e.position().column(),
                                                "",
                                                "TOML",
                                                e.getMessage())));
        Scenario scenario =
                reader.errors.isEmpty()
                        ? reader.readScenario(
                                new ScenarioTable(name, reader.errors, toml, null, ""))
                        : null;
        if (!reader.errors.isEmpty()) {
            throw new InvalidScenarioException(reader.errors);
        }
        return scenario;
    }

    private Scenario readScenario(ScenarioTable root) {
        String name = root.text("name", null);
        String description = root.text("about", "");
        long duration = root.durationNs("length", null);
        long warmUp = root.durationNs("warm_up", "0s");
        int nodes = root.integer("nodes", 1, 1, 10_000);
        List<String> zones = root.texts("zones", List.of("a"));
        List<ClassModel> classes = new ArrayList<>();
        root.tables("classes").forEach(table -> classes.add(requestClass(table)));
        if (classes.isEmpty()) {
            root.addError("classes", "at least one [[classes]] table");
        }
        List<Tenant> tenants = new ArrayList<>();
        for (ScenarioTable table : root.tables("tenants")) {
            tenants.add(
                    new Tenant(
                            table.text("name", null),
                            table.number("per_second", 1e9, 0, 1e9),
                            table.number("share", null, 0, 1)));
            table.reportUnknownKeys();
        }
        ClientModel clients = clients(root.table("clients"));
        NetworkModel network = network(root.table("network"));
        FleetModel fleet = fleet(root.table("fleet"));
        ScenarioTable discovery = root.table("list");
        long[] delay = discovery.durationRangeNs("delay", "500ms");
        discovery.reportUnknownKeys();
        NodeRules rules = rules(root.table("rules"));
        List<ScheduledFault> scheduledFaults = new ArrayList<>();
        root.tables("faults").forEach(table -> scheduledFaults.add(scheduledFault(table, zones)));
        root.reportUnknownKeys();
        return errors.isEmpty()
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

    /** The values of the key {@code repeats}. */
    private enum Repeats {
        SAFE(Idempotency.IDEMPOTENT),
        KEYED(Idempotency.IDEMPOTENCY_KEY),
        UNSAFE(Idempotency.NOT_IDEMPOTENT);

        private final Idempotency idempotency;

        Repeats(Idempotency idempotency) {
            this.idempotency = idempotency;
        }
    }

    private static ClassModel requestClass(ScenarioTable table) {
        long[] work = table.durationRangeNs("work", null);
        WorkDistribution distribution =
                table.enumValue(
                        "draw",
                        work[0] == work[1] ? WorkDistribution.FIXED : WorkDistribution.UNIFORM,
                        WorkDistribution.class);
        RequestClass requestClass =
                new RequestClass(
                        table.text("name", null),
                        table.durationNs("aim", null),
                        0,
                        table.durationNs("deadline", null),
                        table.enumValue("repeats", Repeats.SAFE, Repeats.class).idempotency,
                        table.enumValue("group", DeduplicationScope.ALL, DeduplicationScope.class),
                        table.durationNs("window", "0s"),
                        table.number("worth", 1.0, 0, 1e6),
                        table.number("late_worth", 0.0, 0, 1));
        ClassModel model =
                new ClassModel(
                        requestClass,
                        table.number("share", 1.0, 0, 1e6),
                        distribution,
                        work[0],
                        work[1]);
        table.reportUnknownKeys();
        return model;
    }

    private static ClientModel clients(ScenarioTable table) {
        List<Surge> surges = new ArrayList<>();
        for (ScenarioTable surge : table.tables("surges")) {
            surges.add(
                    new Surge(
                            surge.durationNs("at", null),
                            surge.durationNs("for", null),
                            surge.number("times", null, 0, 1000)));
            surge.reportUnknownKeys();
        }
        double[] timeoutShare = table.numberRange("patience", 1, 0.01, 1);
        ClientModel model =
                new ClientModel(
                        table.number("per_second", null, 0.001, 1e7),
                        surges,
                        table.durationNs("swing_period", "0s"),
                        table.number("swing", 0.0, 0, 1),
                        table.integer("retries", 0, 0, 20),
                        table.durationNs("backoff", "100ms"),
                        table.flag("heeds", true),
                        timeoutShare[0],
                        timeoutShare[1],
                        table.integer("keys", 0, 0, 1_000_000_000));
        table.reportUnknownKeys();
        return model;
    }

    private static NetworkModel network(ScenarioTable table) {
        NetworkModel model =
                new NetworkModel(
                        table.durationNs("near", "200us"),
                        table.durationNs("far", "4ms"),
                        table.number("jitter", 0.2, 0, 10),
                        table.durationNs("open_work", "0s"),
                        table.durationNs("dial", "100ms"),
                        table.durationNs("idle_close", "5s"),
                        table.integer("connections", 1000, 1, 1_000_000));
        table.reportUnknownKeys();
        return model;
    }

    private static FleetModel fleet(ScenarioTable table) {
        ScenarioTable jam = table.table("jam");
        ServerLimits.Jam jamModel =
                new ServerLimits.Jam(
                        jam.number(
                                "waiting_per_core",
                                Double.POSITIVE_INFINITY,
                                0,
                                Double.POSITIVE_INFINITY),
                        jam.durationNs("after", NEVER),
                        jam.number("slower", 1.0, 1, 1000),
                        jam.number("idle", 0.5, 0, 1000),
                        jam.durationNs("calm", "1s"));
        jam.reportUnknownKeys();
        ScenarioTable cold = table.table("cold");
        ServerLimits.Cold coldModel =
                new ServerLimits.Cold(
                        cold.number("share", 1.0, 0.001, 1),
                        cold.durationNs("warm", "0s"),
                        cold.number(
                                "multiple", Double.POSITIVE_INFINITY, 1, Double.POSITIVE_INFINITY),
                        cold.durationNs("window", "1s"));
        cold.reportUnknownKeys();
        int cores = table.integer("cores", 1, 1, 10_000);
        int slots = table.integer("slots", 1_000_000, 1, 1_000_000);
        ServerLimits limits =
                new ServerLimits(
                        1,
                        cores,
                        slots,
                        table.integer("room", 1_000_000, 0, 1_000_000),
                        table.number("crowding", 0.0, 0, 10),
                        jamModel,
                        coldModel,
                        table.flag("cancel_stops", false));
        double[] speed = table.numberRange("speed", 1, 0.001, 1000);
        long[] reportEvery = table.durationRangeNs("report_every", "500ms");
        FleetModel fleet =
                new FleetModel(
                        table.integer("workers", null, 1, 100_000),
                        limits,
                        speed[0],
                        speed[1],
                        table.integer("cells", 0, 0, 100_000),
                        table.flag("reports", true),
                        reportEvery[0],
                        reportEvery[1],
                        table.number("noise", 0.0, 0, 1),
                        table.durationNs("probe_work", "100us"),
                        table.flag("deep_probes", false));
        table.reportUnknownKeys();
        return fleet;
    }

    private static NodeRules rules(ScenarioTable table) {
        NodeRules rules =
                new NodeRules(
                        table.integer("attempts", 3, 1, 100),
                        table.durationNs("answer_slack", "20ms"),
                        table.durationNs("drain_grace", "1s"),
                        table.durationNs("retry_after", "0s"),
                        table.flag("probes", true),
                        table.number("cross_zone_price", 0.0, 0, 1));
        table.reportUnknownKeys();
        return rules;
    }

    private static ScheduledFault scheduledFault(ScenarioTable table, List<String> zones) {
        FaultKind kind = table.enumValue("trouble", null, FaultKind.class);
        String zone = table.text("zone", "");
        if (!zone.isEmpty() && !zones.contains(zone)) {
            table.addError("zone", "one of " + String.join(", ", zones));
        }
        if (kind == FaultKind.ZONE_CUT && zone.isEmpty()) {
            table.addError("zone", "the zone to isolate");
        }
        ScheduledFault fault =
                new ScheduledFault(
                        kind,
                        table.durationNs("at", null),
                        table.durationNs("for", "1s"),
                        table.number("part", 1.0, 0, 1),
                        table.number("size", 1.0, 0, 1e6),
                        table.number("extra", 0.0, 0, 1),
                        zone.isEmpty() ? null : zone);
        table.reportUnknownKeys();
        return fault;
    }
}
