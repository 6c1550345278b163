package trailthread.lab.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import trailthread.lab.baseline.Policy;
import trailthread.lab.scenario.Scenario;
import trailthread.lab.simulation.BalancerFailureException;
import trailthread.lab.simulation.Simulation;

/** Runs in virtual time, many at once; what they come to does not depend on how many. */
public final class RunExecutor {
    /** One run that is to be made. */
    public record RunSpec(Scenario scenario, Policy policy, long seed) {}

    private RunExecutor() {}

    /**
     * Makes these runs on so many threads; their results in the order of the orders.
     *
     * @param finished hears of each as it comes, from whichever thread
     * @throws BalancerFailureException if the decisions of one have asked for what nobody can do
     */
    public static List<Result> runAll(List<RunSpec> specs, int threads, Consumer<Result> finished)
            throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<Result>> futures = new ArrayList<>();
            for (RunSpec spec : specs) {
                futures.add(
                        pool.submit(
                                () -> {
                                    Result result =
                                            Result.of(
                                                    spec.scenario(),
                                                    spec.policy().name(),
                                                    spec.seed(),
                                                    Simulation.run(
                                                            spec.scenario(),
                                                            spec.policy(),
                                                            spec.seed()));
                                    finished.accept(result);
                                    return result;
                                }));
            }
            List<Result> results = new ArrayList<>();
            for (Future<Result> future : futures) {
                results.add(future.get());
            }
            return results;
        } catch (ExecutionException e) {
            if (e.getCause() instanceof BalancerFailureException fault) {
                throw fault;
            }
            throw new IllegalStateException(e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }
}
