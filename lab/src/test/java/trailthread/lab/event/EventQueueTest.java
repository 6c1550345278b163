package trailthread.lab.event;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** The order of tasks depends only on their times and the order in which they were scheduled. */
public class EventQueueTest {
    private final EventQueue eventQueue = new EventQueue(100);
    private final List<String> done = new ArrayList<>();

    private EventQueue.Entry schedule(long at, String name) {
        return eventQueue.scheduleAt(at, () -> done.add(name + "@" + eventQueue.now()));
    }

    @Test
    public void tasksAtOneTimeRunInSchedulingOrder() {
        schedule(300, "c");
        schedule(200, "a");
        for (int i = 0; i < 50; i++) {
            schedule(250, "t" + i);
        }
        schedule(200, "b");
        eventQueue.runUntil(1000);
        assertEquals("a@200", done.get(0));
        assertEquals("b@200", done.get(1));
        for (int i = 0; i < 50; i++) {
            assertEquals("t" + i + "@250", done.get(2 + i));
        }
        assertEquals("c@300", done.get(52));
        assertEquals(1000, eventQueue.now());
    }

    @Test
    public void tasksScheduledByATaskRunAfterThoseScheduledBefore() {
        eventQueue.scheduleAt(
                200,
                () -> {
                    done.add("first");
                    schedule(200, "scheduled within");
                    schedule(150, "scheduled in the past");
                });
        schedule(200, "second");
        eventQueue.runUntil(200);
        assertEquals(
                List.of("first", "second@200", "scheduled within@200", "scheduled in the past@200"),
                done);
    }

    @Test
    public void cancelledTasksDoNotRun() {
        EventQueue.Entry a = schedule(200, "a");
        schedule(200, "b");
        a.cancel();
        eventQueue.runUntil(200);
        a.cancel();
        assertEquals(List.of("b@200"), done);
        assertFalse(eventQueue.runNext());
        assertEquals(1, eventQueue.executedCount());
    }
}
