package trailthread.engine.endpoint;

import static org.junit.Assert.assertEquals;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.junit.Test;
import trailthread.api.Outcome;

/** The outcomes of responses by status and headers. */
public class ResponseHeadTest {
    @Test
    public void outcomesOfPlatformResponses() {
        Object[][] cases = {
            {200, null, Outcome.OK},
            {200, "1", Outcome.OK},
            {500, null, Outcome.ERROR},
            {500, "1", Outcome.ERROR},
            {503, "1", Outcome.REJECTED},
            {504, "1", Outcome.REJECTED},
            {503, null, Outcome.ERROR},
            {504, "0", Outcome.ERROR},
            {429, "1", Outcome.ERROR},
            {204, null, Outcome.ERROR},
            {302, null, Outcome.ERROR},
            {400, null, Outcome.ERROR},
        };
        for (Object[] c : cases) {
            HeaderMap headers = new HeaderMap();
            if (c[1] != null) {
                headers.put(new HttpString("X-Unprocessed"), (String) c[1]);
            }
            headers.put(new HttpString("X-Backend-Load"), "{\"queue\":2}");
            ResponseHead head = ResponseHead.decode((Integer) c[0], headers);
            assertEquals(c[0] + " " + c[1], c[2], head.outcome(false));
            assertEquals(2, head.load().queue(), 0);
        }
    }

    /** A plain HTTP endpoint may respond with any status but those that say it is at fault. */
    @Test
    public void outcomesOfForwardedResponses() {
        Object[][] cases = {
            {200, Outcome.OK},
            {201, Outcome.OK},
            {204, Outcome.OK},
            {304, Outcome.OK},
            {404, Outcome.OK},
            {428, Outcome.OK},
            {429, Outcome.ERROR},
            {500, Outcome.ERROR},
            {503, Outcome.ERROR},
            {599, Outcome.ERROR}
        };
        for (Object[] c : cases) {
            assertEquals(
                    c[0].toString(),
                    c[1],
                    ResponseHead.decode((Integer) c[0], new HeaderMap()).outcome(true));
        }
    }
}
