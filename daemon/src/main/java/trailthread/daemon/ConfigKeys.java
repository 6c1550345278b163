package trailthread.daemon;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The keys that a configuration file has, by their paths; pure. Items of a list, {@code
 * list.0.key}, count as one: what all of them have is what each must have.
 */
final class ConfigKeys {
    private final Set<String> plain = new TreeSet<>();

    /** The keys of each item, by the item's path. */
    private final Map<String, Set<String>> items = new HashMap<>();

    void add(String path) {
        String[] parts = path.split("\\.");
        for (int i = 1; i < parts.length - 1; i++) {
            if (!parts[i].isEmpty() && parts[i].chars().allMatch(c -> c >= '0' && c <= '9')) {
                int at = String.join(".", Arrays.copyOf(parts, i + 1)).length();
                items.computeIfAbsent(path.substring(0, at), item -> new TreeSet<>())
                        .add(path.substring(at + 1));
                return;
            }
        }
        plain.add(path);
    }

    private static String list(String item) {
        return item.substring(0, item.lastIndexOf('.'));
    }

    /** What each item of a list has. */
    private Map<String, Set<String>> common() {
        Map<String, Set<String>> common = new HashMap<>();
        items.forEach(
                (item, keys) ->
                        common.computeIfAbsent(list(item), l -> new TreeSet<>(keys))
                                .retainAll(keys));
        return common;
    }

    /**
     * A key that is here and is not there, or null; lists may hold other items there, and fewer or
     * more.
     */
    String lostIn(ConfigKeys there) {
        for (String key : plain) {
            if (!there.plain.contains(key)) {
                return key;
            }
        }
        Map<String, Set<String>> common = common();
        for (Map.Entry<String, Set<String>> item : there.items.entrySet()) {
            Set<String> lost = new HashSet<>(common.getOrDefault(list(item.getKey()), Set.of()));
            lost.removeAll(item.getValue());
            if (!lost.isEmpty()) {
                return item.getKey() + "." + lost.iterator().next();
            }
        }
        return null;
    }
}
