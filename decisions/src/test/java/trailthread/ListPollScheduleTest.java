package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trailthread.ModuleFixture.NOW;
import static trailthread.ModuleFixture.SECOND;

import org.junit.jupiter.api.Test;
import trailthread.api.ListKind;

/** 40 nodes that poll every 10 s: all poll once in 40 / 400 * 10 s = 1 s. */
final class ListPollScheduleTest {
    private static final int NODES = 40;

    private ModuleFixture modules = new ModuleFixture();
    private ListPollSchedule schedule = schedule(1);

    private ListPollSchedule schedule(long seed) {
        modules = new ModuleFixture(seed);
        modules.settings.nodes = NODES;
        modules.settings.listIsPolled = true;
        return new ListPollSchedule(modules.active, modules.recorder, modules.random);
    }

    private void assertDelay(double leastSeconds, double mostSeconds) {
        double delay = modules.lastDelayNs() / 1e9;
        assertTrue(delay >= leastSeconds && delay <= mostSeconds, "" + delay);
    }

    /** Polls, and lets the poll fail after a wait that counts as queued. */
    private void failQueuedPoll(long waitedNs) {
        schedule.timerDue(modules.lastTimerId(), NOW);
        schedule.pollOrWatchFailed(NOW + waitedNs);
    }

    @Test
    void firstPollsOfAllNodesAreSpreadOverFourRounds() {
        int early = 0;
        for (int node = 0; node < 400; node++) {
            schedule = schedule(node);
            schedule.listReceived(ListKind.CACHED);
            assertDelay(0, 3.9); // 4 * (1 s - 1 s / 40)
            early += modules.lastDelayNs() < 1.3 * SECOND ? 1 : 0;
        }
        // The longest undithered delay is 3.25 s, so 1.3 s is 0.4 of the range.
        assertTrue(early > 120 && early < 200, "" + early);
        modules.settings.nodes = 1;
        schedule.listReceived(ListKind.CACHED);
        assertDelay(0, 0);
        modules.settings.listIsPolled = false;
        schedule.listReceived(ListKind.CACHED);
        assertEquals(2, modules.recorder.timers.size());
    }

    @Test
    void pollsThatFailAtOnceAreRepeatedAtFixedIntervals() {
        for (int i = 0; i < 20; i++) {
            schedule.pollOrWatchFailed(NOW);
            assertDelay(0.8 * 4, 1.2 * 4);
        }
        failQueuedPoll(2 * SECOND); // the first queued poll that fails: no backoff yet
        assertDelay(0.8 * 2, 1.2 * 2);
        modules.settings.nodes = 1;
        schedule.pollOrWatchFailed(NOW);
        assertDelay(0.8, 1.2);
        modules.settings.nodes = 1000;
        schedule.pollOrWatchFailed(NOW);
        assertDelay(0.8 * 5, ListLease.NOTIFICATION_DUE_NS / 1e9);
    }

    /**
     * The first poll after a fixed interval of 4 s from poll to poll; then after 2 s, doubled up to
     * two poll intervals.
     */
    @Test
    void queuedPollsThatFailBackOffExponentially() {
        double[] meanSeconds = {4 - 2, 2, 4, 8, 16, 20, 20};
        double[] sums = new double[meanSeconds.length];
        int seeds = 400;
        for (int seed = 0; seed < seeds; seed++) {
            schedule = schedule(seed);
            schedule.listReceived(ListKind.CACHED);
            for (int i = 0; i < sums.length; i++) {
                failQueuedPoll(2 * SECOND);
                sums[i] += modules.lastDelayNs() / 1e9;
            }
        }
        for (int i = 0; i < sums.length; i++) {
            // 1.6 percent standard error of the mean
            assertEquals(meanSeconds[i], sums[i] / seeds, 0.08 * meanSeconds[i], "poll " + i);
        }
    }

    /** Watches break for all nodes at once: the next polls are spread evenly over 4 s. */
    @Test
    void pollsAfterABrokenWatchAreSpreadAndStartWithoutBackoff() {
        double afterWatch = 0;
        double afterPoll = 0;
        int seeds = 400;
        for (int seed = 0; seed < seeds; seed++) {
            schedule = schedule(seed);
            schedule.listReceived(ListKind.CACHED);
            failQueuedPoll(2 * SECOND);
            failQueuedPoll(2 * SECOND);
            schedule.listReceived(ListKind.FULL);
            schedule.pollOrWatchFailed(NOW);
            assertDelay(0, 1.2 * 4);
            afterWatch += modules.lastDelayNs() / 1e9 / seeds;
            failQueuedPoll(2 * SECOND);
            afterPoll += modules.lastDelayNs() / 1e9 / seeds;
        }
        // 3 percent standard error of the mean
        assertEquals(2, afterWatch, 0.25);
        assertEquals(4 - 2, afterPoll, 0.1);
    }

    @Test
    void pollWithoutAResponseIsRepeatedAndAnOldTimerDoesNothing() {
        schedule.listReceived(ListKind.CACHED);
        long first = modules.lastTimerId();
        schedule.timerDue(first, NOW);
        assertEquals(1, modules.recorder.watches);
        assertDelay(0.8 * 2.5, 1.2 * 2.5);
        schedule.timerDue(first, NOW);
        assertEquals(1, modules.recorder.watches);
        schedule.listReceived(ListKind.FULL);
        schedule.timerDue(modules.lastTimerId(), NOW);
        assertEquals(1, modules.recorder.watches);
    }
}
