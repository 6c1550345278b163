package trailthread.degradation;

import java.util.function.LongToDoubleFunction;
import trailthread.api.LoadReport;

/**
 * The load and the faults of a simulated fleet.
 *
 * @param load the load offered at a time, ns, as a share of the capacity of all endpoints
 * @param failing share of the endpoints that fail every request at once
 * @param reportAgeNs how old the load reports are, ns
 * @param foreignRequests how many requests of other clients endpoint 0 always holds
 * @param reporter what endpoints report of their load
 */
record FleetScenario(
        LongToDoubleFunction load,
        double failing,
        long reportAgeNs,
        int foreignRequests,
        Reporter reporter) {
    /** What an endpoint reports, given its true load; null: nothing. */
    interface Reporter {
        LoadReport report(int endpoint, long now, LoadReport truth);
    }

    FleetScenario(LongToDoubleFunction load, double failing, long reportAgeNs) {
        this(load, failing, reportAgeNs, 0, (endpoint, now, truth) -> truth);
    }
}
