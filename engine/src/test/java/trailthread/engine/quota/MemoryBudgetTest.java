package trailthread.engine.quota;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Test;
import trailthread.engine.quota.MemoryBudget.Use;

/** The order of uses, and what a reservation holds and releases. */
public class MemoryBudgetTest {
    private final MemoryBudget budget = new MemoryBudget(300);

    @Test
    public void eachUseLeavesRoomForTheUsesThatAreOwedMore() {
        MemoryReservation optional = budget.newReservation();
        assertTrue(optional.tryGrow(Use.OPTIONAL, 200));
        assertFalse(optional.tryGrow(Use.OPTIONAL, 1));
        MemoryReservation request = budget.newReservation();
        assertTrue(request.tryGrow(Use.NEW_REQUEST, 70));
        assertFalse(request.tryGrow(Use.NEW_REQUEST, 1));
        MemoryReservation response = budget.newReservation();
        assertTrue(response.tryGrow(Use.RESPONSE, 30));
        assertFalse(response.tryGrow(Use.RESPONSE, 1));
        assertEquals(300, budget.reservedBytes());
    }

    @Test
    public void bytesThatAreHeldCountBeyondTheLimit() {
        MemoryReservation held = budget.newReservation();
        held.growHeld(400);
        assertFalse(held.tryGrow(Use.RESPONSE, 1));
        held.shrink(101);
        assertTrue(held.tryGrow(Use.RESPONSE, 1));
    }

    @Test
    public void aReservationReleasesNoMoreThanItHolds() {
        MemoryReservation first = budget.newReservation();
        MemoryReservation second = budget.newReservation();
        assertTrue(first.tryGrow(Use.RESPONSE, 50));
        assertTrue(second.tryGrow(Use.RESPONSE, 60));
        first.shrink(70);
        first.release();
        assertEquals(0, first.bytes());
        assertEquals(60, budget.reservedBytes());
    }
}
