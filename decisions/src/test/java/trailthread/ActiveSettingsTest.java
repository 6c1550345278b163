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

/** The values derived from the settings, and the settings in force after an invalid change. */
class ActiveSettingsTest {
    private static Settings settingsWithClass(long objectiveNs, long deadlineNs) {
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
        ActiveSettings active = new ActiveSettings(settingsWithClass(50 * MS, 300 * MS));
        assertEquals(50 * MS, active.tightestObjectiveNs());
        assertEquals(1000 * MS, active.longestDeadlineNs());
        assertEquals(MS, active.latencyResolutionNs()); // a fiftieth of the objective
        active.replace(settingsWithClass(400 * MS, 3000 * MS));
        assertEquals(200 * MS, active.tightestObjectiveNs());
        assertEquals(3000 * MS, active.longestDeadlineNs());
    }

    /**
     * With an objective of 0, derived delays would be 0, and timers would fire in an endless loop.
     */
    @Test
    void theTightestObjectiveIsAtLeastATick() {
        assertEquals(MS, new ActiveSettings(settingsWithClass(0, 300 * MS)).tightestObjectiveNs());
    }

    @Test
    void invalidSettingsLeaveTheCurrentOnesInForce() {
        Settings good = settingsWithClass(50 * MS, 300 * MS);
        ActiveSettings active = new ActiveSettings(good);
        assertThrows(
                IllegalArgumentException.class,
                () -> active.replace(settingsWithClass(10 * MS, 0)));
        assertSame(good, active.get());
        assertEquals(50 * MS, active.tightestObjectiveNs());
    }
}
