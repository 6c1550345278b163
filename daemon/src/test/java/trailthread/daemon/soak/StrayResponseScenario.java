package trailthread.daemon.soak;

import java.util.List;

/**
 * Responses that servers send without a request, on the connection of their last response.
 *
 * @param stray the bytes of a stray; {@link #COPY}: those of the response before; {@link #NONE}:
 *     there are none
 * @param minDelayMs from a whole response to the stray after it, in milliseconds
 * @param clients the number of clients, each of which sends one request after another
 */
record StrayResponseScenario(String stray, int minDelayMs, int maxDelayMs, int clients) {
    /** Stands for a copy of the response before. */
    static final String COPY = "copy";

    /** Stands for a response at once on half of the new connections, and none later. */
    static final String GREETING = "greeting";

    /** Stands for no stray at all. */
    static final String NONE = "none";

    private static final int CLIENTS = 10;
    private static final int CROWD = 40;
    private static final String REJECTION =
            "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String ERROR = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";

    /** The scenarios of every build: no strays, and each kind of stray, soon and late. */
    static final List<StrayResponseScenario> ALL =
            List.of(
                    new StrayResponseScenario(NONE, 0, 1, CLIENTS),
                    new StrayResponseScenario(COPY, 0, 4, CLIENTS),
                    new StrayResponseScenario(COPY, 10, 40, CROWD),
                    new StrayResponseScenario(REJECTION, 0, 4, CLIENTS),
                    new StrayResponseScenario(REJECTION, 10, 40, CROWD),
                    new StrayResponseScenario(REJECTION, 40, 80, CLIENTS),
                    new StrayResponseScenario(ERROR, 0, 40, CLIENTS));

    /**
     * The scenarios for runs by hand: these may break rules until the first stray of a server is
     * noticed.
     */
    static final List<StrayResponseScenario> OPEN =
            List.of(
                    new StrayResponseScenario(GREETING, 0, 1, CLIENTS),
                    new StrayResponseScenario(COPY, 60, 150, CLIENTS),
                    new StrayResponseScenario(REJECTION, 60, 150, CLIENTS),
                    new StrayResponseScenario(REJECTION, 120, 300, CROWD));

    /** Returns whether strays follow responses. */
    boolean hasStrays() {
        return !stray.equals(NONE) && !stray.equals(GREETING);
    }

    /** Returns whether strays are sent on new connections. */
    boolean hasGreetings() {
        return stray.equals(GREETING);
    }

    /** Returns the bytes of a stray after this response. */
    String strayAfter(String response) {
        return stray.equals(COPY) ? response : stray;
    }

    @Override
    public String toString() {
        String kind = stray.lines().findFirst().orElseThrow();
        return kind + " after " + minDelayMs + " to " + maxDelayMs + " ms, " + clients + " clients";
    }
}
