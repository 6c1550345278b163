package trailthread.engine.call;

/** How one call is answered: by exactly one of these. */
public interface Reply {
    /** What a worker made. */
    void served(byte[] body);

    /** An overload reply: trying again is harmless; 0: no advice on when. */
    void overload(long retryAfterNs);

    /** The call failed; it may have had its effect. */
    void failed();
}
