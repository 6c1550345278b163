package trailthread.configuration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;
import trailthread.api.DeduplicationScope;
import trailthread.api.LoadReportSource;
import trailthread.api.RequestClass;
import trailthread.api.Tenant;
import trailthread.engine.pool.PoolConfig;
import trailthread.engine.pool.PoolConfig.ClassConfig;
import trailthread.engine.pool.PoolConfig.Limits;
import trailthread.engine.pool.PoolConfig.Part;
import trailthread.engine.pool.PoolConfig.Place;
import trailthread.engine.pool.PoolConfig.Profile;
import trailthread.engine.pool.PoolConfig.Repeats;
import trailthread.engine.pool.PoolConfig.Rules;
import trailthread.engine.pool.PoolConfig.Source;
import trailthread.engine.pool.ServicesConfig;
import trailthread.engine.routes.HostPattern;
import trailthread.engine.routes.PathPattern;
import trailthread.engine.routes.Route;
import trailthread.engine.routes.RouteConflict;
import trailthread.engine.routes.RouteTable;

/** Reads an operator's file to its end, and tells everything that is wrong with it. */
public final class OperatorFileReader {
    private static final long MS = 1_000_000L;
    private static final long S = 1_000 * MS;
    private static final long HOUR = 3_600 * S;

    /** The virtual machine and the listening sockets take some fifty. */
    private static final int LEAST_DESCRIPTORS = 96;

    private static final int MOST_DESCRIPTORS = 1 << 20;
    private static final int OWN_DESCRIPTORS = 48;

    /** Of the others, connections from clients hold so many... */
    private static final double CLIENTS_SHARE = 0.6;

    /**
     * ...and of these, so many may carry a call of a pool: the rest is for connections that carry
     * none.
     */
    private static final double CALLS_SHARE = 0.67;

    /** What a pool is guaranteed that does not say: so many of them have theirs. */
    private static final long UNSAID_PART = 16;

    private static final long MOST_BYTES = 1L << 40;
    private static final String NAME = "[A-Za-z0-9][A-Za-z0-9._-]*";
    private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";

    private final String file;
    private final List<Fault> faults = new ArrayList<>();
    private final Map<String, PoolConfig> pools = new LinkedHashMap<>();

    private OperatorFileReader(String file) {
        this.file = file;
    }

    /** Reads a file. */
    public static OperatorFile.Result read(Path path) {
        try {
            return read(path.toString(), Files.readString(path));
        } catch (IOException e) {
            Fault fault =
                    new Fault(
                            path.toString(),
                            1,
                            1,
                            "",
                            "a file that can be read",
                            e.getClass().getSimpleName());
            return new OperatorFile.Result(null, List.of(fault));
        }
    }

    /** Reads the text of a file of this name. */
    public static OperatorFile.Result read(String name, String text) {
        return new OperatorFileReader(name).readAll(text);
    }

