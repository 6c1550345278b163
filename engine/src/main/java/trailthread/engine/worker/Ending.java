package trailthread.engine.worker;

import trailthread.BalancerApi.Load;
import trailthread.BalancerApi.Outcome;

/**
 * How an attempt ended.
 *
 * @param load or null
 * @param made what the worker made, if the outcome is OK
 */
public record Ending(Outcome outcome, long latencyNs, Load load, Made made) {}
