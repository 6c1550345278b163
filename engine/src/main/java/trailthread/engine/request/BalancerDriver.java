package trailthread.engine.request;

import java.util.ArrayDeque;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.api.BalancerActions;
import trailthread.api.BalancerEvents;

/**
 * Brings events to the module. What it asks for while it handles one is queued and done after it,
 * in order: the module must never be entered again from within an event.
 */
final class BalancerDriver {
    private static final Logger LOG = LoggerFactory.getLogger(BalancerDriver.class);

    /** One event, told at this time. */
    interface Telling {
        void tell(BalancerEvents module, long now);
    }

    private final LongSupplier clock;
    private final ArrayDeque<Runnable> asked = new ArrayDeque<>();
    private BalancerEvents module;
    private boolean busy;

    /** When the last event was, for the module. */
    private long eventAt;

    /**
     * @param clock the time of events, in ns
     */
    BalancerDriver(LongSupplier clock) {
        this.clock = clock;
        eventAt = clock.getAsLong();
    }

    void setModule(BalancerEvents module) {
        this.module = module;
    }

    /** Tells the module something; {@code call}, if not null, fails should the module throw. */
    void event(ActiveRequest call, Telling event) {
        eventAt = clock.getAsLong();
        try {
            event.tell(module, eventAt);
        } catch (RuntimeException e) {
            LOG.error("the decision module failed", e);
            if (call != null) {
                asked.add(call::fail);
            }
        }
        if (busy) {
            return; // what is under way does the rest
        }
        busy = true;
        try {
            for (Runnable action = asked.poll(); action != null; action = asked.poll()) {
                run(action);
            }
        } finally {
            busy = false;
        }
    }

    private static void run(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.error("an action of the decision module failed", e);
        }
    }

    /** The actions that the module sees: each is queued. */
    BalancerActions queueing(BalancerActions target) {
        return new BalancerActions() {
            @Override
            public void send(long id, long timeoutNs, long writtenBy, String endpoint) {
                asked.add(() -> target.send(id, timeoutNs, writtenBy, endpoint));
            }

            @Override
            public void refuse(long id, long retryAfterNs) {
                asked.add(() -> target.refuse(id, retryAfterNs));
            }

            @Override
            public void fail(long id) {
                asked.add(() -> target.fail(id));
            }

            @Override
            public void cancel(long id, int attempt) {
                asked.add(() -> target.cancel(id, attempt));
            }

            @Override
            public void timer(long delayNs, long token) {
                // Guards against code that runs cold: a delay counts from the event, however long
                // after it is set.
                long dueAt = eventAt + delayNs;
                asked.add(() -> target.timer(dueAt - clock.getAsLong(), token));
            }

            @Override
            public void probe(String endpoint) {
                asked.add(() -> target.probe(endpoint));
            }

            @Override
            public void closeIdle(String endpoint) {
                asked.add(() -> target.closeIdle(endpoint));
            }

            @Override
            public void tell(int peer, byte[] data) {
                asked.add(() -> target.tell(peer, data));
            }

            @Override
            public void watch(boolean on) {
                asked.add(() -> target.watch(on));
            }

            @Override
            public void fetch() {
                asked.add(target::fetch);
            }

            @Override
            public void log(String text) {
                asked.add(() -> target.log(text));
            }
        };
    }
}
