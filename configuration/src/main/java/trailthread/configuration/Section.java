package trailthread.configuration;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * One table of the file. Its typed getters return the values of keys, and report each value that is
 * missing or wrong as a fault. In place of such a value they return the default.
 */
final class Section {
    private static final int MAX_SHOWN_CHARS = 40;
    private static final int MAX_PORT = 65_535;

    private final FaultCollector faults;
    private final TomlTable table;

    /** Where the table stands, or null if it is the file or is not given. */
    private final TomlPosition position;

    private final String path;

    /**
     * Makes a section, and reports the keys in it that are not known.
     *
     * @param path as the file has it
     * @param position where the table stands, or null at the beginning of the file
     * @param part whose keys the table may have, or null if it has none
     * @param innerTables the tables that it may have besides
     */
    Section(
            FaultCollector faults,
            TomlTable table,
            TomlPosition position,
            String path,
            Key.Part part,
            String... innerTables) {
        this.faults = faults;
        this.table = table;
        this.position = position;
        this.path = path;
        reportUnknownKeys(part, innerTables);
    }

    private void reportUnknownKeys(Key.Part part, String... innerTables) {
        TreeSet<String> known = new TreeSet<>(Arrays.asList(innerTables));
        for (Key key : Key.values()) {
            if (key.part() == part) {
                known.add(key.word());
            }
        }
        for (String word : table.keySet()) {
            if (!known.contains(word)) {
                String nearest = Nearest.of(word, known);
                String expected =
                        nearest != null
                                ? "a key that is known, such as " + nearest
                                : "one of " + String.join(", ", known);
                fault(word, expected, "");
            }
        }
    }

    /**
     * Reports a fault.
     *
     * @param word the key or inner table it is about, or null for this table
     * @param found what stands there, or empty
     */
    void fault(String word, String expected, String found) {
        if (word == null) {
            faults.add(position, path, expected, found);
            return;
        }
        TomlPosition at = isGiven(word) ? positionOf(word) : position;
        faults.add(at, pathOf(word), expected, found);
    }

    /** Reports a fault of a key's value, and shows the value. */
    void fault(Key key, String expected) {
        fault(key.word(), expected, has(key) ? shown(value(key)) : "nothing");
    }

    private String pathOf(String word) {
        return path.isEmpty() ? word : path + "." + word;
    }

    private boolean isGiven(String word) {
        return table.contains(List.of(word));
    }

    /** Where a key or an inner table stands. */
    TomlPosition positionOf(String word) {
        return table.inputPositionOf(List.of(word));
    }

    /** Whether a key is given. */
    boolean has(Key key) {
        return isGiven(key.word());
    }

    private Object value(Key key) {
        return table.get(List.of(key.word()));
    }

    /** A value as an error message shows it. */
    static String shown(Object value) {
        if (value instanceof String text) {
            boolean isLong = text.length() > MAX_SHOWN_CHARS;
            String start = isLong ? text.substring(0, MAX_SHOWN_CHARS) + "..." : text;
            return "\"" + start.replaceAll("\\p{Cntrl}", "?") + "\"";
        }
        if (value instanceof TomlTable) {
            return "a table";
        }
        return value instanceof TomlArray ? "a list" : String.valueOf(value);
    }

    /**
     * Reads a value.
     *
     * @param otherwise what is returned if the key is not given or its value can't be used
     * @param reader throws IllegalArgumentException or ClassCastException if it can't use a value
     */
    private <T> T read(Key key, T otherwise, Function<Object, T> reader) {
        if (!has(key)) {
            if (key.isRequired()) {
                fault(key, key.type());
            }
            return otherwise;
        }
        try {
            return reader.apply(value(key));
        } catch (IllegalArgumentException | ClassCastException e) {
            fault(key, key.type());
            return otherwise;
        }
    }

    /** A text that is not empty. */
    String text(Key key, String otherwise) {
        return read(key, otherwise, Section::notEmpty);
    }

    private static String notEmpty(Object value) {
        String text = (String) value;
        if (text.isEmpty()) {
            throw new IllegalArgumentException("empty");
        }
        return text;
    }

    /** An {@code address:port} as it is written, or null. */
    String address(Key key, int minPort) {
        return read(key, null, value -> checkedAddress((String) value, minPort));
    }

    /**
     * Checks an {@code address:port}.
     *
     * @return the text
     * @throws IllegalArgumentException if it is none
     */
    static String checkedAddress(String text, int minPort) {
        int colon = text.lastIndexOf(':');
        int port = colon < 1 ? -1 : Integer.parseInt(text.substring(colon + 1));
        if (port < minPort || port > MAX_PORT) {
            throw new IllegalArgumentException("no address:port");
        }
        return text;
    }

    /** An integer; the nearer bound, with a fault, if it is out of range. */
    long integer(Key key, long otherwise, long min, long max) {
        return read(key, otherwise, value -> bounded(key, (Long) value, min, max, String::valueOf));
    }

