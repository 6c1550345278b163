package trailthread;

/**
 * Limits the retries of requests that may have run to a share of all requests, so that retries do
 * not multiply the load of endpoints that fail (Finagle's retry budget; Google SRE book, chapter
 * 22).
 */
final class RetryBudget {
    /** Retries earned by each request. */
    private static final double TOKENS_PER_REQUEST = 0.2;

    /** The most retries that are saved up. */
    private static final double MAX_TOKENS = 20;

    private double tokens = MAX_TOKENS;

    /** Adds the part of a retry that a request earns when it arrives. */
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
