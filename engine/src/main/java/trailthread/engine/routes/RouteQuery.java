package trailthread.engine.routes;

import java.util.List;
import java.util.function.UnaryOperator;

/**
 * The parts of a request that routes match.
 *
 * @param host in the form of {@link Target#host()}
 * @param path the segments of the path, in the form of {@link Target#segments()}
 * @param header a header's value by its name in lower case; null if it is missing or given more
 *     than once
 * @param requestClass the class that the client names, or null
 */
public record RouteQuery(
        String host,
        List<String> path,
        String method,
        UnaryOperator<String> header,
        String requestClass) {}
