package trailthread.engine.endpoint;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;

/**
 * The head of an endpoint's response, decoded.
 *
 * @param unprocessed whether the endpoint states that it did not process the request
 * @param load the load report, or null
 */
record ResponseHead(int status, boolean unprocessed, LoadReport load) {
    private static final HttpString UNPROCESSED = new HttpString("X-Unprocessed");
    private static final HttpString LOAD = new HttpString("X-Backend-Load");

    static ResponseHead decode(int status, HeaderMap headers) {
        boolean unprocessed =
                headers.count(UNPROCESSED) == 1 && "1".equals(headers.getFirst(UNPROCESSED));
        return new ResponseHead(status, unprocessed, firstValidLoad(headers));
    }

    /** Skips malformed load reports, which invalidate neither the response nor other reports. */
    private static LoadReport firstValidLoad(HeaderMap headers) {
        LoadReport load = null;
        for (int i = 0; load == null && i < headers.count(LOAD); i++) {
            load = LoadReportParser.parse(headers.get(LOAD, i));
        }
        return load;
    }

    /**
     * Returns the outcome of a complete response. A status that the protocol does not define is an
     * {@link Outcome#ERROR}, as the request may have been processed.
     *
     * @param isForwarded whether the endpoint serves plain HTTP, and may respond with any status;
     *     then 5xx is an error, and so is 429, as only the node itself sheds load by quota
     */
    Outcome outcome(boolean isForwarded) {
        if (status == StatusCodes.OK || (isForwarded && isServedByPlainEndpoint())) {
            return Outcome.OK;
        }
        return unprocessed && isUnavailable() ? Outcome.REJECTED : Outcome.ERROR;
    }

    private boolean isServedByPlainEndpoint() {
        return status < StatusCodes.INTERNAL_SERVER_ERROR
                && status != StatusCodes.TOO_MANY_REQUESTS;
    }

    private boolean isUnavailable() {
        return status == StatusCodes.SERVICE_UNAVAILABLE || status == StatusCodes.GATEWAY_TIME_OUT;
    }
}
