package trailthread.engine.meter;

import java.util.List;
import trailthread.BalancerApi.Entry;
import trailthread.BalancerApi.ListKind;
import trailthread.BalancerApi.Load;
import trailthread.BalancerApi.Outcome;

/** Keeps nothing. */
final class NoMeter implements Meter {
    @Override
    public void taken(String requestClass) {}

    @Override
    public void answered(String requestClass, Answer answer, long afterNs, long waitedNs) {}

    @Override
    public void gone(String requestClass) {}

    @Override
    public void rejected(Rejection why) {}

    @Override
    public void attemptBegun(String worker) {}

    @Override
    public void attemptSent() {}

    @Override
    public void attemptEnded(String worker, Outcome outcome, long latencyNs, Load load) {}

    @Override
    public void probed(String worker, Outcome outcome, Load load) {}

    @Override
    public void listed(ListKind kind, List<Entry> entries) {}

    @Override
    public void reloaded(boolean taken) {}

    @Override
    public void levelEntered(long now, String level) {}
}
