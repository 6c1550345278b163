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

    /** Returns a setting's value, or the default if it is not given. */
    String text(String key, String defaultValue) {
        knownKeys.add(key);
        String value = unread.remove(key);
        return value == null ? defaultValue : value;
    }

    /**
     * Returns a number, or the default if it is not given.
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

    /**
     * Returns a duration given in seconds, in nanoseconds; values out of range stay out of range,
     * and NaN is -1.
     */
    long durationNs(String key, long defaultNs) {
        double seconds = number(key, defaultNs / NS_PER_SECOND);
        return Double.isNaN(seconds) ? -1 : Math.round(seconds * NS_PER_SECOND);
    }

    /** Counts a key as read whose value is not used. */
    void ignore(String key) {
        unread.remove(key);
    }

    /** Returns the number of values that have not been read yet. */
    int unreadCount() {
        return unread.size();
    }

    /**
     * Checks that all values have been read.
     *
     * @throws IllegalArgumentException naming the first key whose value has not been read
     */
    void requireAllRead() {
        if (!unread.isEmpty()) {
            throw invalid(new TreeSet<>(unread.keySet()).first(), "no such key");
        }
    }

    /** Returns all keys that were read, with or without a value. */
    Set<String> knownKeys() {
        return knownKeys;
    }

    /** Returns the exception for an invalid setting. */
    static IllegalArgumentException invalid(String key, String reason) {
        return invalid(key, reason, null);
    }

    /** Returns the exception for an invalid setting, with its cause. */
    static IllegalArgumentException invalid(String key, String reason, Exception cause) {
        return new IllegalArgumentException(SECTION + "." + key + ": " + reason, cause);
    }
}
