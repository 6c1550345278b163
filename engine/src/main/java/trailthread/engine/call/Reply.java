package trailthread.engine.call;

import trailthread.engine.worker.Made;

/** How one call is answered: by exactly one of these. */
public interface Reply {
    /** What a worker made. */
    void served(Made made);

    /** An overload reply: trying again is harmless; 0: no advice on when. */
    void overload(long retryAfterNs);

    /** The call failed; it may have had its effect. */
    void failed();
}
