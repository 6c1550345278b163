package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static trailthread.WiredModules.MS;

import org.junit.jupiter.api.Test;
import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/** What is derived from the settings, and which stay in force. */
class ActiveSettingsTest {
    private static Settings with(long objectiveNs, long deadlineNs) {
        Settings settings =
                ScriptedBalancer.settings(); // objectives of 200 ms, deadlines of 1,000 ms
        settings.classes.add(
                new RequestClass(
                        "other",
                        objectiveNs,
                        0,
                        deadlineNs,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        1,
                        0));
        return settings;
    }

    @Test
    void objectivesAndDeadlinesAreThoseOfAllClasses() {
        ActiveSettings active = new ActiveSettings(with(50 * MS, 300 * MS));
        assertEquals(50 * MS, active.tightestObjectiveNs());
        assertEquals(1000 * MS, active.longestDeadlineNs());
        assertEquals(MS, active.latencyResolutionNs()); // a fiftieth of the objective
        active.replace(with(400 * MS, 3000 * MS));
        assertEquals(200 * MS, active.tightestObjectiveNs());
        assertEquals(3000 * MS, active.longestDeadlineNs());
    }

    /** Times that are derived from an objective of 0 would be 0, and timers would spin. */
    @Test
    void theTightestObjectiveIsAtLeastATick() {
        assertEquals(MS, new ActiveSettings(with(0, 300 * MS)).tightestObjectiveNs());
    }

    @Test
    void settingsThatMakeNoSenseLeaveTheOnesBeforeInForce() {
        Settings good = with(50 * MS, 300 * MS);
        ActiveSettings active = new ActiveSettings(good);
        assertThrows(IllegalArgumentException.class, () -> active.replace(with(10 * MS, 0)));
        assertSame(good, active.get());
        assertEquals(50 * MS, active.tightestObjectiveNs());
    }
}
