package trailthread.engine.endpoint;

import trailthread.api.LoadReport;
import trailthread.api.Outcome;

/**
 * How an attempt ended.
 *
 * @param latencyNs the endpoint's latency in nanoseconds; negative: not known. If no complete
 *     response was received, the duration of the attempt
 * @param load the endpoint's load report, or null
 * @param response the endpoint's response if the outcome is OK, else null
 */
public record AttemptResult(
        Outcome outcome, long latencyNs, LoadReport load, EndpointResponse response) {}
