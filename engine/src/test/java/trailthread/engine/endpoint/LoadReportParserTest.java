package trailthread.engine.endpoint;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;

import org.junit.Test;
import trailthread.api.LoadReport;

/** Tests {@link LoadReportParser}. */
public class LoadReportParserTest {
    private static final double MISSING = Double.NaN;

    @Test
    public void validReportsAreParsed() {
        Object[][] cases = {
            {
                "{\"inflight\":7,\"queue\":2}",
                new LoadReport(7, 2, MISSING, MISSING, MISSING, MISSING)
            },
            {
                " { \"queue\" : 2.5e0 } ",
                new LoadReport(MISSING, 2.5, MISSING, MISSING, MISSING, MISSING)
            },
            {"{}", new LoadReport(MISSING, MISSING, MISSING, MISSING, MISSING, MISSING)},
            {
                "{\"util\":0.61,\"latency_ms\":9,\"qps\":1,\"eps\":0}",
                new LoadReport(MISSING, MISSING, 0.61, 9, 1, 0)
            },
            {
                "{\"new\":{\"queue\":[9]},\"queue\":1,\"inflight\":null}",
                new LoadReport(MISSING, 1, MISSING, MISSING, MISSING, MISSING)
            },
            {
                "{\"queue\":\"2\"}",
                new LoadReport(MISSING, MISSING, MISSING, MISSING, MISSING, MISSING)
            },
        };
        for (Object[] c : cases) {
            assertEquals((String) c[0], c[1], LoadReportParser.parse((String) c[0]));
        }
    }

    @Test
    public void malformedReportsAreIgnored() {
        for (String malformed :
                new String[] {
                    null,
                    "",
                    "7",
                    "[]",
                    "{",
                    "{\"queue\":}",
                    "{\"queue\":2",
                    "{queue:2}",
                    "{\"queue\":2}x",
                    "{\"queue\":NaN}",
                    "null",
                    "{\"queue\":2,}",
                    "{\"queue\":-1,\"inflight\":1}",
                    "{\"queue\":1e99}",
                    "{\"queue\":1e999}"
                }) {
            assertNull(malformed, LoadReportParser.parse(malformed));
        }
    }
}
