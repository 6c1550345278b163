package trailthread.lab.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** One policy against each other one, over the same seeds of one scenario. */
public final class Comparison {
    private final List<Result> results;
    private final String first;

    /** Of these results, all of one scenario, each policy with the same seeds. */
    public Comparison(List<Result> results, String first) {
        this.results = List.copyOf(results);
        this.first = first;
    }

    private List<Result> of(String policy) {
        return results.stream().filter(r -> r.policy().equals(policy)).toList();
    }

    /**
     * By how much the first policy is past another, seed by seed.
     *
     * @throws IllegalArgumentException if the two were not run with the same seeds
     */
    public Bootstrap against(String other, ToDoubleFunction<Result> figure) {
        List<Result> ours = of(first);
        List<Result> theirs = of(other);
        if (ours.size() != theirs.size()) {
            throw new IllegalArgumentException(first + " and " + other + " have other seeds");
        }
        double[] differences = new double[ours.size()];
        for (int i = 0; i < differences.length; i++) {
            if (ours.get(i).seed() != theirs.get(i).seed()) {
                throw new IllegalArgumentException(first + " and " + other + " have other seeds");
            }
            differences[i] =
                    figure.applyAsDouble(ours.get(i)) - figure.applyAsDouble(theirs.get(i));
        }
        return Bootstrap.of(differences);
    }

    private static double mean(List<Result> results, ToDoubleFunction<Result> figure) {
        return results.stream().mapToDouble(figure).average().orElse(0);
    }

    /** The table, for people. */
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
            List<Result> its = of(policy);
            String verdict = "";
            if (!policy.equals(first)) {
                Bootstrap b = against(policy, Result::goodput);
                verdict =
                        String.format(
                                Locale.ROOT,
                                "%s by %+.4f [%+.4f, %+.4f]",
                                b.verdict().words(),
                                b.mean(),
                                b.low(),
                                b.high());
            }
            long broken = its.stream().filter(r -> !r.broken().isEmpty()).count();
            text.append(
                    String.format(
                            Locale.ROOT,
                            "%-17s %8.4f %9.2f %9.2f %9.3f %8.1f %7s   %s%n",
                            policy,
                            mean(its, Result::goodput),
                            mean(its, Result::p50Ms),
                            mean(its, Result::p99Ms),
                            mean(its, Result::attempts),
                            mean(its, Result::probes),
                            broken == 0 ? "none" : broken + " of " + its.size(),
                            verdict));
        }
        return text.toString();
    }
}
