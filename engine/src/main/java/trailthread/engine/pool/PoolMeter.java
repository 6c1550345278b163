package trailthread.engine.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import trailthread.BalancerApi.Entry;
import trailthread.BalancerApi.ListKind;
import trailthread.BalancerApi.Load;
import trailthread.BalancerApi.Outcome;
import trailthread.BalancerApi.State;
import trailthread.engine.meter.Answer;
import trailthread.engine.meter.Meter;
import trailthread.engine.meter.Rejection;

/** Tells the operators' meter of one pool: classes and workers are called pool/name there. */
final class PoolMeter implements Meter {
    private final String prefix;
    private final Meter operators;
    private final Map<String, Entry> listed = new HashMap<>();

    PoolMeter(String pool, Meter operators) {
        this.prefix = pool + "/";
        this.operators = operators;
    }

    @Override
    public void taken(String requestClass) {
        operators.taken(prefix + requestClass);
    }

    @Override
    public void answered(String requestClass, Answer answer, long afterNs, long waitedNs) {
        operators.answered(prefix + requestClass, answer, afterNs, waitedNs);
    }

    @Override
    public void gone(String requestClass) {
        operators.gone(prefix + requestClass);
    }

    @Override
    public void rejected(Rejection why) {
        operators.rejected(why);
    }

    @Override
    public void attemptBegun(String worker) {
        operators.attemptBegun(prefix + worker);
    }

    @Override
    public void attemptSent() {
        operators.attemptSent();
    }

    @Override
    public void attemptEnded(String worker, Outcome outcome, long latencyNs, Load load) {
        operators.attemptEnded(prefix + worker, outcome, latencyNs, load);
    }

    @Override
    public void probed(String worker, Outcome outcome, Load load) {
        operators.probed(prefix + worker, outcome, load);
    }

    /** The meter holds the workers of all pools, so a whole list of one is told as what changed. */
    @Override
    public void listed(ListKind kind, List<Entry> entries) {
        List<Entry> changes = new ArrayList<>();
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            Map<String, Entry> left = new HashMap<>(listed);
            entries.forEach(entry -> left.remove(entry.backend()));
            left.values().forEach(entry -> changes.add(named(entry, State.GONE)));
            listed.clear();
        }
        for (Entry entry : entries) {
            changes.add(named(entry, entry.state()));
            if (entry.state() == State.GONE) {
                listed.remove(entry.backend());
            } else {
                listed.put(entry.backend(), entry);
            }
        }
        operators.listed(ListKind.DELTA, changes);
    }

    /** The pool is no more, nor are its workers. */
    void ended() {
        listed(ListKind.FULL, List.of());
    }

    private Entry named(Entry entry, State state) {
        return new Entry(
                prefix + entry.backend(),
                entry.weight(),
                state,
                entry.zone(),
                entry.readyAtNs(),
                entry.cell());
    }

    @Override
    public void reloaded(boolean taken) {
        operators.reloaded(taken);
    }

    @Override
    public void levelEntered(long now, String level) {
        operators.levelEntered(now, level);
    }
}
