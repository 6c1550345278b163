package trailthread.daemon;

import com.google.gson.stream.JsonToken;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import trailthread.settings.SettingsParser;

/**
 * The keys that each request class of a platform node's file must have. Nothing is assumed for a
 * missing one: without its deduplication scope, for example, a class would retry at endpoints that
 * do not drop repeats.
 */
enum RequiredClassKey {
    NAME("name", "a text"),
    LATENCY_OBJECTIVE("aim_ns", 0),
    DEADLINE("deadline_ns", 1),
    IDEMPOTENCY("semantics", "retryable, dedup or fragile"),
    DEDUPLICATION_SCOPE("group", "all, zone or cell"),
    DEDUPLICATION_WINDOW("window_ns", 0);

    private static final String CLASSES = "categories";
    private static final String WITH_IDEMPOTENCY_KEY = "dedup";

    private final String key;
    private final String expected;
    private final boolean isText;

    /** The least value, in nanoseconds; unused for texts. */
    private final long minimumNs;

    RequiredClassKey(String key, String expected) {
        this.key = key;
        this.expected = expected;
        isText = true;
        minimumNs = 0;
    }

    RequiredClassKey(String key, long minimumNs) {
        this.key = key;
        this.minimumNs = minimumNs;
        expected = "nanoseconds, at least " + minimumNs;
        isText = false;
    }

    /**
     * Checks all request classes of a file.
     *
     * @param values the settings of the file, by their paths
     * @param settings the same, to read numbers from
     * @throws ConfigException if a key is missing, of the wrong type or out of range, or if two
     *     classes have one name
     * @throws IllegalArgumentException if a number can't be read; the message names the key
     */
    static void check(Map<String, JsonFlattener.Value> values, SettingsParser settings)
            throws ConfigException {
        long count = settings.wholeNumber(CLASSES + ".count", 0);
        Set<String> names = new HashSet<>();
        for (long i = 0; i < count; i++) {
            String path = CLASSES + "." + i + ".";
            for (RequiredClassKey required : values()) {
                if (required.appliesTo(values.get(path + IDEMPOTENCY.key))) {
                    required.check(path, values, settings);
                }
            }
            if (!names.add(values.get(path + NAME.key).text())) {
                throw NAME.error(path, values, "a name that no other class has");
            }
        }
    }

    private boolean appliesTo(JsonFlattener.Value idempotency) {
        if (this == DEDUPLICATION_SCOPE || this == DEDUPLICATION_WINDOW) {
            return idempotency != null && idempotency.text().equals(WITH_IDEMPOTENCY_KEY);
        }
        return true;
    }

    private void check(
            String path, Map<String, JsonFlattener.Value> values, SettingsParser settings)
            throws ConfigException {
        JsonFlattener.Value value = values.get(path + key);
        boolean accepted;
        if (value == null) {
            accepted = false;
        } else if (isText) {
            accepted = value.type() == JsonToken.STRING;
        } else {
            accepted = settings.wholeNumber(path + key, minimumNs) >= minimumNs;
        }
        if (!accepted) {
            throw error(path, values, expected);
        }
    }

    private ConfigException error(
            String path, Map<String, JsonFlattener.Value> values, String expectedValue) {
        JsonFlattener.Value name = values.get(path + NAME.key);
        String ofClass = name == null ? "" : " for class '" + name.text() + "'";
        return new ConfigException("settings." + path + key, expectedValue + ofClass);
    }
}
