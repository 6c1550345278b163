package trailthread.engine.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Checks quotas under random sequences of acquire and release. */
class QuotaPropertyTest {
    private static final long MS = 1_000_000;

    @Property(tries = 500)
    void heldNeverExceedsTheTotalAndGuaranteesHold(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 6) int n,
            @ForAll @IntRange(min = 1, max = 200) int total) {
        Random random = new Random(seed);
        Quota quota = new Quota(total, 100 * MS);
        List<Quota.Member> members = new ArrayList<>();
        int[] guaranteed = new int[n];
        int[] limit = new int[n];
        for (int i = 0; i < n; i++) {
            guaranteed[i] = random.nextInt((int) quota.unreserved() + 1);
            limit[i] = guaranteed[i] + random.nextInt(total - guaranteed[i] + 1);
            members.add(quota.join(guaranteed[i], limit[i]));
        }
        long now = 0;
        for (int step = 0; step < 400; step++) {
            now += random.nextInt((int) (20 * MS));
            int i = random.nextInt(n);
            Quota.Member member = members.get(i);
            if (random.nextInt(3) > 0) {
                long amount = 1L + random.nextInt(3);
                boolean withinGuarantee = member.held() + amount <= guaranteed[i];
                boolean acquired = member.acquire(amount, now);
                assertTrue(acquired || !withinGuarantee, "a guaranteed amount was not granted");
            } else if (member.held() > 0) {
                member.release(1 + random.nextInt((int) member.held()));
            }
            long sum = members.stream().mapToLong(Quota.Member::held).sum();
            assertEquals(sum, quota.used());
            assertTrue(sum <= total, "held " + sum + " of " + total);
            assertTrue(member.held() <= limit[i], "past the limit");
        }
        members.forEach(member -> member.release(member.held()));
        assertEquals(0, quota.used());
    }

    /** A late member gets its part as soon as the others have returned their excess. */
    @Property(tries = 300)
    void returnedExcessIsEnoughForTheOthersDemand(
            @ForAll @IntRange(min = 2, max = 5) int n,
            @ForAll @IntRange(min = 10, max = 100) int total,
            @ForAll @IntRange(min = 0, max = 3) int guaranteed) {
        Quota quota = new Quota(total, 100 * MS);
        List<Quota.Member> members = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            members.add(quota.join(Math.min(guaranteed, total / n), total));
        }
        Quota.Member greedy = members.get(0);
        while (greedy.acquire(1, 0)) {
            assertEquals(0, greedy.excess(0), "no other member wants any");
        }
        assertEquals(0, quota.unreserved() - greedy.borrowed());
        Quota.Member late = members.get(n - 1);
        long part = quota.unreserved() / 2;
        for (long now = MS; late.borrowed() < part; now += MS) {
            if (!late.acquire(1, now)) {
                long excess = greedy.excess(now);
                assertTrue(
                        excess > 0,
                        "refused, though no other member has an excess: borrowed "
                                + late.borrowed()
                                + " of "
                                + part);
                greedy.release(excess);
                assertTrue(
                        !greedy.acquire(greedy.held() + 1, now),
                        "the excess was lent to the same member again");
                assertTrue(late.acquire(1, now), "the returned excess was not lent");
            }
        }
        assertTrue(greedy.borrowed() >= part, "returned more than its excess");
    }
}
