package trailthread.engine.metrics;

/** The operations that operators may perform on the node; called on the loop's thread. */
public interface NodeControl {
    /**
     * Starts draining: asks clients to use other nodes, and finishes open requests.
     *
     * @return whether the node is draining now
     */
    boolean drain();

    /**
     * Stops draining.
     *
     * @return whether the node admits clients now
     */
    boolean resume();
}
