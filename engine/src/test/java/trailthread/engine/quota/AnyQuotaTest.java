package trailthread.engine.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Quotas under any run of takes and gives. */
class AnyQuotaTest {
    private static final long MS = 1_000_000;

    @Property(tries = 500)
    void noMoreIsGivenOutThanThereIsAndNoGuaranteeStarves(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 6) int n,
            @ForAll @IntRange(min = 1, max = 200) int total) {
        Random random = new Random(seed);
        Quota quota = new Quota(total, 100 * MS);
        List<Quota.Party> parties = new ArrayList<>();
        int[] guaranteed = new int[n];
        int[] most = new int[n];
        for (int i = 0; i < n; i++) {
            guaranteed[i] = random.nextInt((int) quota.unpromised() + 1);
            most[i] = guaranteed[i] + random.nextInt(total - guaranteed[i] + 1);
            parties.add(quota.join(guaranteed[i], most[i]));
        }
        long now = 0;
        for (int step = 0; step < 400; step++) {
            now += random.nextInt((int) (20 * MS));
            int i = random.nextInt(n);
            Quota.Party party = parties.get(i);
            if (random.nextInt(3) > 0) {
                long amount = 1L + random.nextInt(3);
                boolean within = party.holds() + amount <= guaranteed[i];
                boolean taken = party.take(amount, now);
                assertTrue(taken || !within, "a guarantee that was not kept");
            } else if (party.holds() > 0) {
                party.give(1 + random.nextInt((int) party.holds()));
            }
            long sum = parties.stream().mapToLong(Quota.Party::holds).sum();
            assertEquals(sum, quota.used());
            assertTrue(sum <= total, "given out " + sum + " of " + total);
            assertTrue(party.holds() <= most[i], "past the most");
        }
        parties.forEach(party -> party.give(party.holds()));
        assertEquals(0, quota.used());
    }

    /** Who comes late has its part as soon as the others have given back what they owe. */
    @Property(tries = 300)
    void whatIsOwedIsEnoughForWhoWants(
            @ForAll @IntRange(min = 2, max = 5) int n,
            @ForAll @IntRange(min = 10, max = 100) int total,
            @ForAll @IntRange(min = 0, max = 3) int guaranteed) {
        Quota quota = new Quota(total, 100 * MS);
        List<Quota.Party> parties = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            parties.add(quota.join(Math.min(guaranteed, total / n), total));
        }
        Quota.Party greedy = parties.get(0);
        while (greedy.take(1, 0)) {
            assertEquals(0, greedy.owes(0), "nobody else wants any");
        }
        assertEquals(0, quota.unpromised() - greedy.borrowed());
        Quota.Party late = parties.get(n - 1);
        long part = quota.unpromised() / 2;
        for (long now = MS; late.borrowed() < part; now += MS) {
            if (!late.take(1, now)) {
                long owed = greedy.owes(now);
                assertTrue(
                        owed > 0,
                        "wanted, and nobody owes any: has " + late.borrowed() + " of " + part);
                greedy.give(owed);
                assertTrue(!greedy.take(greedy.holds() + 1, now), "what is owed is not lent again");
                assertTrue(late.take(1, now), "given back, and not lent");
            }
        }
        assertTrue(greedy.borrowed() >= part, "gave back more than its part");
    }
}
