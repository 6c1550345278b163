package trailthread.engine.routes;

import java.util.List;
import java.util.function.UnaryOperator;

/**
 * A request as far as routes look at it.
 *
 * @param host as {@link Target#host()} has it
 * @param path the segments, as {@link Target#segments()} has them
 * @param header a header's only value by its name in small letters, or null
 * @param requestClass the class that the client named, or null
 */
public record RouteQuery(
        String host,
        List<String> path,
        String method,
        UnaryOperator<String> header,
        String requestClass) {}
