package trailthread.lab.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Compares one policy with each other policy, over the same seeds of one scenario. */
public final class Comparison {
    private final List<Result> results;
    private final String first;

    /**
     * @param results of one scenario, each policy with the same seeds
     * @param first the policy that is compared with each other one
     */
    public Comparison(List<Result> results, String first) {
        this.results = List.copyOf(results);
        this.first = first;
    }

    private List<Result> resultsOf(String policy) {
        return results.stream().filter(r -> r.policy().equals(policy)).toList();
    }

    /**
     * The difference of a metric, the first policy minus another, paired by seed.
     *
     * @throws IllegalArgumentException if the two policies were not run with the same seeds
     */
    public Bootstrap difference(String other, ToDoubleFunction<Result> metric) {
        List<Result> firstResults = resultsOf(first);
        List<Result> otherResults = resultsOf(other);
        if (firstResults.size() != otherResults.size()) {
            throw new IllegalArgumentException(
                    first + " and " + other + " were run with different seeds");
        }
        double[] differences = new double[firstResults.size()];
        for (int i = 0; i < differences.length; i++) {
            if (firstResults.get(i).seed() != otherResults.get(i).seed()) {
                throw new IllegalArgumentException(
                        first + " and " + other + " were run with different seeds");
            }
            differences[i] =
                    metric.applyAsDouble(firstResults.get(i))
                            - metric.applyAsDouble(otherResults.get(i));
        }
        return Bootstrap.of(differences);
    }

    private static double mean(List<Result> results, ToDoubleFunction<Result> metric) {
        return results.stream().mapToDouble(metric).average().orElse(0);
    }

    /** A printable table with a row for each policy. */
    public String table() {
        List<String> policies = new ArrayList<>();
        results.forEach(
                r -> {
                    if (!policies.contains(r.policy())) {
                        policies.add(r.policy());
                    }
                });
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "%-17s %8s %9s %9s %9s %8s %7s   %s%n",
                                results.get(0).scenario(),
                                "goodput",
                                "p50 ms",
                                "p99 ms",
                                "attempts",
                                "probes/s",
                                "broken",
                                first + " is"));
        for (String policy : policies) {
            List<Result> policyResults = resultsOf(policy);
            String verdict = "";
            if (!policy.equals(first)) {
                Bootstrap difference = difference(policy, Result::goodput);
                verdict =
                        String.format(
                                Locale.ROOT,
                                "%s (%+.4f [%+.4f, %+.4f])",
                                difference.verdict().words(),
                                difference.mean(),
                                difference.low(),
                                difference.high());
            }
            long broken = policyResults.stream().filter(r -> !r.broken().isEmpty()).count();
            text.append(
                    String.format(
                            Locale.ROOT,
                            "%-17s %8.4f %9.2f %9.2f %9.3f %8.1f %7s   %s%n",
                            policy,
                            mean(policyResults, Result::goodput),
                            mean(policyResults, Result::p50Ms),
                            mean(policyResults, Result::p99Ms),
                            mean(policyResults, Result::attempts),
                            mean(policyResults, Result::probes),
                            broken == 0 ? "none" : broken + " of " + policyResults.size(),
                            verdict));
        }
        return text.toString();
    }
}
