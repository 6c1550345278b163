package trailthread.lab.command;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import trailthread.lab.baseline.Policies;
import trailthread.lab.baseline.Policy;
import trailthread.lab.experiment.Comparison;
import trailthread.lab.experiment.Result;
import trailthread.lab.experiment.RunExecutor;
import trailthread.lab.scenario.Scenario;
import trailthread.lab.scenario.ScenarioReader;

/** Runs policies on the same scenarios and seeds, and compares their results. */
@Command(
        name = "compare",
        description =
                "Simulates scenarios with each policy over the same seeds and compares the results.",
        mixinStandardHelpOptions = true)
final class CompareCommand implements Callable<Integer> {
    @Parameters(paramLabel = "SCENARIO", arity = "1..*", description = "Scenario files.")
    private List<Path> files;

    @Option(
            names = "--policy",
            paramLabel = "NAME",
            split = ",",
            description =
                    "Policies to run; all by default. The first is compared with each other one.")
    private List<String> policies = Policies.all().stream().map(Policy::name).toList();

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
        for (Path file : files) {
            Scenario scenario = ScenarioReader.read(file);
            List<RunExecutor.RunSpec> specs = new ArrayList<>();
            for (String policy : policies) {
                for (long seed : options.allSeeds()) {
                    specs.add(new RunExecutor.RunSpec(scenario, Policies.byName(policy), seed));
                }
            }
            List<Result> results = RunExecutor.runAll(specs, options.threads, result -> {});
            print.println(new Comparison(results, policies.get(0)).table());
            print.flush();
            if (out != null) {
                for (Result result : results) {
                    Files.writeString(
                            out,
                            result.json() + "\n",
                            StandardCharsets.UTF_8,
                            StandardOpenOption.CREATE,
                            StandardOpenOption.APPEND);
                }
            }
        }
        return Lab.SUCCESS;
    }
}
