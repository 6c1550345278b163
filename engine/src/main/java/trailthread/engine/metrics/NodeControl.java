package trailthread.engine.metrics;

/** What operators may do to the node; called on the loop's thread. */
public interface NodeControl {
    /**
     * Starts draining: clients are asked to go elsewhere, open requests are finished.
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
