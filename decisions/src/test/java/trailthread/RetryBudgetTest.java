package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Each request earns a fifth of a retry; at most twenty retries are saved up. */
class RetryBudgetTest {
    private final RetryBudget budget = new RetryBudget();

    private int withdrawAll() {
        int withdrawn = 0;
        while (budget.permitsRetry() && withdrawn < 1_000) {
            budget.withdraw();
            withdrawn++;
        }
        return withdrawn;
    }

    @Test
    void fiveRequestsEarnOneRetry() {
        withdrawAll();
        for (int i = 0; i < 4; i++) {
            budget.deposit();
            assertFalse(budget.permitsRetry());
        }
        budget.deposit();
        assertTrue(budget.permitsRetry());
    }

    @Test
    void noMoreThanTwentyRetriesAreSavedUp() {
        for (int i = 0; i < 1_000; i++) {
            budget.deposit();
        }
        assertEquals(20, withdrawAll());
    }

    /** If all requests fail, retries add a fifth to the load, not twice or three times. */
    @Test
    void retriesOfRequestsThatAllFailAddAFifthToTheLoad() {
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.deposit();
            retries += withdrawAll();
        }
        assertEquals(200 + 20, retries, 1);
    }
}
