package trailthread.engine.request;

import static org.junit.Assert.assertEquals;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import trailthread.api.BalancerActions;
import trailthread.api.BalancerEvents;

/** The balancer is never entered again from within an event, and its exception ends one event. */
public class BalancerDriverTest {
    private final List<String> log = new ArrayList<>();
    private long now;
    private final BalancerDriver driver = new BalancerDriver(() -> now);

    /**
     * An implementation of the interface that logs each method's begin and end, and runs a task.
     */
    private <T> T logged(Class<T> type, Runnable task) {
        Class<?>[] types = {type};
        return type.cast(
                Proxy.newProxyInstance(
                        type.getClassLoader(),
                        types,
                        (proxy, method, args) -> {
                            log.add(method.getName());
                            task.run();
                            log.add("/" + method.getName());
                            return null;
                        }));
    }

    @Test
    public void actionsWaitForTheEventToEnd() {
        BalancerActions actions =
                driver.queueingActions(
                        logged(
                                BalancerActions.class,
                                () -> {
                                    // A send that fails at once, as to a removed endpoint.
                                    if (log.size() == 3) {
                                        driver.deliver(
                                                (balancer, now) ->
                                                        balancer.clientDisconnected(2, 7));
                                    }
                                }));
        driver.setBalancer(
                logged(
                        BalancerEvents.class,
                        () -> {
                            if (log.size() == 1) {
                                actions.send(7, 0, Long.MAX_VALUE, "w");
                                actions.watch(true);
                            }
                        }));
        driver.deliver((balancer, now) -> balancer.timer(1, 0));
        assertEquals(
                List.of(
                        "timer",
                        "/timer",
                        "send",
                        "clientDisconnected",
                        "/clientDisconnected",
                        "/send",
                        "watch",
                        "/watch"),
                log);
    }

    @Test
    public void aBalancerThatThrowsFailsOneEvent() {
        driver.setBalancer(
                logged(
                        BalancerEvents.class,
                        () -> {
                            if (log.size() == 1) {
                                throw new IllegalStateException(
                                        "scripted: this trace is part of the test");
                            }
                        }));
        driver.deliver((balancer, now) -> balancer.timer(1, 0));
        driver.deliver((balancer, now) -> balancer.clientDisconnected(2, 7));
        assertEquals(List.of("timer", "clientDisconnected", "/clientDisconnected"), log);
    }

    @Test
    public void aDelayCountsFromTheEventHoweverLateItsTimerIsSet() {
        List<Object> set = new ArrayList<>();
        BalancerActions actions =
                driver.queueingActions(
                        (BalancerActions)
                                Proxy.newProxyInstance(
                                        BalancerActions.class.getClassLoader(),
                                        new Class<?>[] {BalancerActions.class},
                                        (proxy, method, args) -> {
                                            now += 30;
                                            set.addAll(List.of(args));
                                            return null;
                                        }));
        driver.setBalancer(
                logged(
                        BalancerEvents.class,
                        () -> {
                            now += 7; // the balancer itself takes time
                            actions.timer(100, 1);
                            actions.timer(100, 2);
                        }));
        driver.deliver((balancer, at) -> balancer.clientDisconnected(at, 7));
        assertEquals(List.of(93L, 1L, 63L, 2L), set);
    }
}
