package trailthread.engine.endpoint;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;

/** The head of an endpoint's answer, decoded. */
record ResponseHead(int status, boolean unprocessed, LoadReport load) {
    private static final HttpString UNPROCESSED = new HttpString("X-Unprocessed");
    private static final HttpString LOAD = new HttpString("X-Backend-Load");

    static ResponseHead decode(int status, HeaderMap headers) {
        boolean told = headers.count(UNPROCESSED) == 1 && "1".equals(headers.getFirst(UNPROCESSED));
        return new ResponseHead(status, told, load(headers));
    }

    /**
     * The first report that can be read: one that can't does not spoil the answer, nor the next
     * report.
     */
    private static LoadReport load(HeaderMap headers) {
        LoadReport load = null;
        for (int i = 0; load == null && i < headers.count(LOAD); i++) {
            load = LoadReportParser.parse(headers.get(LOAD, i));
        }
        return load;
    }

    /**
     * What a whole answer means; what the protocol does not know claims least: it may have run.
     *
     * @param plain whether an endpoint may answer with any status. What says that the endpoint is
     *     at fault has failed, and 429 too, as only the node's own module refuses
     */
    Outcome outcome(boolean plain) {
        if (status == 200 || (plain && status < 500 && status != 429)) {
            return Outcome.OK;
        }
        return unprocessed && (status == 503 || status == 504) ? Outcome.REJECTED : Outcome.ERROR;
    }
}
