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
import trailthread.engine.pool.PoolConfig.Part;
import trailthread.engine.pool.PoolConfig.Source;
import trailthread.engine.routes.Route;
import trailthread.engine.routes.RouteTable;

/** Tells every fault of a file, or what the node would make of it. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Tells every fault of an operator's file, one a line; or, without any, its pools and routes.")
final class CheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The operator's file, in TOML.")
    private Path file;

    /** The file, or null, with its faults on standard error. */
    static OperatorFile readOrTell(Path file) {
        OperatorFile.Result result = OperatorFileReader.read(file);
        result.faults().forEach(System.err::println);
        return result.read();
    }

    @Override
    public Integer call() {
        OperatorFile read = readOrTell(file);
        if (read == null) {
            return Trailthread.BAD;
        }
        print(read, System.out);
        return Trailthread.OK;
    }

    private static void print(OperatorFile file, PrintStream out) {
        out.printf(
                "%s listens on %s, operators on %s; %d calls, %d connections to workers, %s of bodies%n",
                file.name(),
                file.listen(),
                file.operatorListen() == null ? "none" : file.operatorListen(),
                file.services().calls(),
                file.services().connections(),
                file.services().bodyBytes() + " bytes");
        for (PoolConfig pool : file.services().pools()) {
            out.printf(
                    "pool %s: %s, workers %s; calls %s, connections %s, bodies %s, loop weight %s; classes",
                    pool.name(),
                    pool.profile().name().toLowerCase(Locale.ROOT),
                    source(pool.source()),
                    part(pool.limits().calls()),
                    part(pool.limits().connections()),
                    part(pool.limits().bodyBytes()),
                    pool.limits().loopWeight());
            pool.classes()
                    .forEach(
                            c ->
                                    out.printf(
                                            " %s (%s)",
                                            c.rules().name(),
                                            c.repeats().name().toLowerCase(Locale.ROOT)));
            out.println();
        }
        for (Route route : new RouteTable(file.services().routes()).routes()) {
            out.printf(
                    "route %s: %s%s %s%s%s -> pool %s%s%n",
                    route.name(),
                    route.host(),
                    route.path(),
                    route.methods().isEmpty()
                            ? "any method"
                            : String.join(",", route.methods().stream().sorted().toList()),
                    route.headers().isEmpty() ? "" : " " + route.headers(),
                    route.requestClass() == null ? "" : " class " + route.requestClass(),
                    route.pool(),
                    route.assigns() == null ? "" : ", as " + route.assigns());
        }
    }

    private static String part(Part part) {
        return part.guaranteed() + " to " + part.most();
    }

    private static String source(Source source) {
        if (source instanceof Source.Roster roster) {
            return "by the roster at " + roster.hostPort();
        }
        return source instanceof Source.ListFile list
                ? "in " + list.path()
                : String.join(",", ((Source.Fixed) source).hostPorts());
    }
}
