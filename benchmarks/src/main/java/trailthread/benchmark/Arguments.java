package trailthread.benchmark;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** The command line of a program here: pairs of {@code --name value}, each with a default; pure. */
final class Arguments {
    private final Map<String, String> values;

    /**
     * @param defaults every option there is
     * @throws IllegalArgumentException if there is another one, or one without a value; the message
     *     names it
     */
    Arguments(Map<String, String> defaults, String... args) {
        values = new HashMap<>(defaults);
        for (int i = 0; i < args.length; i += 2) {
            String name = args[i].startsWith("--") ? args[i].substring(2) : "";
            if (!defaults.containsKey(name) || i + 1 == args.length) {
                throw new IllegalArgumentException(
                        "not '" + args[i] + "' but --name value of " + defaults);
            }
            values.put(name, args[i + 1]);
        }
    }

    String text(String name) {
        return values.get(name);
    }

    int whole(String name) {
        return Integer.parseInt(text(name));
    }

    /** Whole numbers, parted by commas. */
    int[] list(String name) {
        return Arrays.stream(text(name).split(",")).mapToInt(Integer::parseInt).toArray();
    }
}
