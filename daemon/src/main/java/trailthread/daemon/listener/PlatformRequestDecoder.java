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

/** Decodes the requests of the platform's clients, which state their class and deadline. */
final class PlatformRequestDecoder {
    static final HttpString CORRELATION_ID = new HttpString("X-Correlation-Id");
    static final HttpString SERVICE_CLASS = new HttpString("X-Service-Class");
    static final HttpString ACCOUNT = new HttpString("X-Account");
    static final HttpString TIME_LEFT = new HttpString("X-Time-Left");
    static final HttpString REPEAT = new HttpString("X-Repeat");
    static final HttpString FACTS = new HttpString("X-Facts");
    static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");

    private static final int MAX_HEADER_CHARACTERS = 1024;

    /**
     * Maximum of expected_ns: larger values would distort the decision module's estimates of work.
     */
    private static final long MAX_WORK_NS = 3_600_000_000_000L;

    private final Map<String, RequestClass> classes = new HashMap<>();

    PlatformRequestDecoder(List<RequestClass> classes) {
        for (RequestClass requestClass : classes) {
            this.classes.put(requestClass.name(), requestClass);
        }
    }

    /**
     * Decodes a request's head, before its body is read.
     *
     * @param query without its question mark; empty if there is none
     * @throws BadRequestException if a header is missing or malformed, or method, path and class do
     *     not fit each other
     */
    ClientRequest decode(String method, String path, String query, HeaderMap headers)
            throws BadRequestException {
        String name = required(headers, SERVICE_CLASS);
        RequestClass requestClass = classes.get(name);
        if (requestClass == null || !firstSegment(path).equals(name)) {
            throw new BadRequestException("unknown class, or not the first segment of the path");
        }
        String key = optional(headers, IDEMPOTENCY_KEY);
        boolean keyed = requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY;
        boolean safe = requestClass.idempotency() == Idempotency.IDEMPOTENT;
        if (!method.equals(safe ? "GET" : "POST") || keyed != (key != null)) {
            throw new BadRequestException("method or Idempotency-Key does not fit the class");
        }
        String target = query.isEmpty() ? path : path + "?" + query;
        if (!VisibleAscii.isVisible(target)) {
            throw new BadRequestException("the path can't be forwarded");
        }
        String facts = optional(headers, FACTS);
        long workNs = parseFact(facts, "expected_ns", 10);
        if (workNs < 0 || workNs > MAX_WORK_NS) {
            throw new BadRequestException(FACTS + ": expected_ns is out of range");
        }
        long timeLeftNs = secondsToNs(required(headers, TIME_LEFT), TIME_LEFT);
        return new ClientRequest(
                required(headers, CORRELATION_ID),
                name,
                optional(headers, ACCOUNT),
                Math.min(timeLeftNs, requestClass.deadlineNs()),
                "1".equals(headers.getFirst(REPEAT)),
                workNs,
                parseFact(facts, "entity", 16),
                method,
                target,
                key,
                null,
                null);
    }

    /** Parses one of the numbers in a list of the form name=value,name=value; 0 if it is absent. */
    private static long parseFact(String facts, String name, int radix) throws BadRequestException {
        for (int from = 0; facts != null && from < facts.length(); ) {
            int comma = facts.indexOf(',', from);
            int to = comma < 0 ? facts.length() : comma;
            if (facts.startsWith(name + "=", from)) {
                try {
                    return Long.parseUnsignedLong(
                            facts.substring(from + name.length() + 1, to), radix);
                } catch (NumberFormatException e) {
                    throw new BadRequestException(FACTS + ": " + name + " is not a number");
                }
            }
            from = to + 1;
        }
        return 0;
    }

    private static String firstSegment(String path) {
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
     * Returns the value of a header that may be given at most once, or null. An endpoint that can't
     * parse a malformed value would close its connection, which would count as its failure, so such
     * values are rejected here.
     */
    private static String optional(HeaderMap headers, HttpString name) throws BadRequestException {
        String value = headers.getFirst(name);
        if (value == null) {
            return null;
        }
        boolean valid =
                headers.count(name) <= 1
                        && value.length() <= MAX_HEADER_CHARACTERS
                        && VisibleAscii.isVisible(value);
        if (!valid) {
            throw new BadRequestException(name + " must be given once, in visible ASCII");
        }
        return value;
    }

    private static long secondsToNs(String seconds, HttpString name) throws BadRequestException {
        long ns = Seconds.parse(seconds);
        if (ns < 0) {
            throw new BadRequestException(name + " must be a number of seconds");
        }
        return ns;
    }
}
