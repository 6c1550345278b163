package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.Peer;
import trailthread.testkit.Stage;

/**
 * A fleet with thousands of servers sent requests to servers that had been removed, dozens of
 * times. A process that started at 19.0 s went on with the list of the process before it, and
 * discovery wrote it a new one at 23.0 s only: {@code n48: ... 13.3 v7, 23.0 v14}. Two servers had
 * gone with version 10 at 16.0 s, which counts as told 6 s later, whether or not a process that was
 * away then has heard of it: {@code 23.090 a request went to server s-760b1670 1.11 s after this
 * instance was told}, with a grace of 1 s. Nothing in the node knew how old its list was. The
 * second request, at 23.590 s, went out 0.59 s after the new list had been written: the loop had
 * not come to it.
 *
 * <p>So the list is a lease. Each sign of life of discovery renews it, and a process that starts
 * holds none.
 */
public class StaleListTest {
    private static final int SERVERS = 3_200;

    /** A change counts as told so long after it was made. */
    private static final long NEWS_DUE_MS = 6_000;

    private final Stage stage;
    private final Peer gone;
    private final Peer present;
    private final CountDownLatch answers = new CountDownLatch(1);

    public StaleListTest() throws Exception {
        stage = new Stage();
        gone = stage.add(Peer.serving("gone"));
        present = stage.add(Peer.serving("present"));
    }

    @After
    public void end() throws Exception {
        answers.countDown();
        stage.end();
    }

    private Peer[] thousands(Peer peer) {
        Peer[] servers = new Peer[SERVERS];
        Arrays.fill(servers, peer);
        return servers;
    }

    /** Discovery is crowded: it takes calls and answers none until told to. */
    private void crowd() {
        stage.discovery.setScript(
                request -> {
                    Peer.await(answers);
                    Stage.watch(request);
                    Stage.line(request, Stage.list(14, true, "active", thousands(present)));
                });
    }

    private void assertRefused() throws Exception {
        Message answer = stage.call("use");
        assertEquals("present", 503, answer.status());
        gone.wasNotAsked();
    }

    private void awaitServedBy(String server) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(Peer.LONGEST_WAIT_S);
        while (!stage.call("use").body().equals(server)) {
            assertTrue("served in the end", System.nanoTime() < until);
            Thread.sleep(20);
        }
    }

    @Test
    public void aNewProcessDoesNotUseTheListOfThePreviousOne() throws Exception {
        crowd();
        stage.start(Stage.SETTINGS, thousands(gone));
        assertRefused();
        answers.countDown();
        awaitServedBy("present");
        gone.wasNotAsked();
    }

    /**
     * The watch breaks and no later poll is answered; changes made meanwhile count as announced all
     * the same.
     */
    @Test
    public void aListWithoutConfirmationExpires() throws Exception {
        stage.discovery.setScript(
                request -> {
                    Stage.watch(request);
                    Stage.line(request, Stage.list(1, true, "active", gone));
                });
        stage.start(Stage.SETTINGS, gone);
        Message watch = stage.discovery.asked();
        awaitServedBy("gone");
        crowd();
        watch.connection().close();
        Thread.sleep(NEWS_DUE_MS + 500);
        gone.requests.clear();
        assertRefused();
        answers.countDown();
        awaitServedBy("present");
        gone.wasNotAsked();
    }

    /** Nothing can be told by a discovery that nobody reaches: the node serves on. */
    @Test
    public void theListIsKeptWhileDiscoveryIsDown() throws Exception {
        stage.discovery.setScript(
                request -> {
                    Stage.watch(request);
                    Stage.line(request, Stage.list(1, true, "active", present));
                });
        stage.start(Stage.SETTINGS, present);
        awaitServedBy("present");
        stage.discovery.close();
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2 * NEWS_DUE_MS);
        while (System.nanoTime() < until) {
            assertEquals("present", stage.call("use").body());
            Thread.sleep(100);
        }
    }
}
