package trailthread.engine.metrics;

import java.util.List;
import java.util.Map;

/** What the node says of itself when asked, on the loop's thread and at once. */
public interface NodeStatus {
    /** Whether the front may send clients here. */
    boolean isReady();

    /** Every level of service, from the full one to the least. */
    List<String> levels();

    /**
     * What the level rests on, by names that end in their unit, such as {@code lateness_seconds}.
     */
    Map<String, Double> readings();

    /** How many connections to clients there are in each state; each is in one. */
    Map<String, Integer> clientConnections();

    /** How many connections to endpoints there are in each state; each is in one. */
    Map<String, Integer> endpointConnections();

    /** How many of the listed endpoints the node avoids just now. */
    int avoidedEndpoints();

    /** How many file descriptors the node may hold. */
    int descriptorLimit();
}
