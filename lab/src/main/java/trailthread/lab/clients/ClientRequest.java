package trailthread.lab.clients;

import trailthread.api.Idempotency;
import trailthread.lab.scenario.Scenario.ClassLaw;

/**
 * What a client wants, over all its tries. All that is drawn is drawn at its beginning, whatever
 * becomes of it.
 */
public final class ClientRequest {
    /** What a try came to, as its client sees it. */
    public enum Seen {
        SERVED,
        REFUSED,
        FAILED,
        /** No node was there, or it closed the connection unheard: nothing has run. */
        UNREACHABLE,
        /** No answer; it may have run. */
        NOTHING
    }

    /**
     * What is drawn for each try: how long it lasts, how long the wait after it, and which node.
     */
    record Draws(double[] patience, double[] backoff, double[] front) {}

    private final ClientPopulation clients;
    private final ClassLaw law;
    private final String tenant;
    private final double work;
    private final long key;
    private final long begunAt;
    private final int zone;
    private final Draws draws;
    private int tries;
    private boolean done;
    private boolean mayHaveRun;

    ClientRequest(
            ClientPopulation clients,
            ClassLaw law,
            String tenant,
            double work,
            long key,
            int zone,
            Draws draws) {
        this.clients = clients;
        this.law = law;
        this.tenant = tenant;
        this.work = work;
        this.key = key;
        this.zone = zone;
        this.draws = draws;
        this.begunAt = clients.now();
    }

    /** Its class. */
    public ClassLaw law() {
        return law;
    }

    /** Who asks; null: nobody by name. */
    public String tenant() {
        return tenant;
    }

    /** In ns on a standard core. */
    public double work() {
        return work;
    }

    /** What it concerns; 0: nothing. */
    public long key() {
        return key;
    }

    void attempt() {
        long now = clients.now();
        long deadline = begunAt + law.rules().deadlineNs();
        if (done || now >= deadline) {
            end(Seen.FAILED);
            return;
        }
        int number = tries++;
        clients.front()
                .take(
                        this,
                        zone,
                        draws.front[number],
                        Math.min(
                                deadline,
                                now + (long) (draws.patience[number] * law.rules().deadlineNs())));
    }

    /** A try has ended so; what the answer advises, in ns, 0: nothing. */
    public void saw(Seen seen, long retryAfterNs) {
        if (done) {
            return;
        }
        mayHaveRun |= seen == Seen.FAILED || seen == Seen.NOTHING;
        boolean harmless = !mayHaveRun || law.rules().idempotency() == Idempotency.IDEMPOTENT;
        if (seen == Seen.SERVED || tries >= draws.patience.length || !harmless) {
            end(seen);
        } else {
            clients.later(tries, draws.backoff[tries - 1], retryAfterNs, this::attempt);
        }
    }

    private void end(Seen seen) {
        if (!done) {
            done = true;
            clients.ended();
            clients.metrics()
                    .ended(
                            law,
                            seen == Seen.SERVED,
                            seen == Seen.REFUSED,
                            begunAt,
                            clients.now(),
                            tries);
        }
    }
}
