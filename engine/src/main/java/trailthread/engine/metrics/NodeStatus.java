package trailthread.engine.metrics;

import java.util.List;
import java.util.Map;

/**
 * The current state of the node. The methods are called on the loop's thread, and must not block.
 */
public interface NodeStatus {
    /** Returns whether clients may be sent to this node. */
    boolean isReady();

    /** Returns the names of all degradation levels, from full service to the most degraded. */
    List<String> levels();

    /**
     * Returns the readings that determine the level, by names that end in their unit, such as
     * {@code lateness_seconds}.
     */
    Map<String, Double> readings();

    /** Returns the number of connections to clients by state; each connection is in one state. */
    Map<String, Integer> clientConnections();

    /** Returns the number of connections to endpoints by state; each connection is in one state. */
    Map<String, Integer> endpointConnections();

    /** Returns how many bytes of the memory budget requests and responses hold. */
    long messageMemoryBytes();

    /** Returns the number of listed endpoints that the balancer avoids now. */
    int avoidedEndpoints();

    /** Returns the maximum number of file descriptors that the node may hold. */
    int descriptorLimit();
}
