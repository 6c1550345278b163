package trailthread.command;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import trailthread.configuration.OperatorFile;
import trailthread.engine.routes.BadTargetException;
import trailthread.engine.routes.Route;
import trailthread.engine.routes.RouteQuery;
import trailthread.engine.routes.RouteTable;
import trailthread.engine.routes.Target;

/** Reports which route takes a request, and why the others do not, without sending the request. */
@Command(
        name = "route",
        mixinStandardHelpOptions = true,
        description =
                "Prints which route, pool and class a request gets, and why the other routes do not take it.")
final class RouteCommand implements Callable<Integer> {
    private static final String CLASS_HEADER = "x-service-class";

    @Parameters(paramLabel = "FILE", description = "The operator's file, in TOML.")
    private Path file;

    @Option(
            names = "--host",
            defaultValue = "localhost",
            description = "The Host header of the request (${DEFAULT-VALUE}).")
    private String host;

    @Option(
            names = "--path",
            defaultValue = "/",
            description = "The target of the request: path and query (${DEFAULT-VALUE}).")
    private String path;

    @Option(
            names = "--method",
            defaultValue = "GET",
            description = "The method of the request (${DEFAULT-VALUE}).")
    private String method;

    @Option(
            names = "--header",
            paramLabel = "NAME:VALUE",
            description = "A header of the request; may be given more than once.")
    private List<String> headers = List.of();

    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
        OperatorFile config = CheckCommand.readOrReport(file);
        if (config == null) {
            return Trailthread.EXIT_BAD_INPUT;
        }
        Map<String, String> headerValues = parseHeaders();
        Target target;
        try {
            target = Target.parse(method, path, List.of(host), true);
        } catch (BadTargetException e) {
            System.out.println("400: " + e.getMessage());
            return Trailthread.EXIT_BAD_INPUT;
        }
        RouteTable routes = new RouteTable(config.services().routes());
        RouteQuery query =
                new RouteQuery(
                        target.host(),
                        target.segments(),
                        method,
                        headerValues::get,
                        headerValues.get(CLASS_HEADER));
        Route route = routes.match(query);
        System.out.println(route == null ? "404: no route takes it" : describe(route, query));
        routes.explain(query).forEach(line -> System.out.println("  " + line));
        return route == null ? Trailthread.EXIT_NO_ROUTE : Trailthread.EXIT_OK;
    }

    /** The values of the headers, by their names in lower case. */
    private Map<String, String> parseHeaders() {
        Map<String, String> values = new HashMap<>();
        for (String header : headers) {
            int colon = header.indexOf(':');
            if (colon < 1) {
                throw new ParameterException(
                        spec.commandLine(), "--header: expected NAME:VALUE, got '" + header + "'");
            }
            values.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).strip());
        }
        return values;
    }

    private static String describe(Route route, RouteQuery query) {
        return "route "
                + route.name()
                + ", pool "
                + route.pool()
                + ", class "
                + requestClass(route, query);
    }

    private static String requestClass(Route route, RouteQuery query) {
        if (route.assignedClass() != null) {
            return route.assignedClass();
        }
        return query.requestClass() != null ? query.requestClass() : "by the method";
    }
}
