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
 * Decodes the requests of plain HTTP clients. What the client does not state has a default: the
 * class follows from the method (RFC 9110, 9.2), the deadline from the class, and the id is new.
 */
final class PlainRequestDecoder {
    /** Headers that the balancer sets itself, and so are not forwarded. */
    private static final Set<String> NOT_FORWARDED =
            Set.of("x-correlation-id", "x-time-left", "x-service-class");

    private static final int MAX_HEADER_CHARACTERS = 1024;

    private final PoolConfig pool;
    private final Supplier<String> newIds;

    /**
     * Makes a decoder for the clients of a pool.
     *
     * @param newIds makes ids that no other request has
     */
    PlainRequestDecoder(PoolConfig pool, Supplier<String> newIds) {
        this.pool = pool;
        this.newIds = newIds;
    }

    /**
     * Decodes a request's head; its body is still to come.
     *
     * @param assignedClass the name of the class that the route assigns; null if it assigns none
     * @throws BadRequestException if a header is malformed, or the class does not suit the method
     */
    ClientRequest decode(String method, Target target, HeaderMap headers, String assignedClass)
            throws BadRequestException {
        String key = single(headers, "Idempotency-Key");
        RetrySafety retrySafety = retrySafety(method, key);
        ClassConfig classConfig =
                assignedClass == null
                        ? requestedClass(headers, retrySafety)
                        : classNamed(assignedClass);
        String className = classConfig.requestClass().name();
        if (classConfig.retrySafety() == RetrySafety.KEYED && key == null) {
            throw new BadRequestException("class " + className + " needs an Idempotency-Key");
        }
        String id = single(headers, "X-Correlation-Id");
        long timeLeftNs = timeLeftNs(headers, classConfig.requestClass().deadlineNs());
        List<String> forwarded = forwardedHeaders(headers);
        String host = headers.getFirst("Host");
        return new ClientRequest(
                id == null || id.isEmpty() ? newIds.get() : id,
                className,
                single(headers, "X-Account"),
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

    /** The client's time, but no more than the class allows. */
    private static long timeLeftNs(HeaderMap headers, long classDeadlineNs)
            throws BadRequestException {
        String timeLeft = single(headers, "X-Time-Left");
        if (timeLeft == null) {
            return classDeadlineNs;
        }
        long timeLeftNs = Seconds.parse(timeLeft);
        if (timeLeftNs < 0) {
            throw new BadRequestException("X-Time-Left must be seconds");
        }
        return Math.min(timeLeftNs, classDeadlineNs);
    }

    /** Names and values in turn. */
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

    /** Whether a request may be repeated, by RFC 9110, 9.2.1 and 9.2.2; other methods may not. */
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
        String name = single(headers, "X-Service-Class");
        if (name == null) {
            return pool.defaultClass(retrySafety);
        }
        ClassConfig named = classNamed(name);
        // Prevents work from being done twice that must not be: a client may ask for a stricter
        // class than its method's, but not for a laxer one.
        if (named.retrySafety().compareTo(retrySafety) < 0) {
            throw new BadRequestException(
                    "class " + name + " may be repeated, and the method may not");
        }
        return named;
    }

    private ClassConfig classNamed(String name) throws BadRequestException {
        for (ClassConfig classConfig : pool.classes()) {
            if (classConfig.requestClass().name().equals(name)) {
                return classConfig;
            }
        }
        throw new BadRequestException("no class " + name);
    }

    /** The value of a header that may be given once, or null. */
    private static String single(HeaderMap headers, String name) throws BadRequestException {
        String value = headers.getFirst(name);
        if (value == null) {
            return null;
        }
        boolean valid =
                headers.count(name) == 1
                        && value.length() <= MAX_HEADER_CHARACTERS
                        && VisibleAscii.isVisible(value);
        if (!valid) {
            throw new BadRequestException(name + " must be given once, in visible letters");
        }
        return value;
    }
}
