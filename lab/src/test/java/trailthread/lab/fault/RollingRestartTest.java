package trailthread.lab.fault;

import static org.junit.Assert.assertEquals;

import java.util.List;
import java.util.stream.Stream;
import org.junit.Test;
import trailthread.lab.event.EventQueue;
import trailthread.lab.random.RandomStreams;
import trailthread.lab.scenario.Scenario.FaultKind;
import trailthread.lab.scenario.Scenario.ScheduledFault;

/** A rolling restart takes one node out of service at a time, however slowly nodes start. */
public class RollingRestartTest {
    private static final long SECOND = 1_000_000_000L;

    private final EventQueue eventQueue = new EventQueue(0);

    /** Supports only restarts. */
    private final class SlowNode implements FaultTarget.Node {
        private final long startDelayNs;
        private boolean serving = true;
        private int restarts;

        private SlowNode(long startDelayNs) {
            this.startDelayNs = startDelayNs;
        }

        @Override
        public boolean isServing() {
            return serving;
        }

        @Override
        public void restart() {
            restarts++;
            kill();
            eventQueue.scheduleAfter(startDelayNs, this::start);
        }

        @Override
        public void kill() {
            serving = false;
        }

        @Override
        public void start() {
            serving = true;
        }

        @Override
        public void reload() {
            throw new AssertionError();
        }

        @Override
        public void pause(long durationNs) {
            throw new AssertionError();
        }
    }

    private record Nodes(List<SlowNode> nodes) implements FaultTarget {
        @Override
        public List<? extends Server> servers() {
            return List.of();
        }

        @Override
        public void setDiscoveryDown(boolean down) {
            throw new AssertionError();
        }

        @Override
        public void isolateZone(String zone) {
            throw new AssertionError();
        }

        @Override
        public void setHeavyTail(double share, double factor) {
            throw new AssertionError();
        }
    }

    @Test
    public void atMostOneNodeIsOutOfServiceAndAllAreRestartedOnce() {
        List<SlowNode> nodes =
                Stream.of(5 * SECOND, SECOND / 10, 7 * SECOND).map(SlowNode::new).toList();
        ScheduledFault fault =
                new ScheduledFault(FaultKind.NODE_RESTART, SECOND, 3 * SECOND, 1, 0, 0, null);
        FaultInjector.schedule(eventQueue, new RandomStreams(3), List.of(fault), new Nodes(nodes));
        nodes.get(0).kill(); // already out of service when its restart is due
        eventQueue.scheduleAt(4 * SECOND, nodes.get(0)::start);
        for (int i = 1; i < 300; i++) {
            eventQueue.runUntil(i * SECOND / 10);
            long out = nodes.stream().filter(n -> !n.isServing()).count();
            assertEquals("out of service at " + eventQueue.now(), Math.min(1, out), out);
        }
        assertEquals(List.of(1, 1, 1), nodes.stream().map(n -> n.restarts).toList());
    }
}
