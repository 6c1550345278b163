package trailthread;

/**
 * Bounds the retries of requests that may have run to a share of all requests (Finagle's retry
 * budget; Google SRE book, chapter 22): retries must not double the load of endpoints that fail.
 */
final class RetryBudget {
    /** Retries earned by each request. */
    private static final double TOKENS_PER_REQUEST = 0.2;

    /** Most retries saved up. */
    private static final double MAX_TOKENS = 20;

    private double tokens = MAX_TOKENS;

    /** A request has arrived. */
    void deposit() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
    }

    boolean permitsRetry() {
        return tokens >= 1;
    }

    void withdraw() {
        tokens -= 1;
    }
}
