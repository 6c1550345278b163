package trailthread.lab.clients;

import trailthread.api.Idempotency;
import trailthread.lab.scenario.Scenario.ClassModel;

/**
 * An operation of a client: one or more attempts, each of which is one request to a node. All its
 * random numbers are drawn when it begins, so they do not depend on the results of its attempts.
 */
public final class ClientOperation {
    /** The result of an attempt as its client sees it. */
    public enum AttemptResult {
        SERVED,
        REJECTED,
        FAILED,
        /**
         * No node was reachable, or the node closed the connection without reading the request:
         * nothing has been executed.
         */
        UNREACHABLE,
        /** There was no response; the request may have been executed. */
        NO_RESPONSE
    }

    /**
     * The random numbers of each attempt.
     *
     * @param timeoutShare the client timeout, as a share of the deadline
     * @param backoff the wait before the next attempt, as a share of the nominal backoff
     * @param nodeChoice selects the node
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

    public ClassModel classModel() {
        return classModel;
    }

    /** The tenant, or null. */
    public String tenant() {
        return tenant;
    }

    /** The work of the request, in ns on a standard core. */
    public double work() {
        return work;
    }

    /** The key of the object that the request concerns; 0 if none. */
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
        int attempt = attempts++;
        clients.sink()
                .startAttempt(
                        this,
                        zone,
                        draws.nodeChoice[attempt],
                        Math.min(
                                deadline,
                                now
                                        + (long)
                                                (draws.timeoutShare[attempt]
                                                        * classModel.requestClass().deadlineNs())));
    }

    /**
     * Reports the end of an attempt.
     *
     * @param retryAfterNs the Retry-After of the response; 0 if it had none
     */
    public void attemptEnded(AttemptResult result, long retryAfterNs) {
        if (done) {
            return;
        }
        mayHaveRun |= result == AttemptResult.FAILED || result == AttemptResult.NO_RESPONSE;
        boolean mayRetry =
                !mayHaveRun || classModel.requestClass().idempotency() == Idempotency.IDEMPOTENT;
        if (result == AttemptResult.SERVED || attempts >= draws.timeoutShare.length || !mayRetry) {
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
                            result == AttemptResult.REJECTED,
                            startedAt,
                            clients.now(),
                            attempts);
        }
    }
}
