package trailthread.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.tomlj.TomlParseError;
import org.tomlj.TomlPosition;

/** Collects the faults of one file. */
final class FaultCollector {
    private final String file;
    private final List<Fault> faults = new ArrayList<>();

    /** Creates an empty collector for the file of this name. */
    FaultCollector(String file) {
        this.file = file;
    }

    /**
     * Adds a fault.
     *
     * @param position of the fault, or null for the beginning of the file
     * @param key the path of the key, with its section
     * @param found the actual value, or empty
     */
    void add(TomlPosition position, String key, String expected, String found) {
        int line = position == null ? 1 : position.line();
        int column = position == null ? 1 : position.column();
        faults.add(new Fault(file, line, column, key, expected, found));
    }

    /** Adds an error of the TOML syntax. */
    void add(TomlParseError error) {
        String message = error.getMessage().lines().findFirst().orElse("");
        add(error.position(), "", "TOML", message);
    }

    boolean isEmpty() {
        return faults.isEmpty();
    }

    int size() {
        return faults.size();
    }

    /** The faults in the order of the file. */
    List<Fault> sorted() {
        return faults.stream()
                .sorted(Comparator.comparingInt(Fault::line).thenComparingInt(Fault::column))
                .toList();
    }
}