    private OperatorFile.Result readAll(String text) {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            for (TomlParseError error : toml.errors()) {
                faults.add(
                        new Fault(
                                file,
                                error.position().line(),
                                error.position().column(),
                                "",
                                "TOML",
                                error.getMessage().lines().findFirst().orElse("")));
            }
            return result(null);
        }
        Section root =
                new Section(
                        file, faults, toml, null, "", null, "node", "operator", "pools", "routes");
        Section node = section(root, "node", Key.Part.NODE);
        Section operator = section(root, "operator", Key.Part.OPERATOR);
        int descriptors =
                (int) node.whole(Key.NODE_DESCRIPTORS, 1024, LEAST_DESCRIPTORS, MOST_DESCRIPTORS);
        int forClients = (int) (CLIENTS_SHARE * (descriptors - OWN_DESCRIPTORS));
        long calls = Math.max(1, (long) (CALLS_SHARE * forClients));
        long connections = (long) descriptors - OWN_DESCRIPTORS - forClients;
        long bodyBytes = node.size(Key.NODE_BODY_MEMORY, 16 << 20, 64 << 10, MOST_BYTES);
        readPools(root, new long[] {calls, connections, bodyBytes});
        List<Route> routes = readRoutes(root);
        OperatorFile read =
                new OperatorFile(
                        node.text(Key.NODE_NAME, "node"),
                        node.address(Key.NODE_LISTEN, 0),
                        seed(node),
                        descriptors,
                        operator.address(Key.OPERATOR_LISTEN, 0),
                        new ServicesConfig(
                                calls,
                                connections,
                                bodyBytes,
                                List.copyOf(pools.values()),
                                routes));
        return result(read);
    }

    private OperatorFile.Result result(OperatorFile read) {
        faults.sort(Comparator.comparingInt(Fault::line).thenComparingInt(Fault::column));
        return new OperatorFile.Result(faults.isEmpty() ? read : null, List.copyOf(faults));
    }

    private Section section(Section root, String word, Key.Part part) {
        TomlTable table = root.inner(word);
        return new Section(
                file,
                faults,
                table == null ? Toml.parse("") : table,
                table == null ? null : root.positionOf(word),
                word,
                part);
    }

    private static Long seed(Section node) {
        String text = node.text(Key.NODE_SEED, null);
        try {
            return text == null ? null : Long.valueOf(Long.parseUnsignedLong(text, 16));
        } catch (NumberFormatException e) {
            node.fault(Key.NODE_SEED, "1 to 16 hex digits");
            return null;
        }
    }

    // ---- pools
    // -------------------------------------------------------------------------------------

    private void readPools(Section root, long[] totals) {
        TomlTable table = root.inner("pools");
        if (table == null || table.isEmpty()) {
            root.fault("pools", "at least one pool, begun with [pools.NAME]", "none");
            return;
        }
        Map<String, Section> sections = new LinkedHashMap<>();
        Map<String, Section> limits = new LinkedHashMap<>();
        for (String name : table.keySet()) {
            Object value = table.get(List.of(name));
            if (!(value instanceof TomlTable inner) || !name.matches(NAME)) {
                var at = table.inputPositionOf(List.of(name));
                faults.add(
                        new Fault(
                                file,
                                at.line(),
                                at.column(),
                                "pools." + name,
                                "a pool, begun with [pools.NAME], its name of letters, digits, dots and dashes",
                                Section.shown(value)));
                continue;
            }
            Section pool =
                    new Section(
                            file,
                            faults,
                            inner,
                            table.inputPositionOf(List.of(name)),
                            "pools." + name,
                            Key.Part.POOL,
                            "limits",
                            "classes",
                            "tenants");
            TomlTable bounds = pool.inner("limits");
            sections.put(name, pool);
            limits.put(
                    name,
                    new Section(
                            file,
                            faults,
                            bounds == null ? Toml.parse("") : bounds,
                            bounds == null ? null : pool.positionOf("limits"),
                            "pools." + name + ".limits",
                            Key.Part.LIMITS));
        }
        sections.forEach(
                (name, pool) ->
                        pools.put(name, pool(name, pool, limits(limits.get(name), totals))));
        checkGuarantees(sections, totals);
    }

    private static Limits limits(Section section, long[] totals) {
        // Not by the number of pools: one more or less must leave the others as they are.
        Function<Long, Long> even = total -> total / UNSAID_PART;
        long callsMost = section.whole(Key.LIMITS_CALLS_MOST, totals[0], 1, totals[0]);
        long connectionsMost = section.whole(Key.LIMITS_CONNECTIONS_MOST, totals[1], 1, totals[1]);
        long bytesMost = section.size(Key.LIMITS_BODY_MEMORY_MOST, totals[2], 0, totals[2]);
        return new Limits(
                new Part(
                        section.whole(
                                Key.LIMITS_CALLS_GUARANTEED,
                                Math.min(callsMost, even.apply(totals[0])),
                                0,
                                callsMost),
                        callsMost),
                new Part(
                        section.whole(
                                Key.LIMITS_CONNECTIONS_GUARANTEED,
                                Math.min(connectionsMost, even.apply(totals[1])),
                                0,
                                connectionsMost),
                        connectionsMost),
                new Part(
                        section.size(
                                Key.LIMITS_BODY_MEMORY_GUARANTEED,
                                Math.min(bytesMost, even.apply(totals[2])),
                                0,
                                bytesMost),
                        bytesMost),
                section.number(Key.LIMITS_LOOP_WEIGHT, 1, 0.01, 1000));
    }

    private void checkGuarantees(Map<String, Section> sections, long[] totals) {
        long[] sums = new long[totals.length];
        String[] words = {"calls", "connections", "body memory"};
        for (Map.Entry<String, PoolConfig> pool : pools.entrySet()) {
            Limits limits = pool.getValue().limits();
            long[] parts = {
                limits.calls().guaranteed(),
                limits.connections().guaranteed(),
                limits.bodyBytes().guaranteed()
            };
            for (int i = 0; i < sums.length; i++) {
                boolean fitted = sums[i] <= totals[i];
                sums[i] += parts[i];
                if (fitted && sums[i] > totals[i]) {
                    sections.get(pool.getKey())
                            .fault(
                                    "limits",
                                    "guaranteed "
                                            + words[i]
                                            + " of all pools of no more than "
                                            + totals[i],
                                    sums[i] + " with this one");
                }
            }
        }
    }

    private PoolConfig pool(String name, Section pool, Limits limits) {
        Profile profile =
                pool.word(Key.POOL_PROFILE, "plain", "plain", "platform").equals("plain")
                        ? Profile.PLAIN
                        : Profile.PLATFORM;
        int nodes = (int) pool.whole(Key.POOL_NODES, 1, 1, 100_000);
        LoadReportSource reports =
                switch (pool.word(Key.POOL_REPORTS, "none", "none", "answers", "probes")) {
                    case "answers" -> LoadReportSource.ANSWERS;
                    case "probes" -> LoadReportSource.PROBES;
                    default -> LoadReportSource.NONE;
                };
        Rules rules =
                new Rules(
                        (int) pool.whole(Key.POOL_ATTEMPTS, 3, 1, 20),
                        pool.duration(Key.POOL_CONNECT_WITHIN, 200 * MS, MS, 60 * S),
                        pool.duration(Key.POOL_IDLE_CLOSE, 5 * S, 10 * MS, HOUR),
                        pool.duration(Key.POOL_DRAIN_GRACE, S, 0, HOUR),
                        pool.duration(Key.POOL_ANSWER_SLACK, 10 * MS, 0, 10 * S),
                        pool.duration(Key.POOL_RETRY_AFTER, 2 * S, 0, HOUR),
                        reports,
                        pool.flag(Key.POOL_PROBES, false),
                        pool.number(Key.POOL_CROSS_ZONE_PRICE, 0, 0, 1),
                        pool.number(Key.POOL_COLD_SHARE, 0.1, 0.001, 1),
                        pool.duration(Key.POOL_COLD_FOR, 30 * S, 0, HOUR));
        return new PoolConfig(
                name,
                profile,
                source(pool),
                new Place(
                        pool.text(Key.POOL_ZONE, ""),
                        (int) pool.whole(Key.POOL_NUMBER, 0, 0, nodes - 1),
                        nodes),
                classes(pool, profile),
                tenants(pool),
                rules,
                limits);
    }

    private static Source source(Section pool) {
        int given = 0;
        for (Key key : new Key[] {Key.POOL_ENDPOINTS, Key.POOL_FILE, Key.POOL_ROSTER}) {
            given += pool.has(key) ? 1 : 0;
        }
        if (given != 1) {
            pool.fault(
                    null,
                    "one of workers, file and roster",
                    given == 0 ? "none" : given + " of them");
        }
        if (pool.has(Key.POOL_ROSTER)) {
            return new Source.Roster(pool.address(Key.POOL_ROSTER, 1));
        }
        if (pool.has(Key.POOL_FILE)) {
            return new Source.ListFile(pool.text(Key.POOL_FILE, ""));
        }
        List<String> endpoints =
                pool.list(Key.POOL_ENDPOINTS, text -> Section.checkedAddress(text, 1));
        if (new HashSet<>(endpoints).size() < endpoints.size()) {
            pool.fault(Key.POOL_ENDPOINTS, "each worker once");
        }
        return new Source.Fixed(endpoints);
    }

    private static List<ClassConfig> classes(Section pool, Profile profile) {
        long aim = pool.duration(Key.POOL_AIM, 500 * MS, MS, HOUR);
        long deadline = pool.duration(Key.POOL_DEADLINE, 5 * S, MS, HOUR);
        List<ClassConfig> classes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Section section : pool.sections("classes", Key.Part.CLASS)) {
            String name = section.text(Key.CLASS_NAME, "unnamed");
            Repeats repeats =
                    Repeats.valueOf(
                            section.word(
                                            Key.CLASS_REPEATS,
                                            "unsafe",
                                            "safe",
                                            "idempotent",
                                            "keyed",
                                            "unsafe")
                                    .toUpperCase(Locale.ROOT));
            long ownDeadline = section.duration(Key.CLASS_DEADLINE, deadline, MS, HOUR);
            DeduplicationScope group =
                    DeduplicationScope.valueOf(
                            section.word(Key.CLASS_GROUP, "all", "all", "zone", "cell")
                                    .toUpperCase(Locale.ROOT));
            if (!name.matches(NAME)) {
                section.fault(Key.CLASS_NAME, "letters, digits, dots and dashes");
            }
            if (!names.add(name)) {
                section.fault(Key.CLASS_NAME, "a name that no other class of the pool has");
            }
            if (profile == Profile.PLATFORM && repeats == Repeats.IDEMPOTENT) {
                section.fault(
                        Key.CLASS_REPEATS,
                        "safe, keyed or unsafe, as the platform knows no others");
            }
            classes.add(
                    new ClassConfig(
                            new RequestClass(
                                    name,
                                    Math.min(
                                            ownDeadline,
                                            section.duration(Key.CLASS_AIM, aim, MS, HOUR)),
                                    0,
                                    ownDeadline,
                                    ClassConfig.idempotency(repeats),
                                    group,
                                    section.duration(Key.CLASS_WINDOW, ownDeadline, 0, HOUR),
                                    section.number(Key.CLASS_WORTH, 1, 0, 1e9),
                                    section.number(Key.CLASS_LATE_WORTH, 0.5, 0, 1)),
                            repeats));
        }
        if (profile == Profile.PLATFORM) {
            if (classes.isEmpty()) {
                pool.fault("classes", "at least one class, begun with [[...classes]]", "none");
            }
            return classes;
        }
        // Whatever a plain client sends has a class.
        int written = classes.size();
        for (Repeats repeats : Repeats.values()) {
            String name = repeats.name().toLowerCase(Locale.ROOT);
            if (classes.stream().noneMatch(c -> c.repeats() == repeats) && names.add(name)) {
                classes.add(
                        new ClassConfig(
                                new RequestClass(
                                        name,
                                        Math.min(aim, deadline),
                                        0,
                                        deadline,
                                        ClassConfig.idempotency(repeats),
                                        DeduplicationScope.ALL,
                                        deadline,
                                        1,
                                        0.5),
                                repeats));
            }
        }
        if (classes.stream().noneMatch(c -> c.repeats() == Repeats.UNSAFE)) {
            pool.fault(
                    "classes",
                    "a class for calls that may not be repeated: the name unsafe is taken by another",
                    written + " classes");
        }
        return classes;
    }

    private static List<Tenant> tenants(Section pool) {
        List<Tenant> tenants = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Section section : pool.sections("tenants", Key.Part.TENANT)) {
            String name = section.text(Key.TENANT_NAME, "unnamed");
            if (!names.add(name)) {
                section.fault(Key.TENANT_NAME, "a name that no other tenant of the pool has");
            }
            tenants.add(new Tenant(name, section.number(Key.TENANT_PER_SECOND, 1, 0.001, 1e9), 1));
        }
        return tenants;
    }

    // ---- routes
    // ------------------------------------------------------------------------------------

    private List<Route> readRoutes(Section root) {
        List<Section> sections = root.sections("routes", Key.Part.ROUTE);
        if (sections.isEmpty()) {
            root.fault("routes", "at least one route, begun with [[routes]]", "none");
        }
        Map<String, Section> byName = new HashMap<>();
        List<Route> routes = new ArrayList<>();
        for (Section section : sections) {
            int before = faults.size();
            Route route = route(section);
            if (byName.putIfAbsent(route.name(), section) != null) {
                section.fault(Key.ROUTE_NAME, "a name that no other route has");
            }
            if (faults.size() == before) {
                routes.add(route);
            }
        }
        for (RouteConflict conflict : new RouteTable(routes).conflicts()) {
            byName.get(conflict.second().name())
                    .fault(null, "no two routes that tie", conflict.toString());
        }
        return routes;
    }

    private Route route(Section section) {
        String name = section.text(Key.ROUTE_NAME, "unnamed");
        if (!name.matches(NAME)) {
            section.fault(Key.ROUTE_NAME, "letters, digits, dots and dashes");
        }
        Map<String, String> headers = new LinkedHashMap<>();
        section.texts(Key.ROUTE_HEADERS)
                .forEach(
                        (header, value) -> {
                            if (!header.matches(TOKEN)) {
                                section.fault(Key.ROUTE_HEADERS, "names of headers");
                            }
                            headers.put(header.toLowerCase(Locale.ROOT), value);
                        });
        PoolConfig pool = poolOf(section);
        return new Route(
                name,
                parsed(section, Key.ROUTE_HOST, "*", HostPattern::parse),
                parsed(section, Key.ROUTE_PATH, "/**", PathPattern::parse),
                new TreeSet<>(section.list(Key.ROUTE_METHODS, OperatorFileReader::method)),
                headers,
                classOf(section, Key.ROUTE_CLASS, pool),
                pool == null ? "" : pool.name(),
                classOf(section, Key.ROUTE_ASSIGNS, pool));
    }

    private PoolConfig poolOf(Section section) {
        String name = section.text(Key.ROUTE_POOL, null);
        PoolConfig pool = pools.get(name);
        if (name != null && pool == null) {
            String meant = Nearest.of(name, pools.keySet());
            section.fault(
                    Key.ROUTE_POOL,
                    meant == null
                            ? "one of " + String.join(", ", pools.keySet())
                            : "the name of a pool, such as " + meant);
        }
        return pool;
    }

    private static String classOf(Section section, Key key, PoolConfig pool) {
        String name = section.text(key, null);
        if (name == null || pool == null) {
            return name;
        }
        List<String> known = pool.classes().stream().map(c -> c.rules().name()).toList();
        if (!known.contains(name)) {
            section.fault(key, "a class of pool " + pool.name() + ": " + String.join(", ", known));
        }
        if (key == Key.ROUTE_ASSIGNS && pool.profile() == Profile.PLATFORM) {
            section.fault(key, "nothing, as the platform's clients name their classes");
        }
        return name;
    }

    private static String method(String text) {
        if (!text.matches(TOKEN)) {
            throw new IllegalArgumentException("no method");
        }
        return text;
    }

    private static <T> T parsed(
            Section section, Key key, String otherwise, Function<String, T> parser) {
        try {
            return parser.apply(section.text(key, otherwise));
        } catch (IllegalArgumentException e) {
            section.fault(key, e.getMessage());
            return parser.apply(otherwise);
        }
    }
}
