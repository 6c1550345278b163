package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The open endpoints of one request, with their predicted times. */
class CandidatesTest {
    private final Candidates candidates = new Candidates();

    @Test
    void theBestIsTheLeastPredictedTimeOfAnyThatIsOpen() {
        candidates.reset(3);
        assertTrue(candidates.isNoneOpen());
        candidates.open(2, 30);
        candidates.open(0, 50);
        assertEquals(30, candidates.bestNs());
        assertTrue(candidates.isOpen(0) && candidates.isOpen(2) && !candidates.isOpen(1));
    }

    @Test
    void aResetClosesAllEndpointsAlsoWhenTheSubsetHasGrown() {
        candidates.reset(2);
        candidates.open(1, 30);
        for (int endpoints : new int[] {2, 100}) {
            candidates.reset(endpoints);
            assertTrue(candidates.isNoneOpen());
            for (int i = 0; i < endpoints; i++) {
                assertFalse(candidates.isOpen(i), "endpoint " + i + " of " + endpoints);
            }
        }
    }
}
