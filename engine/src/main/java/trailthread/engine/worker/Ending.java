package trailthread.engine.worker;

import trailthread.api.LoadReport;
import trailthread.api.Outcome;

/**
 * How an attempt ended.
 *
 * @param load or null
 * @param made what the worker made, if the outcome is OK
 */
public record Ending(Outcome outcome, long latencyNs, LoadReport load, Made made) {}
