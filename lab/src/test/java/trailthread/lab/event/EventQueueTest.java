package trailthread.lab.event;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/**
 * The order of what happens is defined, and rests on nothing but times and the order of setting.
 */
public class EventQueueTest {
    private final EventQueue eventQueue = new EventQueue(100);
    private final List<String> done = new ArrayList<>();

    private EventQueue.Entry set(long at, String name) {
        return eventQueue.scheduleAt(at, () -> done.add(name + "@" + eventQueue.now()));
    }

    @Test
    public void tiesGoInTheOrderOfTheirSetting() {
        set(300, "c");
        set(200, "a");
        for (int i = 0; i < 50; i++) {
            set(250, "t" + i);
        }
        set(200, "b");
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
    public void whatIsSetWithinSomethingFollowsWhatStoodThereBefore() {
        eventQueue.scheduleAt(
                200,
                () -> {
                    done.add("first");
                    set(200, "set within");
                    set(150, "set to the past");
                });
        set(200, "second");
        eventQueue.runUntil(200);
        assertEquals(List.of("first", "second@200", "set within@200", "set to the past@200"), done);
    }

    @Test
    public void whatIsTakenBackDoesNotHappen() {
        EventQueue.Entry a = set(200, "a");
        set(200, "b");
        a.cancel();
        eventQueue.runUntil(200);
        a.cancel();
        assertEquals(List.of("b@200"), done);
        assertFalse(eventQueue.runNext());
        assertEquals(1, eventQueue.executedCount());
    }
}
