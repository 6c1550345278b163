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
 * One table of the file. Its typed getters return the values of keys. They report each missing
 * required key and each invalid value as a fault, and return the default instead of the value.
 */
final class Section {
    private static final int MAX_SHOWN_CHARS = 40;
    private static final int MAX_PORT = 65_535;

    private final FaultCollector faults;
    private final TomlTable table;

    /** The position of the table, or null if it is the whole file or is not given. */
    private final TomlPosition position;

    private final String path;

    /**
     * Creates a section, and reports its unknown keys.
     *
     * @param path of the table, such as {@code pools.sim.limits}; empty for the whole file
     * @param position of the table, or null for the beginning of the file
     * @param sectionType whose keys the table may have, or null if it may have none
     * @param innerTables names of the tables that the table may contain
     */
    Section(
            FaultCollector faults,
            TomlTable table,
            TomlPosition position,
            String path,
            Key.SectionType sectionType,
            String... innerTables) {
        this.faults = faults;
        this.table = table;
        this.position = position;
        this.path = path;
        reportUnknownKeys(sectionType, innerTables);
    }

    private void reportUnknownKeys(Key.SectionType sectionType, String... innerTables) {
        TreeSet<String> knownNames = new TreeSet<>(Arrays.asList(innerTables));
        for (Key key : Key.values()) {
            if (key.sectionType() == sectionType) {
                knownNames.add(key.keyName());
            }
        }
        for (String name : table.keySet()) {
            if (!knownNames.contains(name)) {
                String suggestion = SpellingSuggestion.find(name, knownNames);
                String expected =
                        suggestion != null
                                ? "a key that is known, such as " + suggestion
                                : "one of " + String.join(", ", knownNames);
                reportFault(name, expected, "");
            }
        }
    }

    /**
     * Reports a fault.
     *
     * @param name of the key or inner table with the fault, or null for this table
     * @param found the actual value, or empty
     */
    void reportFault(String name, String expected, String found) {
        if (name == null) {
            faults.add(position, path, expected, found);
            return;
        }
        TomlPosition faultPosition = isGiven(name) ? positionOf(name) : position;
        faults.add(faultPosition, pathOf(name), expected, found);
    }

    /** Reports a fault of a key, with its actual value. */
    void reportFault(Key key, String expected) {
        reportFault(key.keyName(), expected, isGiven(key) ? describe(value(key)) : "nothing");
    }

