package trailthread.configuration;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * One table of the file: hands out its values by their keys, and notes as a fault, where it stands,
 * whatever is not as it must be. A value with a fault is handed out as if it were not given.
 */
final class Section {
    private static final int MOST_SHOWN = 40;

    private final String file;
    private final List<Fault> faults;
    private final TomlTable table;
    private final TomlPosition position;
    private final String path;

    /**
     * Looks a table through for keys that are not known.
     *
     * @param path as the file has it
     * @param position where the table stands, or null: at the file's beginning
     * @param inner tables that may stand in it besides the part's keys
     */
    Section(
            String file,
            List<Fault> faults,
            TomlTable table,
            TomlPosition position,
            String path,
            Key.Part part,
            String... inner) {
        this.file = file;
        this.faults = faults;
        this.table = table;
        this.position = position;
        this.path = path;
        TreeSet<String> known = new TreeSet<>(Arrays.asList(inner));
        for (Key key : Key.values()) {
            if (key.part() == part) {
                known.add(key.word());
            }
        }
        for (String word : table.keySet()) {
            if (!known.contains(word)) {
                String meant = Nearest.of(word, known);
                fault(
                        word,
                        meant != null
                                ? "a key that is known, such as " + meant
                                : "one of " + String.join(", ", known),
                        "");
            }
        }
    }

    /** Notes a fault at a key of this table, or at the table where the key is not given. */
    void fault(String word, String expected, String found) {
        TomlPosition at =
                word == null || !table.contains(List.of(word))
                        ? position
                        : table.inputPositionOf(List.of(word));
        faults.add(
                new Fault(
                        file,
                        at == null ? 1 : at.line(),
                        at == null ? 1 : at.column(),
                        word == null ? path : path.isEmpty() ? word : path + "." + word,
                        expected,
                        found));
    }

    /** The same, with the value that stands there. */
    void fault(Key key, String expected) {
        fault(
                key.word(),
                expected,
                table.contains(List.of(key.word())) ? shown(value(key)) : "nothing");
    }

    boolean has(Key key) {
        return table.contains(List.of(key.word()));
    }

    private Object value(Key key) {
        return table.get(List.of(key.word()));
    }

    static String shown(Object value) {
        if (value instanceof String text) {
            String start =
                    text.length() > MOST_SHOWN ? text.substring(0, MOST_SHOWN) + "..." : text;
            return "\"" + start.replaceAll("\\p{Cntrl}", "?") + "\"";
        }
        return value instanceof TomlTable
                ? "a table"
                : value instanceof TomlArray ? "a list" : String.valueOf(value);
    }

    /** A value read by the function, which throws IllegalArgumentException at what it can't use. */
    private <T> T read(Key key, T otherwise, Function<Object, T> function) {
        if (!has(key)) {
            if (key.otherwise().equals("required")) {
                fault(key, key.type());
            }
            return otherwise;
        }
        try {
            return function.apply(value(key));
        } catch (IllegalArgumentException | ClassCastException e) {
            fault(key, key.type());
            return otherwise;
        }
    }

    String text(Key key, String otherwise) {
        return read(
                key,
                otherwise,
                value -> {
                    String text = (String) value;
                    if (text.isEmpty()) {
                        throw new IllegalArgumentException("empty");
                    }
                    return text;
                });
    }

    /** An address and port, as it is written. */
    String address(Key key, int leastPort) {
        return read(key, null, value -> checkedAddress((String) value, leastPort));
    }

    static String checkedAddress(String text, int leastPort) {
        int colon = text.lastIndexOf(':');
        int port = colon < 1 ? -1 : Integer.parseInt(text.substring(colon + 1));
        if (port < leastPort || port > 65535) {
            throw new IllegalArgumentException("no address:port");
        }
        return text;
    }

    long whole(Key key, long otherwise, long least, long most) {
        return read(
                key, otherwise, value -> bounded(key, (Long) value, least, most, String::valueOf));
    }

    double number(Key key, double otherwise, double least, double most) {
        return read(
                key,
                otherwise,
                value -> {
                    double number = value instanceof Long whole ? whole : (Double) value;
                    if (!(number >= least && number <= most)) {
                        fault(key, "a number from " + least + " to " + most);
                        return otherwise;
                    }
                    return number;
                });
    }

    boolean flag(Key key, boolean otherwise) {
        return read(key, otherwise, value -> (Boolean) value);
    }