    /** A number; the default, with a fault, if it is out of range. */
    double number(Key key, double otherwise, double min, double max) {
        return read(
                key,
                otherwise,
                value -> {
                    double number = value instanceof Long integer ? integer : (Double) value;
                    boolean inRange = number >= min && number <= max; // false for NaN
                    if (!inRange) {
                        fault(key, "a number from " + min + " to " + max);
                        return otherwise;
                    }
                    return number;
                });
    }

    /** A boolean. */
    boolean flag(Key key, boolean otherwise) {
        return read(key, otherwise, value -> (Boolean) value);
    }

    /** A duration in nanoseconds; the nearer bound, with a fault, if it is out of range. */
    long duration(Key key, long otherwise, long min, long max) {
        String expected = "a duration with its unit, such as 250ms";
        return read(
                key,
                otherwise,
                value -> {
                    Long ns = parsed(key, value, Units::nanoseconds, expected);
                    return ns == null ? otherwise : bounded(key, ns, min, max, Units::duration);
                });
    }

    /** A size in bytes; the nearer bound, with a fault, if it is out of range. */
    long size(Key key, long otherwise, long min, long max) {
        String expected = "a size with its unit, such as 64KiB";
        return read(
                key,
                otherwise,
                value -> {
                    Long bytes = parsed(key, value, Units::bytes, expected);
                    return bytes == null ? otherwise : bounded(key, bytes, min, max, Units::size);
                });
    }

    /** The value as the parser reads it; null, with a fault, if it can't. */
    private Long parsed(Key key, Object value, Function<String, Long> parser, String expected) {
        try {
            return parser.apply((String) value);
        } catch (IllegalArgumentException | ClassCastException e) {
            fault(key, expected);
            return null;
        }
    }

    private long bounded(Key key, long value, long min, long max, Function<Long, String> shown) {
        if (value < min || value > max) {
            fault(key, key.type() + " from " + shown.apply(min) + " to " + shown.apply(max));
        }
        return Math.min(max, Math.max(min, value));
    }

    /** What one of some words stands for; a fault suggests the word that is nearest. */
    <T> T choice(Key key, T otherwise, List<Choice<T>> choices) {
        return read(
                key,
                otherwise,
                value -> {
                    String word = (String) value;
                    for (Choice<T> choice : choices) {
                        if (choice.word().equals(word)) {
                            return choice.value();
                        }
                    }
                    String nearest = Nearest.of(word, choices.stream().map(Choice::word).toList());
                    fault(key, nearest == null ? key.type() : nearest + " (" + key.type() + ")");
                    return otherwise;
                });
    }

    /**
     * A list of texts.
     *
     * @param reader throws IllegalArgumentException if it can't use an item, which is then left out
     */
    List<String> list(Key key, Function<String, String> reader) {
        return read(key, List.of(), value -> items(key, (TomlArray) value, reader));
    }

    private List<String> items(Key key, TomlArray array, Function<String, String> reader) {
        List<String> items = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            try {
                items.add(reader.apply((String) array.get(i)));
            } catch (IllegalArgumentException | ClassCastException e) {
                faults.add(
                        array.inputPositionOf(i),
                        pathOf(key.word()) + "[" + i + "]",
                        key.type(),
                        shown(array.get(i)));
            }
        }
        return items;
    }

    /** A table of texts, by their names. */
    Map<String, String> texts(Key key) {
        return read(key, Map.of(), value -> textsOf(key, (TomlTable) value));
    }

    private Map<String, String> textsOf(Key key, TomlTable inner) {
        Map<String, String> texts = new LinkedHashMap<>();
        for (String name : inner.keySet()) {
            Object value = inner.get(List.of(name));
            if (value instanceof String text) {
                texts.put(name, text);
            } else {
                faults.add(
                        inner.inputPositionOf(List.of(name)),
                        pathOf(key.word()) + "." + name,
                        "text",
                        shown(value));
            }
        }
        return texts;
    }

    /** The inner table of this name, or null. */
    TomlTable innerTable(String word) {
        Object value = table.get(List.of(word));
        if (value != null && !(value instanceof TomlTable)) {
            fault(word, "a table", shown(value));
        }
        return value instanceof TomlTable inner ? inner : null;
    }

    /** The inner table of this name as a section; an empty one if it is not given. */
    Section innerSection(String word, Key.Part part) {
        TomlTable inner = innerTable(word);
        if (inner == null) {
            return new Section(faults, Toml.parse(""), null, pathOf(word), part);
        }
        return new Section(faults, inner, positionOf(word), pathOf(word), part);
    }

    /** The sections of an array of tables. */
    List<Section> sections(String word, Key.Part part) {
        Object value = table.get(List.of(word));
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof TomlArray array)) {
            fault(word, "tables, each begun with [[" + pathOf(word) + "]]", shown(value));
            return List.of();
        }
        List<Section> sections = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            TomlPosition at = array.inputPositionOf(i);
            String itemPath = pathOf(word) + "[" + i + "]";
            if (array.get(i) instanceof TomlTable inner) {
                sections.add(new Section(faults, inner, at, itemPath, part));
            } else {
                faults.add(at, itemPath, "a table", shown(array.get(i)));
            }
        }
        return sections;
    }
}
