package trailthread.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import trailthread.engine.routes.BadTargetException;
import trailthread.engine.routes.HostPattern;
import trailthread.engine.routes.PathPattern;
import trailthread.engine.routes.Route;
import trailthread.engine.routes.RouteQuery;
import trailthread.engine.routes.RouteTable;
import trailthread.engine.routes.Target;

/**
 * Time to parse a request target and to find its route, by the number of routes and the depth of
 * the path.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class RouteMatchBenchmark {
    private static final int REQUESTS = 1024;
    private static final int HOSTS = 20;

    @Param({"10", "100", "10000"})
    public int routes;

    @Param({"2", "4", "8"})
    public int depth;

    private RouteTable table;
    private final String[] targets = new String[REQUESTS];
    private final List<List<String>> hosts = new ArrayList<>();
    private final RouteQuery[] queries = new RouteQuery[REQUESTS];
    private int next;

    /**
     * Literal, template and prefix routes on twenty hosts, some with a method or header condition.
     */
    @Setup
    public void setUp() throws BadTargetException {
        List<Route> routeList = new ArrayList<>();
        for (int i = 0; i < routes; i++) {
            String host =
                    i % 10 == 0 ? "*.h" + i % HOSTS + ".example" : "h" + i % HOSTS + ".example";
            routeList.add(
                    new Route(
                            "r" + i,
                            HostPattern.parse(host),
                            PathPattern.parse(path(i, i % 3)),
                            i % 4 == 0 ? Set.of("GET") : Set.of(),
                            i % 7 == 0 ? Map.of("x-a", "1") : Map.of(),
                            null,
                            "pool",
                            null));
        }
        table = new RouteTable(routeList);
        for (int i = 0; i < REQUESTS; i++) {
            int route = (i * 7919) % routes;
            hosts.add(List.of((route % 10 == 0 ? "a." : "") + "h" + route % HOSTS + ".example"));
            targets[i] = path(route, 0) + "?q=1";
            queries[i] = parseQuery(i);
        }
    }

    /**
     * A path pattern of the given kind.
     *
     * @param kind 0: literal, 1: template with a variable in the middle, 2: prefix
     */
    private String path(int route, int kind) {
        StringBuilder path = new StringBuilder();
        for (int level = 0; level < depth; level++) {
            path.append(
                    kind == 1 && level == depth / 2
                            ? "/{v}"
                            : "/s" + level + (level == 0 ? "-" + route : ""));
        }
        return path + (kind == 2 ? "/**" : "");
    }

    private RouteQuery parseQuery(int i) throws BadTargetException {
        Target target = Target.parse("GET", targets[i], hosts.get(i), true);
        return new RouteQuery(target.host(), target.segments(), "GET", name -> "1", null);
    }

    /** Finds the route of a query that is already parsed. */
    @Benchmark
    public Route match() {
        return table.match(queries[next++ & REQUESTS - 1]);
    }

    /** Parses the target, then finds its route. */
    @Benchmark
    public Route parseAndMatch() throws BadTargetException {
        return table.match(parseQuery(next++ & REQUESTS - 1));
    }
}
