package trailthread.benchmark;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** Options of a benchmark program: pairs of {@code --name value}, each with a default. */
final class Arguments {
    private final Map<String, String> values;

    /**
     * @param defaults all known options with their default values
     * @throws IllegalArgumentException on an unknown option or an option without a value; the
     *     message names the option
     */
    Arguments(Map<String, String> defaults, String... args) {
        values = new HashMap<>(defaults);
        for (int i = 0; i < args.length; i += 2) {
            String name = args[i].startsWith("--") ? args[i].substring(2) : "";
            if (!defaults.containsKey(name) || i + 1 == args.length) {
                throw new IllegalArgumentException(
                        "unknown option or missing value: '"
                                + args[i]
                                + "'; options and defaults: "
                                + defaults);
            }
            values.put(name, args[i + 1]);
        }
    }

    String text(String name) {
        return values.get(name);
    }

    int integer(String name) {
        return Integer.parseInt(text(name));
    }

    /** An option that is a comma-separated list of integers. */
    int[] integers(String name) {
        return Arrays.stream(text(name).split(",")).mapToInt(Integer::parseInt).toArray();
    }
}
