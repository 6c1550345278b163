package trailthread.engine.request;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.stream.IntStream;
import org.junit.Test;

/** For how long ids are remembered, and how many. */
public class SpentRequestIdsTest {
    private final SpentRequestIds ids = new SpentRequestIds(0);

    private void addMany(int from, int count) {
        IntStream.range(from, from + count).forEach(i -> ids.add(Integer.toHexString(i), 0));
    }

    @Test
    public void eachIdIsRememberedWhileAsManyFollow() {
        addMany(0, SpentRequestIds.MAX_IDS);
        addMany(SpentRequestIds.MAX_IDS, SpentRequestIds.MAX_IDS);
        long remembered =
                IntStream.range(0, 2 * SpentRequestIds.MAX_IDS)
                        .filter(i -> ids.contains(Integer.toHexString(i)))
                        .count();
        assertEquals(2L * SpentRequestIds.MAX_IDS, remembered);
        assertFalse(ids.contains(Integer.toHexString(2 * SpentRequestIds.MAX_IDS)));
    }

    @Test
    public void idsAreForgottenSoThatMemoryIsBounded() {
        ids.add("first", 0);
        addMany(0, 2 * SpentRequestIds.MAX_IDS);
        assertFalse(ids.contains("first"));
    }

    @Test
    public void anIdIsRememberedForItsTime() {
        ids.add("first", 1);
        ids.add("second", SpentRequestIds.MIN_MEMORY_NS);
        assertTrue(ids.contains("first"));
        ids.add("third", 2 * SpentRequestIds.MIN_MEMORY_NS);
        assertFalse(ids.contains("first"));
        assertTrue(ids.contains("second"));
    }
}
