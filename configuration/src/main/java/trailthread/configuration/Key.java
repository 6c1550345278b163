package trailthread.configuration;

/**
 * The keys of the operator's file. docs/configuration.md has a row for each; a test compares the
 * two.
 */
public enum Key {
    NODE_NAME(Part.NODE, "name", "text", "node"),
    NODE_LISTEN(Part.NODE, "listen", "address:port", "required"),
    NODE_SEED(Part.NODE, "seed", "hex digits", "by chance"),
    NODE_DESCRIPTORS(Part.NODE, "descriptors", "whole number", "1024"),
    NODE_BODY_MEMORY(Part.NODE, "body_memory", "size", "16MiB"),
    OPERATOR_LISTEN(Part.OPERATOR, "listen", "address:port", "off"),
    POOL_PROFILE(Part.POOL, "profile", "plain or platform", "plain"),
    POOL_ENDPOINTS(Part.POOL, "workers", "list of address:port", "one of three"),
    POOL_FILE(Part.POOL, "file", "path", "one of three"),
    POOL_DISCOVERY(Part.POOL, "roster", "address:port", "one of three"),
    POOL_ZONE(Part.POOL, "zone", "text", "none"),
    POOL_NODES(Part.POOL, "nodes", "whole number", "1"),
    POOL_NUMBER(Part.POOL, "number", "whole number", "0"),
    POOL_LATENCY_OBJECTIVE(Part.POOL, "aim", "duration", "500ms"),
    POOL_DEADLINE(Part.POOL, "deadline", "duration", "5s"),
    POOL_ATTEMPTS(Part.POOL, "attempts", "whole number", "3"),
    POOL_CONNECT_WITHIN(Part.POOL, "connect_within", "duration", "200ms"),
    POOL_IDLE_CLOSE(Part.POOL, "idle_close", "duration", "5s"),
    POOL_DRAIN_GRACE(Part.POOL, "drain_grace", "duration", "1s"),
    POOL_RESPONSE_SLACK(Part.POOL, "answer_slack", "duration", "10ms"),
    POOL_RETRY_AFTER(Part.POOL, "retry_after", "duration", "2s"),
    POOL_REPORTS(Part.POOL, "reports", "none, answers or probes", "none"),
    POOL_HEALTH_CHECKS(Part.POOL, "probes", "true or false", "false"),
    POOL_CROSS_ZONE_PRICE(Part.POOL, "cross_zone_price", "number", "0"),
    POOL_SLOW_START_SHARE(Part.POOL, "cold_share", "number", "0.1"),
    POOL_SLOW_START(Part.POOL, "cold_for", "duration", "30s"),
    LIMITS_REQUESTS_GUARANTEED(Part.LIMITS, "calls_guaranteed", "whole number", "a sixteenth"),
    LIMITS_REQUESTS_MOST(Part.LIMITS, "calls_most", "whole number", "all"),
    LIMITS_CONNECTIONS_GUARANTEED(
            Part.LIMITS, "connections_guaranteed", "whole number", "a sixteenth"),
    LIMITS_CONNECTIONS_MOST(Part.LIMITS, "connections_most", "whole number", "all"),
    LIMITS_BODY_MEMORY_GUARANTEED(Part.LIMITS, "body_memory_guaranteed", "size", "a sixteenth"),
    LIMITS_BODY_MEMORY_MOST(Part.LIMITS, "body_memory_most", "size", "all"),
    LIMITS_LOOP_WEIGHT(Part.LIMITS, "loop_weight", "number", "1"),
    CLASS_NAME(Part.CLASS, "name", "text", "required"),
    CLASS_REPEATS(Part.CLASS, "repeats", "safe, idempotent, keyed or unsafe", "unsafe"),
    CLASS_LATENCY_OBJECTIVE(Part.CLASS, "aim", "duration", "the pool's"),
    CLASS_DEADLINE(Part.CLASS, "deadline", "duration", "the pool's"),
    CLASS_DEDUPLICATION_SCOPE(Part.CLASS, "group", "all, zone or cell", "all"),
    CLASS_DEDUPLICATION_WINDOW(Part.CLASS, "window", "duration", "the deadline"),
    CLASS_PRIORITY_WEIGHT(Part.CLASS, "worth", "number", "1"),
    CLASS_LATE_WEIGHT_SHARE(Part.CLASS, "late_worth", "number", "0.5"),
    TENANT_NAME(Part.TENANT, "name", "text", "required"),
    TENANT_PER_SECOND(Part.TENANT, "per_second", "number", "required"),
    ROUTE_NAME(Part.ROUTE, "name", "text", "required"),
    ROUTE_HOST(Part.ROUTE, "host", "a host, *.domain or *", "*"),
    ROUTE_PATH(Part.ROUTE, "path", "a path, {name} for a segment, ** at the end", "/**"),
    ROUTE_METHODS(Part.ROUTE, "methods", "list of methods", "any"),
    ROUTE_HEADERS(Part.ROUTE, "headers", "table of texts", "none"),
    ROUTE_CLASS(Part.ROUTE, "class", "text", "any"),
    ROUTE_POOL(Part.ROUTE, "pool", "the name of a pool", "required"),
    ROUTE_ASSIGNS(Part.ROUTE, "assigns", "a class of the pool", "none");

    /** The section that a key belongs to. */
    public enum Part {
        NODE("node"),
        OPERATOR("operator"),
        POOL("pools.NAME"),
        LIMITS("pools.NAME.limits"),
        CLASS("pools.NAME.classes"),
        TENANT("pools.NAME.tenants"),
        ROUTE("routes");

        private final String path;

        Part(String path) {
            this.path = path;
        }

        /** The path in the file; NAME stands for a pool's name. */
        public String path() {
            return path;
        }
    }

    private static final String REQUIRED = "required";

    private final Part part;
    private final String word;
    private final String type;
    private final String otherwise;

    Key(Part part, String word, String type, String otherwise) {
        this.part = part;
        this.word = word;
        this.type = type;
        this.otherwise = otherwise;
    }

    /** The section it belongs to. */
    public Part part() {
        return part;
    }

    /** The key as it is written in the file. */
    public String word() {
        return word;
    }

    /** What values it takes, for messages and documentation. */
    public String type() {
        return type;
    }

    /** Its default, for documentation. */
    public String otherwise() {
        return otherwise;
    }

    /** Whether it must be given. */
    public boolean isRequired() {
        return otherwise.equals(REQUIRED);
    }
}
