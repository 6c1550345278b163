package trailthread.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import trailthread.configuration.OperatorFile;
import trailthread.configuration.OperatorFileReader;
import trailthread.engine.pool.PoolConfig;
import trailthread.engine.pool.PoolConfig.QuotaRange;
import trailthread.engine.pool.PoolConfig.Source;
import trailthread.engine.routes.Route;
import trailthread.engine.routes.RouteTable;

/** Reports all faults of a file or, if there are none, its pools and routes. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Prints every fault of an operator's file, one per line; if it has none, its pools and routes.")
final class CheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The operator's file, in TOML.")
    private Path file;

    /** Reads a file; null if it has faults, which are written to standard error. */
    static OperatorFile readOrReport(Path file) {
        OperatorFile.Result result = OperatorFileReader.read(file);
        result.faults().forEach(System.err::println);
        return result.contents();
    }

    @Override
    public Integer call() {
        OperatorFile config = readOrReport(file);
        if (config == null) {
            return Trailthread.EXIT_BAD_INPUT;
        }
        print(config, System.out);
        return Trailthread.EXIT_OK;
    }

    private static void print(OperatorFile config, PrintStream out) {
        out.printf(
                "%s listens on %s, operators on %s; %d calls, %d connections to workers, %s of bodies%n",
                config.name(),
                config.listen(),
                config.operatorListen() == null ? "none" : config.operatorListen(),
                config.services().requests(),
                config.services().connections(),
                config.services().bodyBytes() + " bytes");
        for (PoolConfig pool : config.services().pools()) {
            print(pool, out);
        }
        for (Route route : new RouteTable(config.services().routes()).routes()) {
            print(route, out);
        }
    }

    private static void print(PoolConfig pool, PrintStream out) {
        out.printf(
                "pool %s: %s, workers %s; calls %s, connections %s, bodies %s, loop weight %s; classes",
                pool.name(),
                lowerCase(pool.profile()),
                describe(pool.source()),
                describe(pool.limits().requests()),
                describe(pool.limits().connections()),
                describe(pool.limits().bodyBytes()),
                pool.limits().loopWeight());
        for (PoolConfig.ClassConfig config : pool.classes()) {
            out.printf(" %s (%s)", config.requestClass().name(), lowerCase(config.retrySafety()));
        }
        out.println();
    }

    private static void print(Route route, PrintStream out) {
        String methods =
                route.methods().isEmpty()
                        ? "any method"
                        : String.join(",", route.methods().stream().sorted().toList());
        out.printf(
                "route %s: %s%s %s%s%s -> pool %s%s%n",
                route.name(),
                route.host(),
                route.path(),
                methods,
                route.headers().isEmpty() ? "" : " " + route.headers(),
                route.requestClass() == null ? "" : " class " + route.requestClass(),
                route.pool(),
                route.assignedClass() == null ? "" : ", as " + route.assignedClass());
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    private static String describe(QuotaRange range) {
        return range.guaranteed() + " to " + range.max();
    }

    private static String describe(Source source) {
        if (source instanceof Source.Discovery discovery) {
            return "by the roster at " + discovery.hostPort();
        }
        if (source instanceof Source.ListFile list) {
            return "in " + list.path();
        }
        return String.join(",", ((Source.Fixed) source).hostPorts());
    }
}
