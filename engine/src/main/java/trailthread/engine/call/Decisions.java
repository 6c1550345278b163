package trailthread.engine.call;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.BalancerApi.Actions;
import trailthread.BalancerApi.Events;

/**
 * Brings events to the module. What it asks for while it handles one is queued and done after it, in order:
 * the module must never be entered again from within an event.
 */
final class Decisions {
    private static final Logger LOG = LoggerFactory.getLogger(Decisions.class);

    private final ArrayDeque<Runnable> asked = new ArrayDeque<>();
    private Events module;
    private boolean busy;

    void setModule(Events module) {
        this.module = module;
    }

    /** Tells the module something; {@code call}, if not null, fails should the module throw. */
    void event(Call call, Consumer<Events> tell) {
        try {
            tell.accept(module);
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
    Actions queueing(Actions target) {
        return new Actions() {
            @Override
            public void send(long id, long timeoutNs, String backend) {
                asked.add(() -> target.send(id, timeoutNs, backend));
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
                asked.add(() -> target.timer(delayNs, token));
            }

            @Override
            public void probe(String backend) {
                asked.add(() -> target.probe(backend));
            }

            @Override
            public void closeIdle(String backend) {
                asked.add(() -> target.closeIdle(backend));
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
