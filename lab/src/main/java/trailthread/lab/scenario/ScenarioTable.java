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
 * One table of a scenario file. Its methods return the values of keys and record an error for each
 * invalid value, for which they return the default. {@link #reportUnknownKeys} records an error for
 * each key of the table that was not read.
 */
final class ScenarioTable {
    private final String file;
    private final List<Fault> errors;
    private final TomlTable table;
    private final TomlPosition position;
    private final String path;
    private final TreeSet<String> knownKeys = new TreeSet<>();

    /**
     * @param table null for a table that the file lacks; all its values are the defaults
     * @param position where errors of absent keys are reported
     */
    ScenarioTable(
            String file, List<Fault> errors, TomlTable table, TomlPosition position, String path) {
        this.file = file;
        this.errors = errors;
        this.table = table;
        this.position = position;
        this.path = path;
    }

    /** Records that the value of a key is not what is expected. */
    void addError(String key, String expected) {
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
        errors.add(
                new Fault(
                        file,
                        at == null ? 1 : at.line(),
                        at == null ? 1 : at.column(),
                        path.isEmpty() ? key : path + "." + key,
                        expected,
                        found));
    }

    private <T> T read(String key, T defaultValue, String expected, Function<Object, T> convert) {
        knownKeys.add(key);
        Object value = table == null ? null : table.get(List.of(key));
        if (value == null) {
            if (defaultValue == null) {
                addError(key, expected);
            }
            return defaultValue;
        }
        try {
            return convert.apply(value);
        } catch (IllegalArgumentException | ClassCastException e) {
            addError(key, expected);
            return defaultValue;
        }
    }

    private static IllegalArgumentException invalidValue() {
        return new IllegalArgumentException("invalid value");
    }

    String text(String key, String defaultValue) {
        return read(key, defaultValue, "a text", value -> (String) value);
    }

    boolean flag(String key, boolean defaultValue) {
        return read(key, defaultValue, "true or false", value -> (Boolean) value);
    }

    private static double number(Object value, double min, double max) {
        double number = value instanceof Long integer ? integer : (Double) value;
        if (!(number >= min && number <= max)) {
            throw invalidValue();
        }
        return number;
    }

    /** A number; {@code defaultValue} is null for a required key. */
    double number(String key, Double defaultValue, double min, double max) {
        Double number =
                read(
                        key,
                        defaultValue,
                        "a number from " + min + " to " + max,
                        value -> number(value, min, max));
        return number == null ? min : number;
    }

    int integer(String key, Integer defaultValue, int min, int max) {
        Integer integer =
                read(
                        key,
                        defaultValue,
                        "a whole number from " + min + " to " + max,
                        value -> {
                            long given = (Long) value;
                            if (given < min || given > max) {
                                throw invalidValue();
                            }
                            return (int) given;
                        });
        return integer == null ? min : integer;
    }

    /** A duration in ns; {@code defaultValue} is null for a required key. */
    long durationNs(String key, String defaultValue) {
        Long time =
                read(
                        key,
                        defaultValue == null ? null : Units.parseNanoseconds(defaultValue),
                        "a duration with its unit, such as 250ms",
                        value -> Units.parseNanoseconds((String) value));
        return time == null ? 1 : time;
    }

    private <T> List<T> pair(
            String key, List<T> defaultValue, String expected, Function<Object, T> element) {
        List<T> pair =
                read(
                        key,
                        defaultValue,
                        expected,
                        value -> {
                            if (!(value instanceof TomlArray array)) {
                                T single = element.apply(value);
                                return List.of(single, single);
                            }
                            if (array.size() != 2) {
                                throw invalidValue();
                            }
                            return List.of(
                                    element.apply(array.get(0)), element.apply(array.get(1)));
                        });
        return pair;
    }

    /** A range of durations in ns, given as two durations or as one that is both bounds. */
    long[] durationRangeNs(String key, String defaultValue) {
        long bound = defaultValue == null ? 1 : Units.parseNanoseconds(defaultValue);
        List<Long> pair =
                pair(
                        key,
                        defaultValue == null ? null : List.of(bound, bound),
                        "a duration, or a list of the least and the greatest",
                        value -> Units.parseNanoseconds((String) value));
        if (pair == null) {
            return new long[] {bound, bound};
        }
        if (pair.get(0) > pair.get(1)) {
            addError(key, "the lesser value first");
        }
        return new long[] {pair.get(0), pair.get(1)};
    }

    /** A range, given as two numbers or as one that is both bounds. */
    double[] numberRange(String key, double defaultValue, double min, double max) {
        List<Double> pair =
                pair(
                        key,
                        List.of(defaultValue, defaultValue),
                        "a number from "
                                + min
                                + " to "
                                + max
                                + ", or a list of the least and the greatest",
                        value -> number(value, min, max));
        if (pair.get(0) > pair.get(1)) {
            addError(key, "the lesser value first");
        }
        return new double[] {pair.get(0), pair.get(1)};
    }

    /** A constant of an enum, written in lower case. */
    <E extends Enum<E>> E enumValue(String key, E defaultValue, Class<E> type) {
        List<String> words = new ArrayList<>();
        for (E e : type.getEnumConstants()) {
            words.add(e.name().toLowerCase(Locale.ROOT));
        }
        return read(
                key,
                defaultValue,
                "one of " + String.join(", ", words),
                value -> {
                    if (!words.contains((String) value)) {
                        throw invalidValue();
                    }
                    return Enum.valueOf(type, ((String) value).toUpperCase(Locale.ROOT));
                });
    }

    List<String> texts(String key, List<String> defaultValue) {
        return read(
                key,
                defaultValue,
                "a list of at least one text",
                value -> {
                    TomlArray array = (TomlArray) value;
                    List<String> texts = new ArrayList<>();
                    for (int i = 0; i < array.size(); i++) {
                        texts.add((String) array.get(i));
                    }
                    if (texts.isEmpty()) {
                        throw invalidValue();
                    }
                    return texts;
                });
    }

    /** A nested table; if it is absent, all its values are the defaults. */
    ScenarioTable table(String key) {
        knownKeys.add(key);
        Object value = table == null ? null : table.get(List.of(key));
        if (value != null && !(value instanceof TomlTable)) {
            addError(key, "a table");
        }
        boolean present = value instanceof TomlTable;
        return new ScenarioTable(
                file,
                errors,
                present ? (TomlTable) value : null,
                present ? table.inputPositionOf(List.of(key)) : position,
                path.isEmpty() ? key : path + "." + key);
    }

    /** An array of tables; empty if absent. */
    List<ScenarioTable> tables(String key) {
        knownKeys.add(key);
        Object value = table == null ? null : table.get(List.of(key));
        List<ScenarioTable> tables = new ArrayList<>();
        boolean valid = value == null || value instanceof TomlArray;
        for (int i = 0; valid && value != null && i < ((TomlArray) value).size(); i++) {
            TomlArray array = (TomlArray) value;
            valid = array.get(i) instanceof TomlTable;
            if (valid) {
                tables.add(
                        new ScenarioTable(
                                file,
                                errors,
                                array.getTable(i),
                                array.inputPositionOf(i),
                                (path.isEmpty() ? key : path + "." + key) + "[" + i + "]"));
            }
        }
        if (!valid) {
            addError(key, "an array of tables, [[" + key + "]]");
        }
        return tables;
    }

    /** Records an error for each key of the table that was not read. */
    void reportUnknownKeys() {
        if (table == null) {
            return;
        }
        for (String key : table.keySet()) {
            if (!knownKeys.contains(key)) {
                String suggestion = SpellingSuggestion.find(key, knownKeys);
                addError(
                        key,
                        suggestion != null
                                ? "a key that is known, such as " + suggestion
                                : "one of " + String.join(", ", knownKeys));
            }
        }
    }
}
