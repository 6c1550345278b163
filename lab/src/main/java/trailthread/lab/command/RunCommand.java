package trailthread.lab.command;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import trailthread.lab.emulation.Emulation;
import trailthread.lab.experiment.Result;
import trailthread.lab.invariant.Violation;
import trailthread.lab.scenario.Scenario;
import trailthread.lab.scenario.ScenarioReader;

/** Runs a scenario in real time with real nodes. */
@Command(
        name = "run",
        description =
                "Runs a scenario in real time, with real nodes between emulated clients and servers, "
                        + "and checks its invariants.",
        mixinStandardHelpOptions = true)
final class RunCommand implements Callable<Integer> {
    @Parameters(paramLabel = "SCENARIO", description = "A scenario file.")
    private Path file;

    @Option(
            names = "--seed",
            paramLabel = "N",
            description = "Seed of the random streams; 1 by default.")
    private long seed = 1;

    @Option(
            names = "--root",
            paramLabel = "DIR",
            description =
                    "A built checkout, whose deploy file contains the command that starts a node; "
                            + "this checkout by default.")
    private Path root = Path.of(System.getProperty("trailthread.root", "."));

    @Option(
            names = "--logs",
            paramLabel = "DIR",
            description =
                    "Directory for the configurations and logs of the nodes; temporary by default.")
    private Path logs;

    @Option(
            names = "--out",
            paramLabel = "FILE",
            description = "Appends the result as a line of JSON.")
    private Path out;

    @Option(names = "--quiet", description = "Prints no progress line each second.")
    private boolean quiet;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        PrintWriter print = spec.commandLine().getOut();
        Scenario scenario = ScenarioReader.read(file);
        Path directory = logs != null ? logs : Files.createTempDirectory("trailthread-lab");
        try (Emulation emulation = new Emulation(scenario, seed, scenario.nodes())) {
            emulation.startNodes(Emulation.Program.fromCheckout(root.toAbsolutePath()), directory);
            print.println(
                    scenario.name()
                            + ": "
                            + scenario.nodes()
                            + " nodes are ready, with "
                            + scenario.fleet().servers()
                            + " servers; logs in "
                            + directory);
            print.flush();
            long startedAt = System.nanoTime();
            emulation.run(
                    true,
                    current -> {
                        if (!quiet) {
                            EmulationOutput.printProgress(current, print);
                        }
                    });
            Result result =
                    Result.of(
                            scenario,
                            "node",
                            seed,
                            emulation.metrics(),
                            emulation.checker(),
                            0,
                            System.nanoTime() - startedAt);
            print.println(Result.tableHeader());
            print.println(result.tableRow());
            emulation.checker().violations().stream()
                    .limit(3)
                    .map(Violation::describe)
                    .forEach(print::println);
            boolean valid = EmulationOutput.printTimeliness(emulation, print);
            if (valid && out != null) {
                Files.writeString(
                        out,
                        result.json() + "\n",
                        StandardCharsets.UTF_8,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.APPEND);
            }
            return !valid ? Lab.LATE : result.broken().isEmpty() ? Lab.SUCCESS : Lab.VIOLATION;
        }
    }
}
