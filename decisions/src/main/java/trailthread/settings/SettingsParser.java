package trailthread.settings;

import java.util.HashMap;
import java.util.Map;
import trailthread.BalancerApi.Group;
import trailthread.BalancerApi.Reports;
import trailthread.BalancerApi.RequestClass;
import trailthread.BalancerApi.Semantics;
import trailthread.BalancerApi.Settings;
import trailthread.BalancerApi.Tenant;
import trailthread.BalancerApi.Weights;

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
        s.overShareWorth = decimal("over_share_worth", s.overShareWorth);
        s.worthByWork = "work".equals(values.get("worth_by"));
        s.goalWhole = decimal("objective_mix.whole", s.goalWhole);
        s.goalWorstWindow = decimal("objective_mix.worst_window", s.goalWorstWindow);
        s.goalWorstClass = decimal("objective_mix.worst_class", s.goalWorstClass);
        s.goalWorstTenant = decimal("objective_mix.worst_tenant", s.goalWorstTenant);
        s.priceCrossZone = decimal("deductions.cross_zone", s.priceCrossZone);
        s.priceConnection = decimal("deductions.connection", s.priceConnection);
        s.mayCancel = flag("limits.may_cancel", s.mayCancel);
        s.mayProbe = flag("limits.probes", s.mayProbe);
        s.mayTellPeers = flag("limits.peers", s.mayTellPeers);
        s.secondCopies = flag("limits.second_copies", s.secondCopies);
        s.maxAttempts = (int) whole("limits.most_tries", s.maxAttempts);
        s.retryAfter = flag("limits.retry_after", s.retryAfter);
        s.maxRetryAfterNs = whole("limits.max_retry_after_ns", s.maxRetryAfterNs);
        s.connectTimeoutNs = whole("limits.dial_timeout_ns", s.connectTimeoutNs);
        s.listOnRequest = "on_request".equals(values.get("discovery"));
        s.weights = weights(values.getOrDefault("weights", "silent"));
        s.reports = reports(values.getOrDefault("report.how", "silent"));
        s.warmKeys = flag("extra.warm_keys", s.warmKeys);
        s.answerSlackNs = whole("safety.answer_slack_ns", s.answerSlackNs);
        s.askEveryNs = whole("safety.ask_every_ns", s.askEveryNs);
        s.coldShare = decimal("safety.start_capacity", s.coldShare);
        s.coldNs = whole("safety.cold_ns", s.coldNs);
        s.fallMultiple = decimal("safety.fall_multiple", s.fallMultiple);
        s.fallNs = whole("safety.fall_ns", s.fallNs);
        return s;
    }

    private RequestClass requestClass(String at) {
        return new RequestClass(
                required(at + "name"),
                whole(at + "aim_ns", 0),
                decimal(at + "aim_stretch", 0),
                whole(at + "deadline_ns", 0),
                semantics(at + "semantics"),
                group(at + "group"),
                whole(at + "window_ns", 0),
                decimal(at + "gain", 1),
                decimal(at + "late_value", 0));
    }

    private Semantics semantics(String path) {
        return switch (values.getOrDefault(path, "fragile")) {
            case "retryable" -> Semantics.SAFE;
            case "dedup" -> Semantics.KEYED;
            case "fragile" -> Semantics.UNSAFE;
            default -> throw new WireException(where, path, "retryable, dedup or fragile");
        };
    }

    private Group group(String path) {
        return switch (values.getOrDefault(path, "all")) {
            case "all" -> Group.ALL;
            case "zone" -> Group.ZONE;
            case "cell" -> Group.CELL;
            default -> throw new WireException(where, path, "all, zone or cell");
        };
    }

    private static Weights weights(String word) {
        return switch (word) {
            case "nominal" -> Weights.NOMINAL;
            case "rough" -> Weights.ROUGH;
            case "live" -> Weights.LIVE;
            default -> Weights.NONE;
        };
    }

    private static Reports reports(String word) {
        return switch (word) {
            case "piggyback" -> Reports.ANSWERS;
            case "pull" -> Reports.PROBES;
            default -> Reports.NONE;
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
