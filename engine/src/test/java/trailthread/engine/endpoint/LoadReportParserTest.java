package trailthread.engine.endpoint;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;

import org.junit.Test;
import trailthread.api.LoadReport;

/** Load reports, right and wrong. */
public class LoadReportParserTest {
    private static final double NO = Double.NaN;

    @Test
    public void reportsAreRead() {
        Object[][] cases = {
            {"{\"inflight\":7,\"queue\":2}", new LoadReport(7, 2, NO, NO, NO, NO)},
            {" { \"queue\" : 2.5e0 } ", new LoadReport(NO, 2.5, NO, NO, NO, NO)},
            {"{}", new LoadReport(NO, NO, NO, NO, NO, NO)},
            {
                "{\"util\":0.61,\"latency_ms\":9,\"qps\":1,\"eps\":0}",
                new LoadReport(NO, NO, 0.61, 9, 1, 0)
            },
            {
                "{\"new\":{\"queue\":[9]},\"queue\":1,\"inflight\":null}",
                new LoadReport(NO, 1, NO, NO, NO, NO)
            },
            {"{\"queue\":\"2\"}", new LoadReport(NO, NO, NO, NO, NO, NO)},
        };
        for (Object[] c : cases) {
            assertEquals((String) c[0], c[1], LoadReportParser.parse((String) c[0]));
        }
    }

    @Test
    public void whatIsMalformedIsNone() {
        for (String bad :
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
            assertNull(bad, LoadReportParser.parse(bad));
        }
    }
}
