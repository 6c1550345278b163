package trailthread.daemon.listener;

import io.undertow.util.HeaderMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import trailthread.engine.endpoint.ForwardedHeaders;
import trailthread.engine.http.EndToEndHeaders;
import trailthread.engine.loop.Seconds;
import trailthread.engine.pool.PoolConfig;
import trailthread.engine.pool.PoolConfig.ClassConfig;
import trailthread.engine.pool.PoolConfig.RetrySafety;
import trailthread.engine.request.ClientRequest;
import trailthread.engine.routes.Target;

/**
 * Decodes the requests of plain HTTP clients. If the client does not state them, the class is
 * derived from the method (RFC 9110, 9.2), the deadline from the class, and the id is generated.
 */
final class PlainRequestDecoder {
    /** Headers that are not forwarded, as the balancer sets them itself. */
    private static final Set<String> NOT_FORWARDED =
            Set.of("x-correlation-id", "x-time-left", "x-service-class");

    private static final int MAX_HEADER_CHARACTERS = 1024;

    private final PoolConfig pool;
    private final Supplier<String> newIds;

    /**
     * Makes a decoder for the clients of a pool.
     *
     * @param newIds generates unique request ids
     */
    PlainRequestDecoder(PoolConfig pool, Supplier<String> newIds) {
        this.pool = pool;
        this.newIds = newIds;
    }

    /**
     * Decodes a request's head, before its body is read.
     *
     * @param assignedClass the name of the class that the route assigns; null if it assigns none
     * @throws BadRequestException if a header is malformed, or the class does not suit the method
     */
    ClientRequest decode(String method, Target target, HeaderMap headers, String assignedClass)
            throws BadRequestException {
        String key = singleValue(headers, "Idempotency-Key");
        RetrySafety retrySafety = retrySafety(method, key);
        ClassConfig classConfig =
                assignedClass == null
                        ? requestedClass(headers, retrySafety)
                        : classNamed(assignedClass);
        String className = classConfig.requestClass().name();
        if (classConfig.retrySafety() == RetrySafety.KEYED && key == null) {
            throw new BadRequestException("class " + className + " needs an Idempotency-Key");
        }
        String id = singleValue(headers, "X-Correlation-Id");
        long timeLeftNs = timeLeftNs(headers, classConfig.requestClass().deadlineNs());
        List<String> forwarded = forwardedHeaders(headers);
        String host = headers.getFirst("Host");
        return new ClientRequest(
                id == null || id.isEmpty() ? newIds.get() : id,
                className,
                singleValue(headers, "X-Account"),
                timeLeftNs,
                "1".equals(headers.getFirst("X-Repeat")),
                0,
                0,
                method,
                target.origin(),
                key,
                null,
                new ForwardedHeaders(host == null ? "" : host, forwarded));
    }

    /** The remaining time that the client states, up to the class's deadline. */
    private static long timeLeftNs(HeaderMap headers, long classDeadlineNs)
            throws BadRequestException {
        String timeLeft = singleValue(headers, "X-Time-Left");
        if (timeLeft == null) {
            return classDeadlineNs;
        }
        long timeLeftNs = Seconds.parse(timeLeft);
        if (timeLeftNs < 0) {
            throw new BadRequestException("X-Time-Left must be a number of seconds");
        }
        return Math.min(timeLeftNs, classDeadlineNs);
    }

    /** Names and values alternate. */
    private static List<String> forwardedHeaders(HeaderMap headers) throws BadRequestException {
        List<String> forwarded = new ArrayList<>(2 * headers.size());
        boolean complete =
                EndToEndHeaders.forward(
                        headers,
                        NOT_FORWARDED,
                        (name, value) -> {
                            forwarded.add(name.toString());
                            forwarded.add(value);
                        });
        if (!complete) {
            throw new BadRequestException("a header can't be forwarded");
        }
        return forwarded;
    }

    /** How safe a retry is, by RFC 9110, 9.2.1 and 9.2.2; other methods need an idempotency key. */
    private static RetrySafety retrySafety(String method, String key) {
        return switch (method) {
            case "GET", "HEAD", "OPTIONS", "TRACE" -> RetrySafety.SAFE;
            case "PUT", "DELETE" -> RetrySafety.IDEMPOTENT;
            default -> key == null ? RetrySafety.UNSAFE : RetrySafety.KEYED;
        };
    }

    /** The class that the client names, or the default for its method. */
    private ClassConfig requestedClass(HeaderMap headers, RetrySafety retrySafety)
            throws BadRequestException {
        String name = singleValue(headers, "X-Service-Class");
        if (name == null) {
            return pool.defaultClass(retrySafety);
        }
        ClassConfig named = classNamed(name);
        // A class with laxer retry rules than the method's would let the balancer repeat work that
        // must be done once, so clients may only name stricter classes.
        if (named.retrySafety().compareTo(retrySafety) < 0) {
            throw new BadRequestException(
                    "class " + name + " allows retries that the method does not");
        }
        return named;
    }

    private ClassConfig classNamed(String name) throws BadRequestException {
        for (ClassConfig classConfig : pool.classes()) {
            if (classConfig.requestClass().name().equals(name)) {
                return classConfig;
            }
        }
        throw new BadRequestException("unknown class " + name);
    }

    /** Returns the value of a header that may be given at most once, or null. */
    private static String singleValue(HeaderMap headers, String name) throws BadRequestException {
        String value = headers.getFirst(name);
        if (value == null) {
            return null;
        }
        boolean valid =
                headers.count(name) == 1
                        && value.length() <= MAX_HEADER_CHARACTERS
                        && VisibleAscii.isVisible(value);
        if (!valid) {
            throw new BadRequestException(name + " must be given once, in visible ASCII");
        }
        return value;
    }
}
