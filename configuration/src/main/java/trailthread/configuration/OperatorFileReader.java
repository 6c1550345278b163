package trailthread.configuration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import trailthread.engine.pool.PoolConfig;
import trailthread.engine.pool.ServicesConfig;
import trailthread.engine.routes.Route;

/** Reads an operator's file, and reports all of its faults at once. */
public final class OperatorFileReader {
    private static final int DEFAULT_DESCRIPTORS = 1024;

    /** The Java virtual machine and the listening sockets alone use about 50 descriptors. */
    private static final int MIN_DESCRIPTORS = 96;

    private static final int MAX_DESCRIPTORS = 1 << 20;

    /** Descriptors for the Java virtual machine and the listening sockets. */
    private static final int OWN_DESCRIPTORS = 48;

    /** The share of the remaining descriptors for connections from clients. */
    private static final double CLIENTS_SHARE = 0.6;

    /** The share of these connections that may have a request in flight; the rest are idle. */
    private static final double ACTIVE_SHARE = 0.67;

    private static final long DEFAULT_BODY_BYTES = 16 << 20;
    private static final long MIN_BODY_BYTES = 64 << 10;
    private static final long MAX_BODY_BYTES = 1L << 40;
    private static final int SEED_RADIX = 16;

    private final FaultCollector faults;

    private OperatorFileReader(String file) {
        faults = new FaultCollector(file);
    }

    /** Reads a file. If the file can't be read, the result has this as its only fault. */
    public static OperatorFile.Result read(Path path) {
        try {
            return read(path.toString(), Files.readString(path));
        } catch (IOException e) {
            FaultCollector faults = new FaultCollector(path.toString());
            faults.add(null, "", "a file that can be read", e.getClass().getSimpleName());
            return new OperatorFile.Result(null, faults.sorted());
        }
    }

    /**
     * Reads the text of a file.
     *
     * @param name the name of the file, for faults
     */
    public static OperatorFile.Result read(String name, String text) {
        return new OperatorFileReader(name).read(text);
    }

    private OperatorFile.Result read(String text) {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            toml.errors().forEach(faults::add);
            return new OperatorFile.Result(null, faults.sorted());
        }
        Section root =
                new Section(faults, toml, null, "", null, "node", "operator", "pools", "routes");
        OperatorFile file = readSections(root);
        return new OperatorFile.Result(faults.isEmpty() ? file : null, faults.sorted());
    }

    private OperatorFile readSections(Section root) {
        Section node = root.innerSection("node", Key.SectionType.NODE);
        Section operator = root.innerSection("operator", Key.SectionType.OPERATOR);
        int descriptors =
                (int)
                        node.integer(
                                Key.NODE_DESCRIPTORS,
                                DEFAULT_DESCRIPTORS,
                                MIN_DESCRIPTORS,
                                MAX_DESCRIPTORS);
        ResourceTotals totals = readTotals(node, descriptors);
        Map<String, PoolConfig> pools = new PoolsReader(faults, totals).read(root);
        List<Route> routes = new RoutesReader(faults, pools).read(root);
        return new OperatorFile(
                node.text(Key.NODE_NAME, "node"),
                node.address(Key.NODE_LISTEN, 0),
                readSeed(node),
                descriptors,
                operator.address(Key.OPERATOR_LISTEN, 0),
                new ServicesConfig(
                        totals.requests(),
                        totals.connections(),
                        totals.bodyBytes(),
                        List.copyOf(pools.values()),
                        routes));
    }

    private static ResourceTotals readTotals(Section node, int descriptors) {
        int forClients = (int) (CLIENTS_SHARE * (descriptors - OWN_DESCRIPTORS));
        long requests = Math.max(1, (long) (ACTIVE_SHARE * forClients));
        long connections = (long) descriptors - OWN_DESCRIPTORS - forClients;
        long bodyBytes =
                node.size(Key.NODE_BODY_MEMORY, DEFAULT_BODY_BYTES, MIN_BODY_BYTES, MAX_BODY_BYTES);
        return new ResourceTotals(requests, connections, bodyBytes);
    }

    private static Long readSeed(Section node) {
        String text = node.text(Key.NODE_SEED, null);
        if (text == null) {
            return null;
        }
        try {
            return Long.parseUnsignedLong(text, SEED_RADIX);
        } catch (NumberFormatException e) {
            node.reportFault(Key.NODE_SEED, "1 to 16 hex digits");
            return null;
        }
    }
}
