package trailthread.engine.endpoint;

import trailthread.api.LoadReport;
import trailthread.api.Outcome;

/**
 * How an attempt ended.
 *
 * @param load or null
 * @param made what the endpoint made, if the outcome is OK
 */
public record AttemptResult(
        Outcome outcome, long latencyNs, LoadReport load, EndpointResponse made) {}
