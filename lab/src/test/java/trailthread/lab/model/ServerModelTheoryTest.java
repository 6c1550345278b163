package trailthread.lab.model;

import static org.junit.Assert.assertEquals;

import java.util.HashMap;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.Test;
import trailthread.lab.random.RandomStreams;

/**
 * Compares the model with queueing theory (Kleinrock, "Queueing Systems" I, 3.2 and 3.5; II, 4.4),
 * within 2%.
 */
public class ServerModelTheoryTest {
    private static final int REQUESTS = 1_000_000;
    private static final double MEAN_NS = 1e6;

    /**
     * The mean response time over the mean work, for Poisson arrivals at this share of the
     * capacity.
     */
    private static double meanSlowdown(
            ServerLimits limits, double load, boolean exponential, long seed) {
        UniformRandomProvider random = new RandomStreams(seed).stream("theory");
        ServerModel model = new ServerModel(limits, 0, false);
        Map<ServerModel.Job, Long> arrivedAt = new HashMap<>();
        double[] sum = new double[2];
        double gap = MEAN_NS / (load * limits.cores() * limits.speed());
        long now = 0;
        for (int i = 0; i < REQUESTS; i++) {
            now += (long) RandomStreams.exponential(random, gap);
            long until = now;
            while (model.nextEventTime() <= until) {
                long at = model.nextEventTime();
                model.advance(
                        at,
                        job -> {
                            sum[0] += at - arrivedAt.remove(job);
                            sum[1]++;
                        });
            }
            model.advance(now, job -> {});
            ServerModel.Job job =
                    new ServerModel.Job(
                            exponential
                                    ? Math.max(1, RandomStreams.exponential(random, MEAN_NS))
                                    : MEAN_NS);
            model.arrive(now, job);
            arrivedAt.put(job, now);
        }
        return sum[0] / sum[1] / MEAN_NS;
    }

    /** The probability of waiting at c servers of this load each (Erlang C). */
    private static double erlangC(int c, double load) {
        double offered = load * c;
        double term = 1;
        double sum = 1;
        for (int k = 1; k < c; k++) {
            term *= offered / k;
            sum += term;
        }
        double last = term * offered / c / (1 - load);
        return last / (sum + last);
    }

    @Test
    public void oneServerFirstComeFirstServed() {
        for (double load : new double[] {0.3, 0.5, 0.7, 0.8}) {
            double expected = 1 / (1 - load);
            assertEquals(
                    "load " + load,
                    expected,
                    meanSlowdown(ServerLimits.plain(1, 1, 1, 1_000_000), load, true, 11),
                    0.02 * expected);
        }
    }

    @Test
    public void severalServers() {
        for (int c : new int[] {2, 8}) {
            double load = 0.75;
            double expected = 1 + erlangC(c, load) / (c * (1 - load));
            assertEquals(
                    "servers " + c,
                    expected,
                    meanSlowdown(ServerLimits.plain(1, c, c, 1_000_000), load, true, 12),
                    0.02 * expected);
        }
    }

    /**
     * The mean response time under processor sharing depends only on the mean work: it is the same
     * for exponential and fixed work.
     */
    @Test
    public void processorSharing() {
        double expected = 1 / (1 - 0.7);
        ServerLimits limits = ServerLimits.plain(1, 1, 1_000_000, 0);
        assertEquals(expected, meanSlowdown(limits, 0.7, true, 13), 0.02 * expected);
        assertEquals(expected, meanSlowdown(limits, 0.7, false, 14), 0.02 * expected);
    }
}
