package trailthread.settings;

import java.util.HashMap;
import java.util.Map;
import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.LoadReportSource;
import trailthread.api.RequestClass;
import trailthread.api.Settings;
import trailthread.api.Tenant;
import trailthread.api.WeightMeaning;

/**
 * Turns pairs of a path and a value into {@link Settings}, for the simulator's wire and for a
 * node's configuration. Settings that are not given keep their defaults; unknown paths are skipped.
 */
public final class SettingsParser {
    /** Below this, a double holds every whole number exactly. */
    private static final double MAX_EXACT_DOUBLE = 1L << 53;

    private final Map<String, String> values = new HashMap<>();
    private final String source;

    /**
     * Creates a parser without pairs.
     *
     * @param source where the pairs were read, for error messages
     */
    public SettingsParser(String source) {
        this.source = source;
    }

    /**
     * Adds a pair written as {@code path=value}.
     *
     * @throws SettingException if the pair is not written like this
     */
    public void add(String pair) {
        int separator = pair.indexOf('=');
        if (separator <= 0) {
            throw new SettingException(source, "options", "path=value, got '" + pair + "'");
        }
        add(pair.substring(0, separator), pair.substring(separator + 1));
    }

    /** Adds a pair; a later value of a path replaces an earlier one. */
    public void add(String path, String value) {
        values.put(path, value);
    }

    /**
     * The settings given by the pairs. {@link Settings#check} checks their ranges.
     *
     * @throws SettingException if a value is missing or cannot be read
     */
    public Settings parse() {
        Settings settings = new Settings();
        parseNode(settings);
        parseClasses(settings);
        parseTenants(settings);
        parseGoal(settings);
        parseLimits(settings);
        parseSources(settings);
        parseSafety(settings);
        return settings;
    }

    private void parseNode(Settings settings) {
        settings.tickNs = wholeNumber("tick_ns", settings.tickNs);
        settings.nodeIndex = (int) wholeNumber("me", settings.nodeIndex);
        settings.nodes = (int) wholeNumber("replicas_of_me", settings.nodes);
        settings.zone = values.getOrDefault("zone", settings.zone);
    }

    private void parseClasses(Settings settings) {
        long count = wholeNumber("categories.count", 0);
        for (int i = 0; i < count; i++) {
            settings.classes.add(requestClass("categories." + i + "."));
        }
    }

    private RequestClass requestClass(String prefix) {
        return new RequestClass(
                required(prefix + "name"),
                wholeNumber(prefix + "aim_ns", 0),
                decimal(prefix + "aim_stretch", 0),
                wholeNumber(prefix + "deadline_ns", 0),
                idempotency(prefix + "semantics"),
                deduplicationScope(prefix + "group"),
                wholeNumber(prefix + "window_ns", 0),
                decimal(prefix + "gain", 1),
                decimal(prefix + "late_value", 0));
    }

    private Idempotency idempotency(String path) {
        return switch (values.getOrDefault(path, "fragile")) {
            case "retryable" -> Idempotency.IDEMPOTENT;
            case "dedup" -> Idempotency.IDEMPOTENCY_KEY;
            case "fragile" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw new SettingException(source, path, "retryable, dedup or fragile");
        };
    }

