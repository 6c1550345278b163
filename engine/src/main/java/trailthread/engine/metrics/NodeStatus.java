package trailthread.engine.metrics;

import java.util.List;
import java.util.Map;

/** The node's state on request; called on the loop's thread, it must not block. */
public interface NodeStatus {
    /** Whether clients may be sent here. */
    boolean isReady();

    /** Every degradation level, from full service to the least. */
    List<String> levels();

    /**
     * The readings that determine the level, by names that end in their unit, such as {@code
     * lateness_seconds}.
     */
    Map<String, Double> readings();

    /** How many connections to clients there are by state; each is in one. */
    Map<String, Integer> clientConnections();

    /** How many connections to endpoints there are by state; each is in one. */
    Map<String, Integer> endpointConnections();

    /** How many of the listed endpoints the balancer avoids now. */
    int avoidedEndpoints();

    /** How many file descriptors the node may hold. */
    int descriptorLimit();
}
