package trailthread.lab.server;

/** What is wrong with a server just now: shares of its requests, 0 to 1; all 0 at first. */
public final class ServerFaults {
    /** Failed at once. */
    public double errorShare;

    /** Done, and the answer is lost. */
    public double lostResponseShare;

    /** Done, and the connection is reset. */
    public double resetShare;

    /** Done, and what comes can't be read. */
    public double garbageShare;

    /** How long answers take to come, byte by byte, in ns. */
    public long trickleNs;

    /** Nothing comes or goes, and nothing is said. */
    public boolean isolated;

    /** Whether a request sent now would be served as usual. */
    public boolean noneActive() {
        return errorShare + lostResponseShare + resetShare + garbageShare == 0
                && trickleNs == 0
                && !isolated;
    }
}
