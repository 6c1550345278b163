package trailthread.configuration;

/**
 * The keys of the operator's file. docs/configuration.md has a row for each key; a test compares
 * the rows with these constants.
 */
public enum Key {
    NODE_NAME(SectionType.NODE, "name", "text", "node"),
    NODE_LISTEN(SectionType.NODE, "listen", "address:port", "required"),
    NODE_SEED(SectionType.NODE, "seed", "hex digits", "by chance"),
    NODE_DESCRIPTORS(SectionType.NODE, "descriptors", "whole number", "1024"),
    NODE_BODY_MEMORY(SectionType.NODE, "body_memory", "size", "16MiB"),
    OPERATOR_LISTEN(SectionType.OPERATOR, "listen", "address:port", "off"),
    POOL_PROFILE(SectionType.POOL, "profile", "plain or platform", "plain"),
    POOL_ENDPOINTS(SectionType.POOL, "workers", "list of address:port", "one of three"),
    POOL_FILE(SectionType.POOL, "file", "path", "one of three"),
    POOL_DISCOVERY(SectionType.POOL, "roster", "address:port", "one of three"),
    POOL_ZONE(SectionType.POOL, "zone", "text", "none"),
    POOL_NODES(SectionType.POOL, "nodes", "whole number", "1"),
    POOL_NUMBER(SectionType.POOL, "number", "whole number", "0"),
    POOL_LATENCY_OBJECTIVE(SectionType.POOL, "aim", "duration", "500ms"),
    POOL_DEADLINE(SectionType.POOL, "deadline", "duration", "5s"),
    POOL_ATTEMPTS(SectionType.POOL, "attempts", "whole number", "3"),
    POOL_CONNECT_WITHIN(SectionType.POOL, "connect_within", "duration", "200ms"),
    POOL_IDLE_CLOSE(SectionType.POOL, "idle_close", "duration", "5s"),
    POOL_DRAIN_GRACE(SectionType.POOL, "drain_grace", "duration", "1s"),
    POOL_RESPONSE_SLACK(SectionType.POOL, "answer_slack", "duration", "10ms"),
    POOL_RETRY_AFTER(SectionType.POOL, "retry_after", "duration", "2s"),
    POOL_REPORTS(SectionType.POOL, "reports", "none, answers or probes", "none"),
    POOL_HEALTH_CHECKS(SectionType.POOL, "probes", "true or false", "false"),
    POOL_CROSS_ZONE_PRICE(SectionType.POOL, "cross_zone_price", "number", "0"),
    POOL_SLOW_START_SHARE(SectionType.POOL, "cold_share", "number", "0.1"),
    POOL_SLOW_START(SectionType.POOL, "cold_for", "duration", "30s"),
    LIMITS_REQUESTS_GUARANTEED(
            SectionType.LIMITS, "calls_guaranteed", "whole number", "a sixteenth"),
    LIMITS_REQUESTS_MOST(SectionType.LIMITS, "calls_most", "whole number", "all"),
    LIMITS_CONNECTIONS_GUARANTEED(
            SectionType.LIMITS, "connections_guaranteed", "whole number", "a sixteenth"),
    LIMITS_CONNECTIONS_MOST(SectionType.LIMITS, "connections_most", "whole number", "all"),
    LIMITS_BODY_MEMORY_GUARANTEED(
            SectionType.LIMITS, "body_memory_guaranteed", "size", "a sixteenth"),
    LIMITS_BODY_MEMORY_MOST(SectionType.LIMITS, "body_memory_most", "size", "all"),
    LIMITS_LOOP_WEIGHT(SectionType.LIMITS, "loop_weight", "number", "1"),
    CLASS_NAME(SectionType.CLASS, "name", "text", "required"),
    CLASS_REPEATS(SectionType.CLASS, "repeats", "safe, idempotent, keyed or unsafe", "unsafe"),
    CLASS_LATENCY_OBJECTIVE(SectionType.CLASS, "aim", "duration", "the pool's"),
    CLASS_DEADLINE(SectionType.CLASS, "deadline", "duration", "the pool's"),
    CLASS_DEDUPLICATION_SCOPE(SectionType.CLASS, "group", "all, zone or cell", "all"),
    CLASS_DEDUPLICATION_WINDOW(SectionType.CLASS, "window", "duration", "the deadline"),
    CLASS_PRIORITY_WEIGHT(SectionType.CLASS, "worth", "number", "1"),
    CLASS_LATE_WEIGHT_SHARE(SectionType.CLASS, "late_worth", "number", "0.5"),
    TENANT_NAME(SectionType.TENANT, "name", "text", "required"),
    TENANT_PER_SECOND(SectionType.TENANT, "per_second", "number", "required"),
    ROUTE_NAME(SectionType.ROUTE, "name", "text", "required"),
    ROUTE_HOST(SectionType.ROUTE, "host", "a host, *.domain or *", "*"),
    ROUTE_PATH(SectionType.ROUTE, "path", "a path, {name} for a segment, ** at the end", "/**"),
    ROUTE_METHODS(SectionType.ROUTE, "methods", "list of methods", "any"),
    ROUTE_HEADERS(SectionType.ROUTE, "headers", "table of texts", "none"),
    ROUTE_CLASS(SectionType.ROUTE, "class", "text", "any"),
    ROUTE_POOL(SectionType.ROUTE, "pool", "the name of a pool", "required"),
    ROUTE_ASSIGNS(SectionType.ROUTE, "assigns", "a class of the pool", "none");

    /** The kinds of sections of the file. */
    public enum SectionType {
        NODE("node"),
        OPERATOR("operator"),
        POOL("pools.NAME"),
        LIMITS("pools.NAME.limits"),
        CLASS("pools.NAME.classes"),
        TENANT("pools.NAME.tenants"),
        ROUTE("routes");

        private final String path;

        SectionType(String path) {
            this.path = path;
        }

        /** The path in the file; NAME stands for a pool's name. */
        public String path() {
            return path;
        }
    }

    private static final String REQUIRED = "required";

    private final SectionType sectionType;
    private final String keyName;
    private final String valueType;
    private final String documentedDefault;

    Key(SectionType sectionType, String keyName, String valueType, String documentedDefault) {
        this.sectionType = sectionType;
        this.keyName = keyName;
        this.valueType = valueType;
        this.documentedDefault = documentedDefault;
    }

    /** The kind of section that the key belongs to. */
    public SectionType sectionType() {
        return sectionType;
    }

    /** The key as it is written in the file. */
    public String keyName() {
        return keyName;
    }

    /** The values that the key accepts, for messages and documentation. */
    public String valueType() {
        return valueType;
    }

    /** The default value, as the documentation describes it. */
    public String documentedDefault() {
        return documentedDefault;
    }

    /** Whether the key has no default and must be given. */
    public boolean isRequired() {
        return documentedDefault.equals(REQUIRED);
    }
}
