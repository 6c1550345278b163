package trailthread.engine.request;

import java.util.ArrayDeque;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.api.BalancerActions;
import trailthread.api.BalancerEvents;

/**
 * Delivers events to the balancer. The actions that it requests while it handles an event are
 * queued and run after the event, in order: the balancer must not be called while it handles an
 * event.
 */
final class BalancerDriver {
    private static final Logger LOG = LoggerFactory.getLogger(BalancerDriver.class);

    /** An event that can be delivered to the balancer. */
    interface BalancerEvent {
        void deliver(BalancerEvents balancer, long now);
    }

    private final LongSupplier clock;
    private final ArrayDeque<Runnable> queuedActions = new ArrayDeque<>();
    private BalancerEvents balancer;
    private boolean runningActions;

    /** When the latest event was delivered, ns. */
    private long eventAt;

    /**
     * @param clock returns the time of an event, in nanoseconds
     */
    BalancerDriver(LongSupplier clock) {
        this.clock = clock;
        eventAt = clock.getAsLong();
    }

    void setBalancer(BalancerEvents balancer) {
        this.balancer = balancer;
    }

    /** Delivers an event, as below, with no request to fail if the balancer throws. */
    void deliver(BalancerEvent event) {
        deliver(null, event);
    }

    /**
     * Delivers an event, then runs the actions that the balancer requested. An exception of the
     * balancer is logged.
     *
     * @param request fails if the balancer throws; may be null
     */
    void deliver(ActiveRequest request, BalancerEvent event) {
        eventAt = clock.getAsLong();
        try {
            event.deliver(balancer, eventAt);
        } catch (RuntimeException e) {
            LOG.error("the balancer threw an exception while it handled an event", e);
            if (request != null) {
                queuedActions.add(request::fail);
            }
        }
        if (!runningActions) {
            runQueuedActions();
        }
    }

    private void runQueuedActions() {
        runningActions = true;
        try {
            // An action may deliver an event, which appends to the queue.
            for (Runnable action = queuedActions.poll();
                    action != null;
                    action = queuedActions.poll()) {
                run(action);
            }
        } finally {
            runningActions = false;
        }
    }

    private static void run(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.error("an action that the balancer requested threw an exception", e);
        }
    }

    /**
     * Returns the actions to pass to the balancer: each is queued, and executed after the event.
     */
    BalancerActions queueingActions(BalancerActions executor) {
        return new QueueingActions(executor);
    }

    private final class QueueingActions implements BalancerActions {
        private final BalancerActions executor;

        QueueingActions(BalancerActions executor) {
            this.executor = executor;
        }

        @Override
        public void send(long id, long timeoutNs, long writeDeadline, String endpoint) {
            queuedActions.add(() -> executor.send(id, timeoutNs, writeDeadline, endpoint));
        }

        @Override
        public void reject(long id, long retryAfterNs) {
            queuedActions.add(() -> executor.reject(id, retryAfterNs));
        }

        @Override
        public void fail(long id) {
            queuedActions.add(() -> executor.fail(id));
        }

        @Override
        public void cancel(long id, int attempt) {
            queuedActions.add(() -> executor.cancel(id, attempt));
        }

        /**
         * The delay counts from the delivery of the event. Prevents timers from firing late by the
         * time that the balancer and the actions before this one took.
         */
        @Override
        public void setTimer(long delayNs, long token) {
            long dueAt = eventAt + delayNs;
            queuedActions.add(() -> executor.setTimer(dueAt - clock.getAsLong(), token));
        }

        @Override
        public void checkHealth(String endpoint) {
            queuedActions.add(() -> executor.checkHealth(endpoint));
        }

        @Override
        public void closeIdleConnections(String endpoint) {
            queuedActions.add(() -> executor.closeIdleConnections(endpoint));
        }

        @Override
        public void sendToPeer(int peer, byte[] data) {
            queuedActions.add(() -> executor.sendToPeer(peer, data));
        }

        @Override
        public void watchList(boolean on) {
            queuedActions.add(() -> executor.watchList(on));
        }

        @Override
        public void fetchList() {
            queuedActions.add(executor::fetchList);
        }

        @Override
        public void log(String text) {
            queuedActions.add(() -> executor.log(text));
        }
    }
}
