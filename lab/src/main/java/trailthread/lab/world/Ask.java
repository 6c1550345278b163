package trailthread.lab.world;

import trailthread.BalancerApi.Semantics;
import trailthread.lab.scenario.Scenario.ClassLaw;

/** What a client wants, over all its tries. All that is drawn is drawn at its beginning, whatever becomes of it. */
final class Ask {
    final ClassLaw law;
    final String tenant;
    final double work;
    final long key;
    final long begunAt;
    private final World world;
    private final int zone;
    private final double[] patience;
    private final double[] backoff;
    private final double[] front;
    private int tries;
    private boolean done;
    private boolean mayHaveRun;

    /** What a try came to, as its client sees it. */
    enum Seen { SERVED, REFUSED, FAILED, UNREACHABLE, NOTHING }

    Ask(World world, ClassLaw law, String tenant, double work, long key, int zone, double[] patience, double[] backoff,
            double[] front) {
        this.world = world;
        this.law = law;
        this.tenant = tenant;
        this.work = work;
        this.key = key;
        this.zone = zone;
        this.patience = patience;
        this.backoff = backoff;
        this.front = front;
        this.begunAt = world.now();
    }

    void attempt() {
        long now = world.now();
        long deadline = begunAt + law.rules().deadlineNs();
        if (done || now >= deadline) {
            end(Seen.FAILED);
            return;
        }
        long until = Math.min(deadline, now + (long) (patience[tries] * law.rules().deadlineNs()));
        SimNode node = world.front(zone, front[tries]);
        tries++;
        if (node == null || !node.isUp()) {
            saw(Seen.UNREACHABLE, 0);
        } else {
            node.input(() -> node.take(this, until));
        }
    }

    /** A try has ended so; what the answer advises, in ns, 0: nothing. */
    void saw(Seen seen, long retryAfterNs) {
        if (done) {
            return;
        }
        if (seen == Seen.SERVED) {
            end(seen);
            return;
        }
        mayHaveRun |= seen == Seen.FAILED || seen == Seen.NOTHING;
        boolean harmless = !mayHaveRun || law.rules().semantics() == Semantics.SAFE;
        if (tries >= patience.length || !harmless) {
            end(seen);
            return;
        }
        var clients = world.scenario().clients();
        long wait = (long) (clients.backoffNs() * (1 << Math.min(tries - 1, 10)) * backoff[tries]);
        world.agenda().in(Math.max(wait, clients.heeds() ? retryAfterNs : 0), this::attempt);
    }

    private void end(Seen seen) {
        if (!done) {
            done = true;
            world.figures().ended(law, seen == Seen.SERVED, seen == Seen.REFUSED, begunAt, world.now(), tries);
        }
    }
}