    private DeduplicationScope deduplicationScope(String path) {
        return switch (values.getOrDefault(path, "all")) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw new SettingException(source, path, "all, zone or cell");
        };
    }

    private void parseTenants(Settings settings) {
        long count = wholeNumber("tenants.count", 0);
        for (int i = 0; i < count; i++) {
            String prefix = "tenants." + i + ".";
            settings.tenants.add(
                    new Tenant(
                            required(prefix + "name"),
                            decimal(prefix + "quota_per_s", Double.MAX_VALUE),
                            decimal(prefix + "fraction", 1)));
        }
    }

    private void parseGoal(Settings settings) {
        settings.overQuotaWeight = decimal("over_share_worth", settings.overQuotaWeight);
        settings.weightByWork = "work".equals(values.get("worth_by"));
        settings.goalOverall = decimal("objective_mix.whole", settings.goalOverall);
        settings.goalWorstWindow = decimal("objective_mix.worst_window", settings.goalWorstWindow);
        settings.goalWorstClass = decimal("objective_mix.worst_class", settings.goalWorstClass);
        settings.goalWorstTenant = decimal("objective_mix.worst_tenant", settings.goalWorstTenant);
        settings.crossZonePrice = decimal("deductions.cross_zone", settings.crossZonePrice);
        settings.connectionPrice = decimal("deductions.connection", settings.connectionPrice);
    }

    private void parseLimits(Settings settings) {
        settings.mayCancel = flag("limits.may_cancel", settings.mayCancel);
        settings.mayCheckHealth = flag("limits.probes", settings.mayCheckHealth);
        settings.mayGossip = flag("limits.peers", settings.mayGossip);
        settings.mayHedge = flag("limits.second_copies", settings.mayHedge);
        settings.maxAttempts = (int) wholeNumber("limits.most_tries", settings.maxAttempts);
        settings.retryAfter = flag("limits.retry_after", settings.retryAfter);
        settings.maxRetryAfterNs =
                wholeNumber("limits.max_retry_after_ns", settings.maxRetryAfterNs);
        settings.connectTimeoutNs =
                wholeNumber("limits.dial_timeout_ns", settings.connectTimeoutNs);
    }

    private void parseSources(Settings settings) {
        settings.listIsPolled = "on_request".equals(values.get("discovery"));
        settings.weights = weightMeaning(values.getOrDefault("weights", "silent"));
        settings.reports = loadReportSource(values.getOrDefault("report.how", "silent"));
        settings.keyAffinity = flag("extra.warm_keys", settings.keyAffinity);
    }

    private static WeightMeaning weightMeaning(String word) {
        return switch (word) {
            case "nominal" -> WeightMeaning.NOMINAL;
            case "rough" -> WeightMeaning.ROUGH;
            case "live" -> WeightMeaning.LIVE;
            default -> WeightMeaning.NONE;
        };
    }

    private static LoadReportSource loadReportSource(String word) {
        return switch (word) {
            case "piggyback" -> LoadReportSource.RESPONSES;
            case "pull" -> LoadReportSource.HEALTH_CHECKS;
            default -> LoadReportSource.NONE;
        };
    }

    private void parseSafety(Settings settings) {
        settings.responseSlackNs = wholeNumber("safety.answer_slack_ns", settings.responseSlackNs);
        settings.pollIntervalNs = wholeNumber("safety.ask_every_ns", settings.pollIntervalNs);
        settings.slowStartInitialShare =
                decimal("safety.start_capacity", settings.slowStartInitialShare);
        settings.slowStartNs = wholeNumber("safety.cold_ns", settings.slowStartNs);
        settings.overloadMultiple = decimal("safety.fall_multiple", settings.overloadMultiple);
        settings.overloadWindowNs = wholeNumber("safety.fall_ns", settings.overloadWindowNs);
    }

    private String required(String path) {
        String value = values.get(path);
        if (value == null) {
            throw new SettingException(source, path, "a value");
        }
        return value;
    }

    /**
     * The value of a path as a whole number. Public for settings that only the host needs. Decimals
     * such as {@code 5.0} are accepted, as some writers give every number with decimals.
     *
     * @throws SettingException if the value is not a whole number
     */
    public long wholeNumber(String path, long defaultValue) {
        String value = values.get(path);
        if (value == null) {
            return defaultValue;
        }
        try {
            if (value.indexOf('.') >= 0) {
                double decimal = Double.parseDouble(value);
                if (decimal == Math.rint(decimal) && Math.abs(decimal) < MAX_EXACT_DOUBLE) {
                    return (long) decimal;
                }
            }
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new SettingException(source, path, "a whole number");
        }
    }

    private double decimal(String path, double defaultValue) {
        String value = values.get(path);
        if (value == null) {
            return defaultValue;
        }
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new SettingException(source, path, "a number");
        }
    }

    private boolean flag(String path, boolean defaultValue) {
        String value = values.get(path);
        if (value == null) {
            return defaultValue;
        }
        return switch (value) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default -> throw new SettingException(source, path, "true or false");
        };
    }
}
