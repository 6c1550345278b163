package trailthread.engine.degradation;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Reads the settings under {@code levels}, and keeps track of those that have not been read. */
final class LevelSettings {
    private static final String SECTION = "levels";
    private static final double NS_PER_SECOND = 1e9;

    /** The values that have not been read yet, by key. */
    private final Map<String, String> unread;

    private final Set<String> knownKeys = new TreeSet<>();

    LevelSettings(Map<String, String> values) {
        unread = new HashMap<>(values);
    }

    /** A setting's value, or the default if it is not given. */
    String text(String key, String defaultValue) {
        knownKeys.add(key);
        String value = unread.remove(key);
        return value == null ? defaultValue : value;
    }

    /**
     * A number, or the default if it is not given.
     *
     * @throws IllegalArgumentException naming the key if its value is no number
     */
    double number(String key, double defaultValue) {
        String value = text(key, null);
        try {
            return value == null ? defaultValue : Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw invalid(key, "expected a number, got '" + value + "'");
        }
    }

    /** Seconds, as nanoseconds; values out of range stay out of range, and NaN is -1. */
    long durationNs(String key, long defaultNs) {
        double seconds = number(key, defaultNs / NS_PER_SECOND);
        return Double.isNaN(seconds) ? -1 : Math.round(seconds * NS_PER_SECOND);
    }

    /** Counts a key as read that has no meaning of its own. */
    void ignore(String key) {
        unread.remove(key);
    }

    /** How many values have not been read yet. */
    int unreadCount() {
        return unread.size();
    }

    /**
     * Checks that all values have been read.
     *
     * @throws IllegalArgumentException naming the first one that has not
     */
    void requireAllRead() {
        if (!unread.isEmpty()) {
            throw invalid(new TreeSet<>(unread.keySet()).first(), "no such key");
        }
    }

    /** All keys that were asked for. */
    Set<String> knownKeys() {
        return knownKeys;
    }

    /** The exception for a setting that is invalid. */
    static IllegalArgumentException invalid(String key, String reason) {
        return invalid(key, reason, null);
    }

    /** The same, with what has found it invalid. */
    static IllegalArgumentException invalid(String key, String reason, Exception cause) {
        return new IllegalArgumentException(SECTION + "." + key + ": " + reason, cause);
    }
}
