package trailthread.daemon.admin;

import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import trailthread.engine.metrics.NodeStatus;

/** A fixed node status, which counts the snapshots that are taken. */
final class FixedNodeStatus implements NodeStatus {
    final Semaphore snapshots = new Semaphore(0);
    volatile boolean ready = true;

    @Override
    public boolean isReady() {
        return ready;
    }

    @Override
    public List<String> levels() {
        snapshots.release();
        return List.of("full", "saving", "least");
    }

    @Override
    public Map<String, Double> readings() {
        return Map.of("lateness_seconds", 0.25, "unknown_ratio", Double.NaN);
    }

    @Override
    public Map<String, Integer> clientConnections() {
        return Map.of("idle", 3, "busy", 2);
    }

    @Override
    public Map<String, Integer> endpointConnections() {
        return Map.of("idle", 1);
    }

    @Override
    public long messageMemoryBytes() {
        return 4096;
    }

    @Override
    public int avoidedEndpoints() {
        return 7;
    }

    @Override
    public int descriptorLimit() {
        return 1024;
    }
}
