package trailthread.lab.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;
import java.util.function.Function;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;
import trailthread.configuration.Fault;
import trailthread.configuration.SpellingSuggestion;
import trailthread.configuration.Units;

/**
 * One table of a scenario: hands out values by their keys, and notes as a fault what is not as it
 * must be, and at its end what nobody asked for. A value with a fault is handed out as if it were
 * not given.
 */
final class ScenarioTable {
    private final String file;
    private final List<Fault> faults;
    private final TomlTable table;
    private final TomlPosition position;
    private final String path;
    private final TreeSet<String> asked = new TreeSet<>();

    /** With no table, all values are as if they were not given. */
    ScenarioTable(
            String file, List<Fault> faults, TomlTable table, TomlPosition position, String path) {
        this.file = file;
        this.faults = faults;
        this.table = table;
        this.position = position;
        this.path = path;
    }

    void fault(String key, String expected) {
        TomlPosition at =
                table != null && table.contains(List.of(key))
                        ? table.inputPositionOf(List.of(key))
                        : position;
        Object value = table == null ? null : table.get(List.of(key));
        String found =
                value == null
                        ? "nothing"
                        : value instanceof TomlArray
                                ? "a list"
                                : value instanceof TomlTable ? "a table" : value.toString();
        faults.add(
                new Fault(
                        file,
                        at == null ? 1 : at.line(),
                        at == null ? 1 : at.column(),
                        path.isEmpty() ? key : path + "." + key,
                        expected,
                        found));
    }

    private <T> T read(String key, T otherwise, String expected, Function<Object, T> function) {
        asked.add(key);
        Object value = table == null ? null : table.get(List.of(key));
        if (value == null) {
            if (otherwise == null) {
                fault(key, expected);
            }
            return otherwise;
        }
        try {
            return function.apply(value);
        } catch (IllegalArgumentException | ClassCastException e) {
            fault(key, expected);
            return otherwise;
        }
    }

    private static IllegalArgumentException unfit() {
        return new IllegalArgumentException("unfit");
    }

    String text(String key, String otherwise) {
        return read(key, otherwise, "a text", value -> (String) value);
    }

    boolean flag(String key, boolean otherwise) {
        return read(key, otherwise, "true or false", value -> (Boolean) value);
    }

    private static double number(Object value, double least, double most) {
        double number = value instanceof Long whole ? whole : (Double) value;
        if (!(number >= least && number <= most)) {
            throw unfit();
        }
        return number;
    }

    /** {@code otherwise} null: it must be given. */
    double number(String key, Double otherwise, double least, double most) {
        Double number =
                read(
                        key,
                        otherwise,
                        "a number from " + least + " to " + most,
                        value -> number(value, least, most));
        return number == null ? least : number;
    }

    int whole(String key, Integer otherwise, int least, int most) {
        Integer whole =
                read(
                        key,
                        otherwise,
                        "a whole number from " + least + " to " + most,
                        value -> {
                            long given = (Long) value;
                            if (given < least || given > most) {
                                throw unfit();
                            }
                            return (int) given;
                        });
        return whole == null ? least : whole;
    }

    /** In ns; {@code otherwise} null: it must be given. */
    long time(String key, String otherwise) {
        String text = otherwise == null ? null : otherwise;
        Long time =
                read(
                        key,
                        text == null ? null : Units.nanoseconds(text),
                        "a duration with its unit, such as 250ms",
                        value -> Units.nanoseconds((String) value));
        return time == null ? 1 : time;
    }

    private <T> List<T> pair(
            String key, List<T> otherwise, String expected, Function<Object, T> one) {
        List<T> pair =
                read(
                        key,
                        otherwise,
                        expected,
                        value -> {
                            if (!(value instanceof TomlArray array)) {
                                T single = one.apply(value);
                                return List.of(single, single);
                            }
                            if (array.size() != 2) {
                                throw unfit();
                            }
                            return List.of(one.apply(array.get(0)), one.apply(array.get(1)));
                        });
        return pair;
    }

