package trailthread.lab.command;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import trailthread.lab.baseline.Policies;
import trailthread.lab.experiment.Result;
import trailthread.lab.experiment.RunExecutor;
import trailthread.lab.invariant.Violation;
import trailthread.lab.scenario.Scenario;
import trailthread.lab.scenario.ScenarioReader;
import trailthread.lab.simulation.Simulation;

/** Simulates scenarios in virtual time. */
@Command(
        name = "simulate",
        description = "Simulates scenarios in virtual time and checks their invariants.",
        mixinStandardHelpOptions = true)
final class SimulateCommand implements Callable<Integer> {
    @Parameters(paramLabel = "SCENARIO", arity = "1..*", description = "Scenario files.")
    private List<Path> files;

    @Option(
            names = "--policy",
            paramLabel = "NAME",
            split = ",",
            description = "Policies to run; see: lab policies.")
    private List<String> policies = List.of(Policies.TRAILTHREAD.name());

    @Mixin private RunOptions options;

    @Option(
            names = "--out",
            paramLabel = "FILE",
            description = "Appends each result as a line of JSON.")
    private Path out;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        PrintWriter print = spec.commandLine().getOut();
        List<RunExecutor.RunSpec> specs = new ArrayList<>();
        for (Path file : files) {
            Scenario scenario = ScenarioReader.read(file);
            for (String policy : policies) {
                for (long seed : options.allSeeds()) {
                    specs.add(new RunExecutor.RunSpec(scenario, Policies.byName(policy), seed));
                }
            }
        }
        print.println(Result.tableHeader());
        List<Result> results = RunExecutor.runAll(specs, options.threads, result -> {});
        int status = Lab.SUCCESS;
        for (int i = 0; i < results.size(); i++) {
            Result result = results.get(i);
            print.println(result.tableRow());
            if (out != null) {
                Files.writeString(
                        out,
                        result.json() + "\n",
                        StandardCharsets.UTF_8,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.APPEND);
            }
            if (!result.broken().isEmpty()) {
                status = Lab.VIOLATION;
                printViolations(specs.get(i), print);
            }
        }
        double events = results.stream().mapToLong(Result::events).sum();
        double totalMs = results.stream().mapToDouble(Result::wallMs).sum();
        double decisionMs = results.stream().mapToDouble(Result::decisionMs).sum();
        print.printf(
                Locale.ROOT,
                "%.0f events, %.2f million per second and thread; %.0f%% of the time in decisions%n",
                events,
                events / totalMs / 1e3,
                100 * decisionMs / totalMs);
        return status;
    }

    /**
     * Repeats a run, which is deterministic, and prints the first violations with their histories.
     * Results don't contain the histories.
     */
    private static void printViolations(RunExecutor.RunSpec spec, PrintWriter print) {
        Simulation.RunResult run = Simulation.run(spec.scenario(), spec.policy(), spec.seed());
        run.checker().violations().stream()
                .limit(3)
                .map(Violation::describe)
                .forEach(print::println);
    }
}
