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

/** Runs simulations in parallel; their results do not depend on the number of threads. */
public final class RunExecutor {
    /** A run to execute. */
    public record RunSpec(Scenario scenario, Policy policy, long seed) {}

    private RunExecutor() {}

    /**
     * Executes runs and returns their results in the order of {@code specs}.
     *
     * @param onResult receives each result as its run ends, on the thread that executed the run
     * @throws BalancerFailureException if the load balancer of a run requested an impossible action
     */
    public static List<Result> runAll(List<RunSpec> specs, int threads, Consumer<Result> onResult)
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
                                    onResult.accept(result);
                                    return result;
                                }));
            }
            List<Result> results = new ArrayList<>();
            for (Future<Result> future : futures) {
                results.add(future.get());
            }
            return results;
        } catch (ExecutionException e) {
            if (e.getCause() instanceof BalancerFailureException failure) {
                throw failure;
            }
            throw new IllegalStateException(e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }
}
