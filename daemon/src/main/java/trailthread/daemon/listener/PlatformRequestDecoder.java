package trailthread.daemon.listener;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import trailthread.api.Idempotency;
import trailthread.api.RequestClass;
import trailthread.engine.loop.Seconds;
import trailthread.engine.request.ClientRequest;

/** Reads a client's call out of its HTTP form; pure. */
final class PlatformRequestDecoder {
    static final HttpString CORRELATION_ID = new HttpString("X-Correlation-Id");
    static final HttpString SERVICE_CLASS = new HttpString("X-Service-Class");
    static final HttpString ACCOUNT = new HttpString("X-Account");
    static final HttpString TIME_LEFT = new HttpString("X-Time-Left");
    static final HttpString REPEAT = new HttpString("X-Repeat");
    static final HttpString FACTS = new HttpString("X-Facts");
    static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");

    private static final int MOST_LETTERS = 1024;

    /** What claims more would spoil what the module knows of work in general. */
    private static final long MOST_WORK_NS = 3_600_000_000_000L;

    private final Map<String, RequestClass> classes = new HashMap<>();

    PlatformRequestDecoder(List<RequestClass> classes) {
        for (RequestClass c : classes) {
            this.classes.put(c.name(), c);
        }
    }

    /** The call; its body is as yet to come. */
    ClientRequest decode(String method, String path, String query, HeaderMap headers)
            throws BadRequestException {
        String name = required(headers, SERVICE_CLASS);
        RequestClass requestClass = classes.get(name);
        if (requestClass == null || !firstPart(path).equals(name)) {
            throw new BadRequestException("no such class at this path");
        }
        String key = optional(headers, IDEMPOTENCY_KEY);
        boolean keyed = requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY;
        boolean safe = requestClass.idempotency() == Idempotency.IDEMPOTENT;
        if (!method.equals(safe ? "GET" : "POST") || keyed != (key != null)) {
            throw new BadRequestException("method or Idempotency-Key do not suit the class");
        }
        String target = query.isEmpty() ? path : path + "?" + query;
        if (!isVisible(target)) {
            throw new BadRequestException("the path can't be passed on");
        }
        String facts = optional(headers, FACTS);
        long workNs = fact(facts, "expected_ns", 10);
        if (workNs < 0 || workNs > MOST_WORK_NS) {
            throw new BadRequestException("no call takes so much work");
        }
        long timeLeftNs = nanoseconds(required(headers, TIME_LEFT), TIME_LEFT);
        return new ClientRequest(
                required(headers, CORRELATION_ID),
                name,
                optional(headers, ACCOUNT),
                Math.min(timeLeftNs, requestClass.deadlineNs()),
                "1".equals(headers.getFirst(REPEAT)),
                workNs,
                fact(facts, "entity", 16),
                method,
                target,
                key,
                null,
                null);
    }

    /** A figure of the form name=value,name=value; 0 if it is absent or none. */
    private static long fact(String facts, String name, int radix) throws BadRequestException {
        for (int from = 0; facts != null && from < facts.length(); ) {
            int comma = facts.indexOf(',', from);
            int to = comma < 0 ? facts.length() : comma;
            if (facts.startsWith(name + "=", from)) {
                try {
                    return Long.parseUnsignedLong(
                            facts.substring(from + name.length() + 1, to), radix);
                } catch (NumberFormatException e) {
                    throw new BadRequestException(FACTS + ": " + name + " is no number");
                }
            }
            from = to + 1;
        }
        return 0;
    }

    private static String firstPart(String path) {
        int end = path.indexOf('/', 1);
        return path.substring(Math.min(1, path.length()), end < 0 ? path.length() : end);
    }

    private static String required(HeaderMap headers, HttpString name) throws BadRequestException {
        String value = optional(headers, name);
        if (value == null || value.isEmpty()) {
            throw new BadRequestException(name + " must be given");
        }
        return value;
    }

    /**
     * Guards endpoints, too: what they can't read would end their connection, and count as their
     * failure.
     */
    private static String optional(HeaderMap headers, HttpString name) throws BadRequestException {
        String value = headers.getFirst(name);
        boolean once = headers.count(name) <= 1;
        if (value != null && !(once && value.length() <= MOST_LETTERS && isVisible(value))) {
            throw new BadRequestException(name + " must be given once, in visible letters");
        }
        return value;
    }

    private static boolean isVisible(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) <= ' ' || text.charAt(i) > '~') {
                return false;
            }
        }
        return true;
    }

    private static long nanoseconds(String seconds, HttpString name) throws BadRequestException {
        long ns = Seconds.parse(seconds);
        if (ns < 0) {
            throw new BadRequestException(name + " must be seconds");
        }
        return ns;
    }
}