    /** In ns. */
    long duration(Key key, long otherwise, long least, long most) {
        return read(
                key,
                otherwise,
                value -> {
                    long ns;
                    try {
                        ns = Units.nanoseconds((String) value);
                    } catch (IllegalArgumentException | ClassCastException e) {
                        fault(key, "a duration with its unit, such as 250ms");
                        return otherwise;
                    }
                    return bounded(key, ns, least, most, Units::duration);
                });
    }

    /** In bytes. */
    long size(Key key, long otherwise, long least, long most) {
        return read(
                key,
                otherwise,
                value -> {
                    long bytes;
                    try {
                        bytes = Units.bytes((String) value);
                    } catch (IllegalArgumentException | ClassCastException e) {
                        fault(key, "a size with its unit, such as 64KiB");
                        return otherwise;
                    }
                    return bounded(key, bytes, least, most, Units::size);
                });
    }

    /** The value, or the nearer bound, with a fault, if it is past one. */
    private long bounded(Key key, long value, long least, long most, Function<Long, String> shown) {
        if (value < least || value > most) {
            fault(key, key.type() + " from " + shown.apply(least) + " to " + shown.apply(most));
        }
        return Math.min(most, Math.max(least, value));
    }

    /** One of some words; a fault suggests the nearest. */
    String word(Key key, String otherwise, String... words) {
        return read(
                key,
                otherwise,
                value -> {
                    String word = (String) value;
                    if (!Arrays.asList(words).contains(word)) {
                        String meant = Nearest.of(word, Arrays.asList(words));
                        fault(key, meant == null ? key.type() : meant + " (" + key.type() + ")");
                        return otherwise;
                    }
                    return word;
                });
    }

    /** A list of texts, each read by the function. */
    List<String> list(Key key, Function<String, String> function) {
        return read(
                key,
                List.of(),
                value -> {
                    TomlArray array = (TomlArray) value;
                    List<String> texts = new ArrayList<>();
                    for (int i = 0; i < array.size(); i++) {
                        try {
                            texts.add(function.apply((String) array.get(i)));
                        } catch (IllegalArgumentException | ClassCastException e) {
                            TomlPosition at = array.inputPositionOf(i);
                            faults.add(
                                    new Fault(
                                            file,
                                            at.line(),
                                            at.column(),
                                            path + "." + key.word() + "[" + i + "]",
                                            key.type(),
                                            shown(array.get(i))));
                        }
                    }
                    return texts;
                });
    }

    /** A table of texts. */
    Map<String, String> texts(Key key) {
        return read(
                key,
                Map.of(),
                value -> {
                    TomlTable inner = (TomlTable) value;
                    Map<String, String> texts = new LinkedHashMap<>();
                    for (String name : inner.keySet()) {
                        Object text = inner.get(List.of(name));
                        if (text instanceof String given) {
                            texts.put(name, given);
                        } else {
                            TomlPosition at = inner.inputPositionOf(List.of(name));
                            faults.add(
                                    new Fault(
                                            file,
                                            at.line(),
                                            at.column(),
                                            path + "." + key.word() + "." + name,
                                            "text",
                                            shown(text)));
                        }
                    }
                    return texts;
                });
    }

    /** The table of this name in this one, or null. */
    TomlTable inner(String word) {
        Object value = table.get(List.of(word));
        if (value != null && !(value instanceof TomlTable)) {
            fault(word, "a table", shown(value));
        }
        return value instanceof TomlTable inner ? inner : null;
    }

    TomlPosition positionOf(String word) {
        return table.inputPositionOf(List.of(word));
    }

    /** The list of tables of this name in this one. */
    List<Section> sections(String word, Key.Part part) {
        Object value = table.get(List.of(word));
        List<Section> sections = new ArrayList<>();
        if (value == null) {
            return sections;
        }
        if (!(value instanceof TomlArray array)) {
            fault(
                    word,
                    "tables, each begun with [["
                            + (path.isEmpty() ? word : path + "." + word)
                            + "]]",
                    shown(value));
            return sections;
        }
        for (int i = 0; i < array.size(); i++) {
            String at = (path.isEmpty() ? word : path + "." + word) + "[" + i + "]";
            if (array.get(i) instanceof TomlTable inner) {
                sections.add(new Section(file, faults, inner, array.inputPositionOf(i), at, part));
            } else {
                TomlPosition where = array.inputPositionOf(i);
                faults.add(
                        new Fault(
                                file,
                                where.line(),
                                where.column(),
                                at,
                                "a table",
                                shown(array.get(i))));
            }
        }
        return sections;
    }
}
