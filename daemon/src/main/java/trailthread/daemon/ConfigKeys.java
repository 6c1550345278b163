package trailthread.daemon;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The keys present in a configuration file, by their dotted paths. Used to detect keys that are
 * repeated, or missing from a reloaded file.
 *
 * <p>The items of a list ({@code list.0.key}) are compared as a group: a key that all items of the
 * old list have is expected in each item of the new one.
 */
final class ConfigKeys {
    private final Set<String> plainKeys = new TreeSet<>();

    /** The keys of each list item, by the item's path. */
    private final Map<String, Set<String>> itemKeys = new HashMap<>();

    /** The first key that was added twice, or null. */
    private String firstRepeated;

    /** Adds a key by its dotted path. */
    void add(String path) {
        if (!addIfAbsent(path) && firstRepeated == null) {
            firstRepeated = path;
        }
    }

    private boolean addIfAbsent(String path) {
        String[] parts = path.split("\\.");
        for (int i = 1; i < parts.length - 1; i++) {
            if (isIndex(parts[i])) {
                String item = String.join(".", Arrays.copyOf(parts, i + 1));
                return itemKeys.computeIfAbsent(item, unused -> new TreeSet<>())
                        .add(path.substring(item.length() + 1));
            }
        }
        return plainKeys.add(path);
    }

    /** The first key that the file has more than once, or null if there is none. */
    String firstRepeated() {
        return firstRepeated;
    }

    private static boolean isIndex(String part) {
        return !part.isEmpty() && part.chars().allMatch(c -> c >= '0' && c <= '9');
    }

    private static String listPath(String item) {
        return item.substring(0, item.lastIndexOf('.'));
    }

    /** The keys that all items of a list have, by the list's path. */
    private Map<String, Set<String>> commonItemKeys() {
        Map<String, Set<String>> common = new HashMap<>();
        itemKeys.forEach(
                (item, keys) ->
                        common.computeIfAbsent(listPath(item), list -> new TreeSet<>(keys))
                                .retainAll(keys));
        return common;
    }

    /**
     * A key that is present here and missing in the other file, or null if there is none. Lists of
     * the other file may have a different number of items.
     */
    String firstMissingIn(ConfigKeys other) {
        for (String key : plainKeys) {
            if (!other.plainKeys.contains(key)) {
                return key;
            }
        }
        Map<String, Set<String>> expected = commonItemKeys();
        for (Map.Entry<String, Set<String>> item : other.itemKeys.entrySet()) {
            Set<String> missing =
                    new HashSet<>(expected.getOrDefault(listPath(item.getKey()), Set.of()));
            missing.removeAll(item.getValue());
            if (!missing.isEmpty()) {
                return item.getKey() + "." + missing.iterator().next();
            }
        }
        return null;
    }
}
