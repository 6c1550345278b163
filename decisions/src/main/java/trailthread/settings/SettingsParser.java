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
 * Turns path=value pairs into {@link Settings}, for the simulator's wire and for a node's
 * configuration; unknown paths are skipped.
 */
public final class SettingsParser {
    /** Below this, a double holds every whole number. */
    private static final double MOST_WHOLE = 1L << 53;

    private final Map<String, String> values = new HashMap<>();
    private final String where;

    /** Makes a parser whose complaints begin with where the pairs stand. */
    public SettingsParser(String where) {
        this.where = where;
    }

    /** Adds a pair written as {@code path=value}. */
    public void add(String pair) {
        int at = pair.indexOf('=');
        if (at <= 0) {
            throw new WireException(where, "options", "path=value, got '" + pair + "'");
        }
        add(pair.substring(0, at), pair.substring(at + 1));
    }

    /** Takes one pair. */
    public void add(String path, String value) {
        values.put(path, value);
    }

    /** The settings that the pairs make. */
    public Settings parse() {
        Settings s = new Settings();
        s.tickNs = whole("tick_ns", s.tickNs);
        s.me = (int) whole("me", s.me);
        s.nodes = (int) whole("replicas_of_me", s.nodes);
        s.zone = values.getOrDefault("zone", s.zone);
        for (int i = 0; i < whole("categories.count", 0); i++) {
            s.classes.add(requestClass("categories." + i + "."));
        }
        for (int i = 0; i < whole("tenants.count", 0); i++) {
            String at = "tenants." + i + ".";
            s.tenants.add(
                    new Tenant(
                            required(at + "name"),
                            decimal(at + "quota_per_s", Double.MAX_VALUE),
                            decimal(at + "fraction", 1)));
        }
        s.overQuotaWeight = decimal("over_share_worth", s.overQuotaWeight);
        s.weightByWork = "work".equals(values.get("worth_by"));
        s.goalWhole = decimal("objective_mix.whole", s.goalWhole);
        s.goalWorstWindow = decimal("objective_mix.worst_window", s.goalWorstWindow);
        s.goalWorstClass = decimal("objective_mix.worst_class", s.goalWorstClass);
        s.goalWorstTenant = decimal("objective_mix.worst_tenant", s.goalWorstTenant);
        s.crossZonePrice = decimal("deductions.cross_zone", s.crossZonePrice);
        s.connectionPrice = decimal("deductions.connection", s.connectionPrice);
        s.mayCancel = flag("limits.may_cancel", s.mayCancel);
        s.mayCheckHealth = flag("limits.probes", s.mayCheckHealth);
        s.mayGossip = flag("limits.peers", s.mayGossip);
        s.mayHedge = flag("limits.second_copies", s.mayHedge);
        s.maxAttempts = (int) whole("limits.most_tries", s.maxAttempts);
        s.retryAfter = flag("limits.retry_after", s.retryAfter);
        s.maxRetryAfterNs = whole("limits.max_retry_after_ns", s.maxRetryAfterNs);
        s.connectTimeoutNs = whole("limits.dial_timeout_ns", s.connectTimeoutNs);
        s.listIsPolled = "on_request".equals(values.get("discovery"));
        s.weights = weights(values.getOrDefault("weights", "silent"));
        s.reports = reports(values.getOrDefault("report.how", "silent"));
        s.keyAffinity = flag("extra.warm_keys", s.keyAffinity);
        s.responseSlackNs = whole("safety.answer_slack_ns", s.responseSlackNs);
        s.pollIntervalNs = whole("safety.ask_every_ns", s.pollIntervalNs);
        s.slowStartInitialShare = decimal("safety.start_capacity", s.slowStartInitialShare);
        s.slowStartNs = whole("safety.cold_ns", s.slowStartNs);
        s.overloadMultiple = decimal("safety.fall_multiple", s.overloadMultiple);
        s.overloadWindowNs = whole("safety.fall_ns", s.overloadWindowNs);
        return s;
    }

    private RequestClass requestClass(String at) {
        return new RequestClass(
                required(at + "name"),
                whole(at + "aim_ns", 0),
                decimal(at + "aim_stretch", 0),
                whole(at + "deadline_ns", 0),
                idempotency(at + "semantics"),
                group(at + "group"),
                whole(at + "window_ns", 0),
                decimal(at + "gain", 1),
                decimal(at + "late_value", 0));
    }

    private Idempotency idempotency(String path) {
        return switch (values.getOrDefault(path, "fragile")) {
            case "retryable" -> Idempotency.IDEMPOTENT;
            case "dedup" -> Idempotency.IDEMPOTENCY_KEY;
            case "fragile" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw new WireException(where, path, "retryable, dedup or fragile");
        };
    }

    private DeduplicationScope group(String path) {
        return switch (values.getOrDefault(path, "all")) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw new WireException(where, path, "all, zone or cell");
        };
    }

    private static WeightMeaning weights(String word) {
        return switch (word) {
            case "nominal" -> WeightMeaning.NOMINAL;
            case "rough" -> WeightMeaning.ROUGH;
            case "live" -> WeightMeaning.LIVE;
            default -> WeightMeaning.NONE;
        };
    }

    private static LoadReportSource reports(String word) {
        return switch (word) {
            case "piggyback" -> LoadReportSource.ANSWERS;
            case "pull" -> LoadReportSource.PROBES;
            default -> LoadReportSource.NONE;
        };
    }

    private String required(String path) {
        String value = values.get(path);
        if (value == null) {
            throw new WireException(where, path, "a value");
        }
        return value;
    }

    /** A whole number of the pairs, for settings that only the host needs. */
    public long whole(String path, long otherwise) {
        String value = values.get(path);
        try {
            if (value != null && value.indexOf('.') >= 0) {
                double told = Double.parseDouble(value);
                if (told == Math.rint(told) && Math.abs(told) < MOST_WHOLE) {
                    return (long) told; // some writers tell every number with decimals
                }
            }
            return value == null ? otherwise : Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new WireException(where, path, "a whole number");
        }
    }

    private double decimal(String path, double otherwise) {
        String value = values.get(path);
        try {
            return value == null ? otherwise : Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new WireException(where, path, "a number");
        }
    }

    private boolean flag(String path, boolean otherwise) {
        String value = values.get(path);
        if (value == null) {
            return otherwise;
        }
        return switch (value) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default -> throw new WireException(where, path, "true or false");
        };
    }
}
