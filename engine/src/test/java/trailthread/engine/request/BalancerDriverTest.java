package trailthread.engine.request;

import static org.junit.Assert.assertEquals;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import trailthread.api.BalancerActions;
import trailthread.api.BalancerEvents;

/** The module is never entered again from within an event, and its failure is one event's. */
public class BalancerDriverTest {
    private final List<String> log = new ArrayList<>();
    private long now;
    private final BalancerDriver decisions = new BalancerDriver(() -> now);

    /** Something of this type whose every call is logged by name, and then done. */
    private <T> T logged(Class<T> type, Runnable then) {
        Class<?>[] types = {type};
        return type.cast(
                Proxy.newProxyInstance(
                        type.getClassLoader(),
                        types,
                        (proxy, method, args) -> {
                            log.add(method.getName());
                            then.run();
                            log.add("/" + method.getName());
                            return null;
                        }));
    }

    @Test
    public void actionsWaitForTheEventToEnd() {
        BalancerActions seen =
                decisions.queueing(
                        logged(
                                BalancerActions.class,
                                () -> {
                                    if (log.size()
                                            == 3) { // an action that ends at once, as a send to a
                                        // endpoint that is gone
                                        decisions.event(null, (module, now) -> module.gone(2, 7));
                                    }
                                }));
        decisions.setModule(
                logged(
                        BalancerEvents.class,
                        () -> {
                            if (log.size() == 1) {
                                seen.send(7, 0, Long.MAX_VALUE, "w");
                                seen.watch(true);
                            }
                        }));
        decisions.event(null, (module, now) -> module.timer(1, 0));
        assertEquals(
                List.of("timer", "/timer", "send", "gone", "/gone", "/send", "watch", "/watch"),
                log);
    }

    @Test
    public void aModuleThatThrowsFailsOneEvent() {
        decisions.setModule(
                logged(
                        BalancerEvents.class,
                        () -> {
                            if (log.size() == 1) {
                                throw new IllegalStateException(
                                        "scripted: this trace is part of the test");
                            }
                        }));
        decisions.event(null, (module, now) -> module.timer(1, 0));
        decisions.event(null, (module, now) -> module.gone(2, 7));
        assertEquals(List.of("timer", "gone", "/gone"), log);
    }

    @Test
    public void aDelayCountsFromTheEventHoweverLateItIsSet() {
        List<Object> set = new ArrayList<>();
        BalancerActions seen =
                decisions.queueing(
                        (BalancerActions)
                                Proxy.newProxyInstance(
                                        BalancerActions.class.getClassLoader(),
                                        new Class<?>[] {BalancerActions.class},
                                        (proxy, method, args) -> {
                                            now += 30;
                                            set.addAll(List.of(args));
                                            return null;
                                        }));
        decisions.setModule(
                logged(
                        BalancerEvents.class,
                        () -> {
                            now += 7; // the module itself runs cold
                            seen.timer(100, 1);
                            seen.timer(100, 2);
                        }));
        decisions.event(null, (module, at) -> module.gone(at, 7));
        assertEquals(List.of(93L, 1L, 63L, 2L), set);
    }
}
