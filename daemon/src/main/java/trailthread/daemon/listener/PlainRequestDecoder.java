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
import trailthread.engine.pool.PoolConfig.Repeats;
import trailthread.engine.request.ClientRequest;
import trailthread.engine.routes.Target;

/**
 * Reads a call out of any HTTP client's request; pure. What the client does not say is made: the
 * class by the method (RFC 9110, 9.2), the id anew, the deadline by the class.
 */
final class PlainRequestDecoder {
    /** What the node tells endpoints itself. */
    private static final Set<String> OWN =
            Set.of("x-correlation-id", "x-time-left", "x-service-class");

    private static final int MOST_LETTERS = 1024;

    private final PoolConfig pool;
    private final Supplier<String> ids;

    /**
     * Makes one for the clients of a pool.
     *
     * @param ids makes ids that no other call has
     */
    PlainRequestDecoder(PoolConfig pool, Supplier<String> ids) {
        this.pool = pool;
        this.ids = ids;
    }

    /**
     * The call; its body is as yet to come.
     *
     * @param assigned the class that the route gives it, or null
     */
    ClientRequest decode(String method, Target target, HeaderMap headers, String assigned)
            throws BadRequestException {
        String key = once(headers, "Idempotency-Key");
        Repeats repeats = repeats(method, key);
        ClassConfig called = assigned == null ? called(headers, repeats) : named(assigned);
        if (called.repeats() == Repeats.KEYED && key == null) {
            throw new BadRequestException(
                    "class " + called.rules().name() + " needs an Idempotency-Key");
        }
        String id = once(headers, "X-Correlation-Id");
        String timeLeft = once(headers, "X-Time-Left");
        long leftNs = timeLeft == null ? called.rules().deadlineNs() : Seconds.parse(timeLeft);
        if (leftNs < 0) {
            throw new BadRequestException("X-Time-Left must be seconds");
        }
        List<String> passed = new ArrayList<>(2 * headers.size());
        boolean whole =
                EndToEndHeaders.pass(
                        headers,
                        OWN,
                        (name, value) -> {
                            passed.add(name.toString());
                            passed.add(value);
                        });
        if (!whole) {
            throw new BadRequestException("a header that can't be passed on");
        }
        String host = headers.getFirst("Host");
        return new ClientRequest(
                id == null || id.isEmpty() ? ids.get() : id,
                called.rules().name(),
                once(headers, "X-Account"),
                Math.min(leftNs, called.rules().deadlineNs()),
                "1".equals(headers.getFirst("X-Repeat")),
                0,
                0,
                method,
                target.origin(),
                key,
                null,
                new ForwardedHeaders(host == null ? "" : host, passed));
    }

    /** RFC 9110, 9.2.1 and 9.2.2; what it does not name may do anything. */
    private static Repeats repeats(String method, String key) {
        return switch (method) {
            case "GET", "HEAD", "OPTIONS", "TRACE" -> Repeats.SAFE;
            case "PUT", "DELETE" -> Repeats.IDEMPOTENT;
            default -> key == null ? Repeats.UNSAFE : Repeats.KEYED;
        };
    }

    /** The class that the client names, if it may, or the method's. */
    private ClassConfig called(HeaderMap headers, Repeats repeats) throws BadRequestException {
        String name = once(headers, "X-Service-Class");
        if (name == null) {
            return pool.defaultClass(repeats);
        }
        ClassConfig named = named(name);
        // Guards work that must not be done twice: a client may ask for less than its method
        // allows, never for more.
        if (named.repeats().compareTo(repeats) < 0) {
            throw new BadRequestException(
                    "class " + name + " may be repeated, and the method may not");
        }
        return named;
    }

    private ClassConfig named(String name) throws BadRequestException {
        for (ClassConfig c : pool.classes()) {
            if (c.rules().name().equals(name)) {
                return c;
            }
        }
        throw new BadRequestException("no class " + name);
    }

    private static String once(HeaderMap headers, String name) throws BadRequestException {
        String value = headers.getFirst(name);
        if (value == null) {
            return null;
        }
        boolean fit = headers.count(name) == 1 && value.length() <= MOST_LETTERS;
        for (int i = 0; fit && i < value.length(); i++) {
            fit = value.charAt(i) > ' ' && value.charAt(i) <= '~';
        }
        if (!fit) {
            throw new BadRequestException(name + " must be given once, in visible letters");
        }
        return value;
    }
}
