package trailthread.lab.clients;

import trailthread.api.Idempotency;
import trailthread.lab.scenario.Scenario.ClassModel;

/**
 * What a client wants, over all its attempts. All that is drawn is drawn at its beginning, whatever
 * becomes of it.
 */
public final class ClientOperation {
    /** What an attempt came to, as its client sees it. */
    public enum AttemptResult {
        SERVED,
        REFUSED,
        FAILED,
        /** No node was there, or it closed the connection unheard: nothing has run. */
        UNREACHABLE,
        /** No answer; it may have run. */
        NO_RESPONSE
    }

    /**
     * What is drawn for each attempt: how long it lasts, how long the wait after it, and which
     * node.
     */
    record RandomDraws(double[] timeoutShare, double[] backoff, double[] nodeChoice) {}

    private final ClientPopulation clients;
    private final ClassModel classModel;
    private final String tenant;
    private final double work;
    private final long key;
    private final long startedAt;
    private final int zone;
    private final RandomDraws draws;
    private int attempts;
    private boolean done;
    private boolean mayHaveRun;

    ClientOperation(
            ClientPopulation clients,
            ClassModel classModel,
            String tenant,
            double work,
            long key,
            int zone,
            RandomDraws draws) {
        this.clients = clients;
        this.classModel = classModel;
        this.tenant = tenant;
        this.work = work;
        this.key = key;
        this.zone = zone;
        this.draws = draws;
        this.startedAt = clients.now();
    }

    /** Its class. */
    public ClassModel classModel() {
        return classModel;
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

    void startAttempt() {
        long now = clients.now();
        long deadline = startedAt + classModel.requestClass().deadlineNs();
        if (done || now >= deadline) {
            end(AttemptResult.FAILED);
            return;
        }
        int number = attempts++;
        clients.sink()
                .startAttempt(
                        this,
                        zone,
                        draws.nodeChoice[number],
                        Math.min(
                                deadline,
                                now
                                        + (long)
                                                (draws.timeoutShare[number]
                                                        * classModel.requestClass().deadlineNs())));
    }

    /** An attempt has ended so; what the answer advises, in ns, 0: nothing. */
    public void attemptEnded(AttemptResult result, long retryAfterNs) {
        if (done) {
            return;
        }
        mayHaveRun |= result == AttemptResult.FAILED || result == AttemptResult.NO_RESPONSE;
        boolean harmless =
                !mayHaveRun || classModel.requestClass().idempotency() == Idempotency.IDEMPOTENT;
        if (result == AttemptResult.SERVED || attempts >= draws.timeoutShare.length || !harmless) {
            end(result);
        } else {
            clients.scheduleRetry(
                    attempts, draws.backoff[attempts - 1], retryAfterNs, this::startAttempt);
        }
    }

    private void end(AttemptResult result) {
        if (!done) {
            done = true;
            clients.operationEnded();
            clients.metrics()
                    .recordOperation(
                            classModel,
                            result == AttemptResult.SERVED,
                            result == AttemptResult.REFUSED,
                            startedAt,
                            clients.now(),
                            attempts);
        }
    }
}
