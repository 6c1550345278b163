package trailthread.engine.metrics;

/** What operators may do to the node, on the loop's thread. */
public interface NodeControl {
    /** Leads clients away; calls under way come to their ends. Whether it does, or did already. */
    boolean drain();

    /** Ends the drain; whether the node takes clients again, or never stopped. */
    boolean resume();
}