    /** Two durations, or one for both, in ns. */
    long[] times(String key, String otherwise) {
        long usual = otherwise == null ? 1 : Units.nanoseconds(otherwise);
        List<Long> pair =
                pair(
                        key,
                        otherwise == null ? null : List.of(usual, usual),
                        "a duration, or the least and the most in brackets",
                        value -> Units.nanoseconds((String) value));
        if (pair == null) {
            return new long[] {usual, usual};
        }
        if (pair.get(0) > pair.get(1)) {
            fault(key, "the lesser one first");
        }
        return new long[] {pair.get(0), pair.get(1)};
    }

    /** Two numbers, or one for both. */
    double[] numbers(String key, double otherwise, double least, double most) {
        List<Double> pair =
                pair(
                        key,
                        List.of(otherwise, otherwise),
                        "a number from " + least + " to " + most + ", or two in brackets",
                        value -> number(value, least, most));
        if (pair.get(0) > pair.get(1)) {
            fault(key, "the lesser one first");
        }
        return new double[] {pair.get(0), pair.get(1)};
    }

    /** One of the words of an enum, as they are written in lower case. */
    <E extends Enum<E>> E word(String key, E otherwise, Class<E> type) {
        List<String> words = new ArrayList<>();
        for (E e : type.getEnumConstants()) {
            words.add(e.name().toLowerCase(Locale.ROOT));
        }
        return read(
                key,
                otherwise,
                "one of " + String.join(", ", words),
                value -> {
                    if (!words.contains((String) value)) {
                        throw unfit();
                    }
                    return Enum.valueOf(type, ((String) value).toUpperCase(Locale.ROOT));
                });
    }

    List<String> texts(String key, List<String> otherwise) {
        return read(
                key,
                otherwise,
                "texts in brackets, at least one",
                value -> {
                    TomlArray array = (TomlArray) value;
                    List<String> texts = new ArrayList<>();
                    for (int i = 0; i < array.size(); i++) {
                        texts.add((String) array.get(i));
                    }
                    if (texts.isEmpty()) {
                        throw unfit();
                    }
                    return texts;
                });
    }

    /** A table within; without one, all its values are as if they were not given. */
    ScenarioTable part(String key) {
        asked.add(key);
        Object value = table == null ? null : table.get(List.of(key));
        if (value != null && !(value instanceof TomlTable)) {
            fault(key, "a table");
        }
        boolean there = value instanceof TomlTable;
        return new ScenarioTable(
                file,
                faults,
                there ? (TomlTable) value : null,
                there ? table.inputPositionOf(List.of(key)) : position,
                path.isEmpty() ? key : path + "." + key);
    }

    /** A list of tables. */
    List<ScenarioTable> parts(String key) {
        asked.add(key);
        Object value = table == null ? null : table.get(List.of(key));
        List<ScenarioTable> parts = new ArrayList<>();
        boolean fit = value == null || value instanceof TomlArray;
        for (int i = 0; fit && value != null && i < ((TomlArray) value).size(); i++) {
            TomlArray array = (TomlArray) value;
            fit = array.get(i) instanceof TomlTable;
            if (fit) {
                parts.add(
                        new ScenarioTable(
                                file,
                                faults,
                                array.getTable(i),
                                array.inputPositionOf(i),
                                (path.isEmpty() ? key : path + "." + key) + "[" + i + "]"));
            }
        }
        if (!fit) {
            fault(key, "tables, each begun with [[" + key + "]]");
        }
        return parts;
    }

    /** Notes what stands here and nobody asked for. */
    void end() {
        if (table == null) {
            return;
        }
        for (String key : table.keySet()) {
            if (!asked.contains(key)) {
                String meant = SpellingSuggestion.find(key, asked);
                fault(
                        key,
                        meant != null
                                ? "a key that is known, such as " + meant
                                : "one of " + String.join(", ", asked));
            }
        }
    }
}
