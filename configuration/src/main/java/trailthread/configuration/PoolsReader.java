package trailthread.configuration;

import static trailthread.configuration.Units.HOUR;
import static trailthread.configuration.Units.MS;
import static trailthread.configuration.Units.SECOND;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tomlj.TomlTable;
import trailthread.api.LoadReportSource;
import trailthread.api.Tenant;
import trailthread.engine.pool.PoolConfig;
import trailthread.engine.pool.PoolConfig.AttemptPolicy;
import trailthread.engine.pool.PoolConfig.NodePlacement;
import trailthread.engine.pool.PoolConfig.Profile;
import trailthread.engine.pool.PoolConfig.Source;

/** Reads the pools of an operator's file. */
final class PoolsReader {
    private static final int MAX_NODES = 100_000;
    private static final int MAX_ATTEMPTS = 20;
    private static final double MIN_TENANT_RATE = 0.001;
    private static final double MAX_TENANT_RATE = 1e9;

    private static final List<AcceptedWord<Profile>> PROFILES =
            List.of(
                    new AcceptedWord<>("plain", Profile.PLAIN),
                    new AcceptedWord<>("platform", Profile.PLATFORM));

    private static final List<AcceptedWord<LoadReportSource>> REPORT_SOURCES =
            List.of(
                    new AcceptedWord<>("none", LoadReportSource.NONE),
                    new AcceptedWord<>("answers", LoadReportSource.RESPONSES),
                    new AcceptedWord<>("probes", LoadReportSource.HEALTH_CHECKS));

    private final FaultCollector faults;
    private final LimitsReader limits;

    /**
     * Creates a reader.
     *
     * @param totals of the resources that the pools share
     */
    PoolsReader(FaultCollector faults, ResourceTotals totals) {
        this.faults = faults;
        limits = new LimitsReader(totals);
    }

    /** Reads all pools, by their names in the order of the file. */
    Map<String, PoolConfig> read(Section root) {
        TomlTable table = root.innerTable("pools");
        if (table == null || table.isEmpty()) {
            root.reportFault("pools", "at least one pool, begun with [pools.NAME]", "none");
            return new LinkedHashMap<>(); // routes look up null in it, which Map.of() rejects
        }
        Map<String, Section> sections = poolSections(table);
        Map<String, Section> limitSections = new LinkedHashMap<>();
        sections.forEach(
                (name, section) ->
                        limitSections.put(
                                name, section.innerSection("limits", Key.SectionType.LIMITS)));
        Map<String, PoolConfig> pools = new LinkedHashMap<>();
        sections.forEach(
                (name, section) ->
                        pools.put(
                                name,
                                readPool(name, section, limits.read(limitSections.get(name)))));
        limits.checkGuarantees(pools.values(), sections);
        return pools;
    }

    private Map<String, Section> poolSections(TomlTable table) {
        Map<String, Section> sections = new LinkedHashMap<>();
        for (String name : table.keySet()) {
            Object value = table.get(List.of(name));
            var position = table.inputPositionOf(List.of(name));
            String path = "pools." + name;
            if (value instanceof TomlTable inner && NameSyntax.isName(name)) {
                sections.put(
                        name,
                        new Section(
                                faults,
                                inner,
                                position,
                                path,
                                Key.SectionType.POOL,
                                "limits",
                                "classes",
                                "tenants"));
            } else {
                faults.add(
                        position,
                        path,
                        "a pool, begun with [pools.NAME], its name of letters, digits, dots and"
                                + " dashes",
                        Section.describe(value));
            }
        }
        return sections;
    }

    private static PoolConfig readPool(String name, Section pool, PoolConfig.Limits limits) {
        Profile profile = pool.oneOf(Key.POOL_PROFILE, Profile.PLAIN, PROFILES);
        int nodes = (int) pool.integer(Key.POOL_NODES, 1, 1, MAX_NODES);
        AttemptPolicy attemptPolicy = readAttemptPolicy(pool);
        return new PoolConfig(
                name,
                profile,
                readSource(pool),
                new NodePlacement(
                        pool.text(Key.POOL_ZONE, ""),
                        (int) pool.integer(Key.POOL_NUMBER, 0, 0, nodes - 1),
                        nodes),
                new ClassesReader(pool, profile).read(),
                readTenants(pool),
                attemptPolicy,
                limits);
    }

    private static AttemptPolicy readAttemptPolicy(Section pool) {
        LoadReportSource reports =
                pool.oneOf(Key.POOL_REPORTS, LoadReportSource.NONE, REPORT_SOURCES);
        return new AttemptPolicy(
                (int) pool.integer(Key.POOL_ATTEMPTS, 3, 1, MAX_ATTEMPTS),
                pool.duration(Key.POOL_CONNECT_WITHIN, 200 * MS, MS, 60 * SECOND),
                pool.duration(Key.POOL_IDLE_CLOSE, 5 * SECOND, 10 * MS, HOUR),
                pool.duration(Key.POOL_DRAIN_GRACE, SECOND, 0, HOUR),
                pool.duration(Key.POOL_RESPONSE_SLACK, 10 * MS, 0, 10 * SECOND),
                pool.duration(Key.POOL_RETRY_AFTER, 2 * SECOND, 0, HOUR),
                reports,
                pool.bool(Key.POOL_HEALTH_CHECKS, false),
                pool.number(Key.POOL_CROSS_ZONE_PRICE, 0, 0, 1),
                pool.number(Key.POOL_SLOW_START_SHARE, 0.1, 0.001, 1),
                pool.duration(Key.POOL_SLOW_START, 30 * SECOND, 0, HOUR));
    }

    private static Source readSource(Section pool) {
        List<Key> keys = List.of(Key.POOL_ENDPOINTS, Key.POOL_FILE, Key.POOL_DISCOVERY);
        long givenCount = keys.stream().filter(pool::isGiven).count();
        if (givenCount != 1) {
            String found = givenCount == 0 ? "none" : givenCount + " of them";
            pool.reportFault(null, "one of workers, file and roster", found);
        }
        if (pool.isGiven(Key.POOL_DISCOVERY)) {
            return new Source.Discovery(pool.address(Key.POOL_DISCOVERY, 1));
        }
        if (pool.isGiven(Key.POOL_FILE)) {
            return new Source.ListFile(pool.text(Key.POOL_FILE, ""));
        }
        List<String> endpoints =
                pool.textList(Key.POOL_ENDPOINTS, text -> Section.requireAddress(text, 1));
        if (new HashSet<>(endpoints).size() < endpoints.size()) {
            pool.reportFault(Key.POOL_ENDPOINTS, "each worker once");
        }
        return new Source.Fixed(endpoints);
    }

    private static List<Tenant> readTenants(Section pool) {
        Set<String> names = new HashSet<>();
        return pool.sections("tenants", Key.SectionType.TENANT).stream()
                .map(section -> readTenant(section, names))
                .toList();
    }

    private static Tenant readTenant(Section section, Set<String> names) {
        String name = section.text(Key.TENANT_NAME, NameSyntax.PLACEHOLDER);
        if (!names.add(name)) {
            section.reportFault(Key.TENANT_NAME, "a name that no other tenant of the pool has");
        }
        double perSecond =
                section.number(Key.TENANT_PER_SECOND, 1, MIN_TENANT_RATE, MAX_TENANT_RATE);
        return new Tenant(name, perSecond, 1);
    }
}
