package trailthread.daemon.listener;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.List;
import org.junit.Test;
import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.RequestClass;
import trailthread.engine.request.ClientRequest;

/** Well-formed and malformed requests of the platform's clients. */
public class PlatformRequestDecoderTest {
    private final PlatformRequestDecoder decoder =
            new PlatformRequestDecoder(
                    List.of(
                            requestClass("state", Idempotency.IDEMPOTENT),
                            requestClass("action", Idempotency.IDEMPOTENCY_KEY),
                            requestClass("use", Idempotency.NOT_IDEMPOTENT)));

    private static RequestClass requestClass(String name, Idempotency idempotency) {
        return new RequestClass(
                name, 1, 0, 2_000_000_000L, idempotency, DeduplicationScope.ALL, 1, 1, 0);
    }

    /** Decodes a request from lines: method, path and query first, then one header per line. */
    private ClientRequest decode(String request) throws BadRequestException {
        String[] lines = request.split("\n");
        String[] start = lines[0].split(" ", 3);
        HeaderMap headers = new HeaderMap();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.add(
                    new HttpString(lines[i].substring(0, colon)), lines[i].substring(colon + 1));
        }
        return decoder.decode(start[0], start[1], start.length > 2 ? start[2] : "", headers);
    }

    @Test
    public void allPartsOfARequestAreDecoded() throws Exception {
        ClientRequest request =
                decode(
                        "POST /action/7 a=%20b\nX-Correlation-Id:9b1f\nX-Service-Class:action\n"
                                + "X-Account:acme\nX-Time-Left:0.480\nX-Repeat:1\nIdempotency-Key:5c0f\n"
                                + "X-Facts:other=x,expected_ns=12000000,entity=ff00ff00ff00ff00");
        assertEquals(
                new ClientRequest(
                        "9b1f",
                        "action",
                        "acme",
                        480_000_000L,
                        true,
                        12_000_000L,
                        0xff00ff00ff00ff00L,
                        "POST",
                        "/action/7?a=%20b",
                        "5c0f",
                        null,
                        null),
                request);
    }

    @Test
    public void optionalHeadersMayBeMissing() throws Exception {
        ClientRequest request =
                decode("GET /state\nX-Correlation-Id:1\nX-Service-Class:state\nX-Time-Left:1");
        assertEquals(
                new ClientRequest(
                        "1",
                        "state",
                        null,
                        1_000_000_000L,
                        false,
                        0,
                        0,
                        "GET",
                        "/state",
                        null,
                        null,
                        null),
                request);
    }

    /** Prevents a client's time from setting a timer beyond the class's deadline. */
    @Test
    public void theTimeLeftIsBoundedByTheClassesDeadline() throws Exception {
        ClientRequest request =
                decode("GET /state\nX-Correlation-Id:1\nX-Service-Class:state\nX-Time-Left:3000");
        assertEquals(2_000_000_000L, request.timeLeftNs());
    }

    @Test
    public void malformedRequestsAreRejected() {
        String good = "POST /use\nX-Correlation-Id:1\nX-Service-Class:use\nX-Time-Left:1";
        String[] bad = {
            good.replace("POST", "GET"),
            good.replace("POST", "PUT"),
            good.replace("/use", "/used"),
            good.replace("/use", "/"),
            good.replace("/use", "*"),
            good.replace("/use", "/state"),
            good.replace("Class:use", "Class:other"),
            good.replace("X-Service-Class:use\n", ""),
            good.replace("Id:1", "Id:"),
            good.replace("Left:1", "Left:-1"),
            good + "\nX-Time-Left:2",
            good + "\nIdempotency-Key:1",
            good.replace("use", "action"),
            good.replace("use", "state"),
            good + "\nX-Facts:expected_ns=soon",
            good + "\nX-Facts:entity=xyz",
            good + "\nX-Facts:expected_ns=18446744073709551615",
            good.replace("Id:1", "Id:a b"),
            good.replace("Id:1", "Id:\u00e9"),
            good.replace("Id:1", "Id:\u0001"),
            good + "\nX-Correlation-Id:2",
            good.replace("Id:1", "Id:" + "1".repeat(2000)),
            good.replace("Left:1", "Left:NaN"),
            good.replace("Left:1", "Left:1e9"),
            good.replace("Left:1", "Left:9999999999"),
            good.replace("/use", "/use/\u0001"),
            good.replace("/use", "/use a\u007f"),
            good + "\nX-Account:a\nX-Account:b",
        };
        for (String request : bad) {
            assertThrows(request, BadRequestException.class, () -> decode(request));
        }
    }
}
