package trailthread.engine.request;

import static org.junit.Assert.assertEquals;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import trailthread.api.BalancerActions;
import trailthread.api.BalancerEvents;

/** The balancer is never called from within an event, and its exception ends one event only. */
public class BalancerDriverTest {
    private final List<String> calls = new ArrayList<>();
    private long now;
    private final BalancerDriver driver = new BalancerDriver(() -> now);

    /**
     * Returns an implementation of an interface that records the start and the end of each call,
     * and runs a task in between.
     */
    private <T> T recording(Class<T> type, Runnable task) {
        Class<?>[] types = {type};
        return type.cast(
                Proxy.newProxyInstance(
                        type.getClassLoader(),
                        types,
                        (proxy, method, args) -> {
                            calls.add(method.getName());
                            task.run();
                            calls.add("/" + method.getName());
                            return null;
                        }));
    }

    @Test
    public void actionsWaitForTheEventToEnd() {
        BalancerActions actions =
                driver.queueingActions(
                        recording(
                                BalancerActions.class,
                                () -> {
                                    // Simulates a send that fails at once, as to a removed
                                    // endpoint.
                                    if (calls.size() == 3) {
                                        driver.deliver(
                                                (balancer, now) ->
                                                        balancer.clientDisconnected(2, 7));
                                    }
                                }));
        driver.setBalancer(
                recording(
                        BalancerEvents.class,
                        () -> {
                            if (calls.size() == 1) {
                                actions.send(7, 0, Long.MAX_VALUE, "w");
                                actions.watchList(true);
                            }
                        }));
        driver.deliver((balancer, now) -> balancer.timerFired(1, 0));
        assertEquals(
                List.of(
                        "timerFired",
                        "/timerFired",
                        "send",
                        "clientDisconnected",
                        "/clientDisconnected",
                        "/send",
                        "watchList",
                        "/watchList"),
                calls);
    }

    @Test
    public void anExceptionOfTheBalancerEndsOneEventOnly() {
        driver.setBalancer(
                recording(
                        BalancerEvents.class,
                        () -> {
                            if (calls.size() == 1) {
                                throw new IllegalStateException(
                                        "thrown by the test: this stack trace is expected");
                            }
                        }));
        driver.deliver((balancer, now) -> balancer.timerFired(1, 0));
        driver.deliver((balancer, now) -> balancer.clientDisconnected(2, 7));
        assertEquals(List.of("timerFired", "clientDisconnected", "/clientDisconnected"), calls);
    }

    @Test
    public void aTimersDelayCountsFromTheEventHoweverLateTheTimerIsScheduled() {
        List<Object> scheduled = new ArrayList<>();
        BalancerActions actions =
                driver.queueingActions(
                        (BalancerActions)
                                Proxy.newProxyInstance(
                                        BalancerActions.class.getClassLoader(),
                                        new Class<?>[] {BalancerActions.class},
                                        (proxy, method, args) -> {
                                            now += 30;
                                            scheduled.addAll(List.of(args));
                                            return null;
                                        }));
        driver.setBalancer(
                recording(
                        BalancerEvents.class,
                        () -> {
                            now += 7; // the balancer itself takes time
                            actions.setTimer(100, 1);
                            actions.setTimer(100, 2);
                        }));
        driver.deliver((balancer, at) -> balancer.clientDisconnected(at, 7));
        assertEquals(List.of(93L, 1L, 63L, 2L), scheduled);
    }
}