    private String pathOf(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private boolean isGiven(String name) {
        return table.contains(List.of(name));
    }

    /** The position of a key or an inner table. */
    TomlPosition positionOf(String name) {
        return table.inputPositionOf(List.of(name));
    }

    /** Whether a key is given. */
    boolean isGiven(Key key) {
        return isGiven(key.keyName());
    }

    private Object value(Key key) {
        return table.get(List.of(key.keyName()));
    }

    /** Describes a value for an error message. */
    static String describe(Object value) {
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
     * @param defaultValue returned if the key is not given or its value is invalid
     * @param reader throws IllegalArgumentException or ClassCastException if the value is invalid
     */
    private <T> T read(Key key, T defaultValue, Function<Object, T> reader) {
        if (!isGiven(key)) {
            if (key.isRequired()) {
                reportFault(key, key.valueType());
            }
            return defaultValue;
        }
        try {
            return reader.apply(value(key));
        } catch (IllegalArgumentException | ClassCastException e) {
            reportFault(key, key.valueType());
            return defaultValue;
        }
    }

    /** A text that is not empty. */
    String text(Key key, String defaultValue) {
        return read(key, defaultValue, Section::requireNotEmpty);
    }

    private static String requireNotEmpty(Object value) {
        String text = (String) value;
        if (text.isEmpty()) {
            throw new IllegalArgumentException("empty");
        }
        return text;
    }

    /** An {@code address:port} as written in the file, or null. */
    String address(Key key, int minPort) {
        return read(key, null, value -> requireAddress((String) value, minPort));
    }

    /**
     * Checks an {@code address:port}.
     *
     * @return the text
     * @throws IllegalArgumentException if the text is no {@code address:port}
     */
    static String requireAddress(String text, int minPort) {
        int colon = text.lastIndexOf(':');
        int port = colon < 1 ? -1 : Integer.parseInt(text.substring(colon + 1));
        if (port < minPort || port > MAX_PORT) {
            throw new IllegalArgumentException("not an address:port");
        }
        return text;
    }

    /** An integer; the nearer bound, with a fault, if it is out of range. */
    long integer(Key key, long defaultValue, long min, long max) {
        return read(
                key,
                defaultValue,
                value -> clampOrReport(key, (Long) value, min, max, String::valueOf));
    }

    /** A number; the default, with a fault, if it is out of range. */
    double number(Key key, double defaultValue, double min, double max) {
        return read(
                key,
                defaultValue,
                value -> {
                    double number = value instanceof Long integer ? integer : (Double) value;
                    boolean inRange = number >= min && number <= max; // false for NaN
                    if (!inRange) {
                        reportFault(key, "a number from " + min + " to " + max);
                        return defaultValue;
                    }
                    return number;
                });
    }

    /** A boolean. */
    boolean bool(Key key, boolean defaultValue) {
        return read(key, defaultValue, value -> (Boolean) value);
    }

    /** A duration in nanoseconds; the nearer bound, with a fault, if it is out of range. */
    long duration(Key key, long defaultValue, long min, long max) {
        String expected = "a duration with its unit, such as 250ms";
        return read(
                key,
                defaultValue,
                value -> {
                    Long ns = parseOrReport(key, value, Units::parseNanoseconds, expected);
                    return ns == null
                            ? defaultValue
                            : clampOrReport(key, ns, min, max, Units::formatDuration);
                });
    }

    /** A size in bytes; the nearer bound, with a fault, if it is out of range. */
    long size(Key key, long defaultValue, long min, long max) {
        String expected = "a size with its unit, such as 64KiB";
        return read(
                key,
                defaultValue,
                value -> {
                    Long bytes = parseOrReport(key, value, Units::parseBytes, expected);
                    return bytes == null
                            ? defaultValue
                            : clampOrReport(key, bytes, min, max, Units::formatSize);
                });
    }

    /** The parsed value; null, with a fault, if the parser rejects it. */
    private Long parseOrReport(
            Key key, Object value, Function<String, Long> parser, String expected) {
        try {
            return parser.apply((String) value);
        } catch (IllegalArgumentException | ClassCastException e) {
            reportFault(key, expected);
            return null;
        }
    }

    private long clampOrReport(
            Key key, long value, long min, long max, Function<Long, String> format) {
        if (value < min || value > max) {
            reportFault(
                    key,
                    key.valueType() + " from " + format.apply(min) + " to " + format.apply(max));
        }
        return Math.min(max, Math.max(min, value));
    }

    /** The value of one of the accepted words; a fault suggests the closest word. */
    <T> T oneOf(Key key, T defaultValue, List<AcceptedWord<T>> acceptedWords) {
        return read(
                key,
                defaultValue,
                value -> {
                    String word = (String) value;
                    for (AcceptedWord<T> acceptedWord : acceptedWords) {
                        if (acceptedWord.word().equals(word)) {
                            return acceptedWord.value();
                        }
                    }
                    String suggestion =
                            SpellingSuggestion.find(
                                    word, acceptedWords.stream().map(AcceptedWord::word).toList());
                    reportFault(
                            key,
                            suggestion == null
                                    ? key.valueType()
                                    : suggestion + " (" + key.valueType() + ")");
                    return defaultValue;
                });
    }

    /**
     * A list of texts.
     *
     * @param reader throws IllegalArgumentException for an invalid item, which is reported and left
     *     out
     */
    List<String> textList(Key key, Function<String, String> reader) {
        return read(key, List.of(), value -> readItems(key, (TomlArray) value, reader));
    }

    private List<String> readItems(Key key, TomlArray array, Function<String, String> reader) {
        List<String> items = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            try {
                items.add(reader.apply((String) array.get(i)));
            } catch (IllegalArgumentException | ClassCastException e) {
                faults.add(
                        array.inputPositionOf(i),
                        pathOf(key.keyName()) + "[" + i + "]",
                        key.valueType(),
                        describe(array.get(i)));
            }
        }
        return items;
    }

    /** A table whose values are texts, by their keys. */
    Map<String, String> textTable(Key key) {
        return read(key, Map.of(), value -> readTexts(key, (TomlTable) value));
    }

    private Map<String, String> readTexts(Key key, TomlTable inner) {
        Map<String, String> texts = new LinkedHashMap<>();
        for (String name : inner.keySet()) {
            Object value = inner.get(List.of(name));
            if (value instanceof String text) {
                texts.put(name, text);
            } else {
                faults.add(
                        inner.inputPositionOf(List.of(name)),
                        pathOf(key.keyName()) + "." + name,
                        "text",
                        describe(value));
            }
        }
        return texts;
    }

    /** The inner table of this name, or null. */
    TomlTable innerTable(String name) {
        Object value = table.get(List.of(name));
        if (value != null && !(value instanceof TomlTable)) {
            reportFault(name, "a table", describe(value));
        }
        return value instanceof TomlTable inner ? inner : null;
    }

    /** The inner table of this name as a section; an empty one if it is not given. */
    Section innerSection(String name, Key.SectionType sectionType) {
        TomlTable inner = innerTable(name);
        if (inner == null) {
            return new Section(faults, Toml.parse(""), null, pathOf(name), sectionType);
        }
        return new Section(faults, inner, positionOf(name), pathOf(name), sectionType);
    }

    /** The sections of an array of tables. */
    List<Section> sections(String name, Key.SectionType sectionType) {
        Object value = table.get(List.of(name));
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof TomlArray array)) {
            reportFault(name, "tables, each begun with [[" + pathOf(name) + "]]", describe(value));
            return List.of();
        }
        List<Section> sections = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            TomlPosition itemPosition = array.inputPositionOf(i);
            String itemPath = pathOf(name) + "[" + i + "]";
            if (array.get(i) instanceof TomlTable inner) {
                sections.add(new Section(faults, inner, itemPosition, itemPath, sectionType));
            } else {
                faults.add(itemPosition, itemPath, "a table", describe(array.get(i)));
            }
        }
        return sections;
    }
}
