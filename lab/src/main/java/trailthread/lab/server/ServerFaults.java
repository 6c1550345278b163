package trailthread.lab.server;

/** What is wrong with a server just now: shares of its requests, 0 to 1; all 0 at first. */
public final class ServerFaults {
    /** Failed at once. */
    public double failing;

    /** Done, and the answer is lost. */
    public double losing;

    /** Done, and the connection is reset. */
    public double resetting;

    /** Done, and what comes can't be read. */
    public double spoiling;

    /** How long answers take to come, byte by byte, in ns. */
    public long drips;

    /** Nothing comes or goes, and nothing is said. */
    public boolean cut;

    /** Whether a request sent now would be served as usual. */
    public boolean none() {
        return failing + losing + resetting + spoiling == 0 && drips == 0 && !cut;
    }
}
