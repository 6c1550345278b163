package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The token of a timer holds its kind and id. */
class TimerKindTest {
    @Test
    void everyTokenIsUniqueAndGivesBackItsKindAndId() {
        Set<Long> tokens = new HashSet<>();
        for (TimerKind kind : TimerKind.values()) {
            for (long id : new long[] {0, 1, 2, 3, 4, (1L << 62) - 1}) {
                long token = kind.token(id);
                assertEquals(kind, TimerKind.of(token));
                assertEquals(id, TimerKind.id(token));
                assertTrue(tokens.add(token), kind + " " + id);
            }
        }
    }
}
