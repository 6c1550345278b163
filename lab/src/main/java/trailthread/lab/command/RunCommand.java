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

/** A day with real nodes. */
@Command(
        name = "run",
        description =
                "Plays a scenario in real time with real nodes between stand-ins, and judges it.",
        mixinStandardHelpOptions = true)
final class RunCommand implements Callable<Integer> {
    @Parameters(paramLabel = "SCENARIO", description = "A scenario file.")
    private Path file;

    @Option(
            names = "--seed",
            paramLabel = "N",
            description = "Of all that is drawn; 1 if not given.")
    private long seed = 1;

    @Option(
            names = "--root",
            paramLabel = "DIR",
            description =
                    "A built checkout, whose deploy file names the nodes' "
                            + "command; this one if not given.")
    private Path root = Path.of(System.getProperty("trailthread.root", "."));

    @Option(
            names = "--logs",
            paramLabel = "DIR",
            description = "Where the nodes' configurations and logs go.")
    private Path logs;

    @Option(
            names = "--out",
            paramLabel = "FILE",
            description = "Adds the result as a line of JSON.")
    private Path out;

    @Option(names = "--quiet", description = "No line each second.")
    private boolean quiet;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        PrintWriter print = spec.commandLine().getOut();
        Scenario scenario = ScenarioReader.read(file);
        Path directory = logs != null ? logs : Files.createTempDirectory("trailthread-lab");
        try (Emulation emulation = new Emulation(scenario, seed, scenario.nodes())) {
            emulation.startNodes(Emulation.Program.ofCheckout(root.toAbsolutePath()), directory);
            print.println(
                    scenario.name()
                            + ": "
                            + scenario.nodes()
                            + " nodes are ready, before "
                            + scenario.fleet().servers()
                            + " workers; logs in "
                            + directory);
            print.flush();
            long begun = System.nanoTime();
            emulation.run(
                    true,
                    d -> {
                        if (!quiet) {
                            EmulationRun.progress(d, print);
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
                            System.nanoTime() - begun);
            print.println(Result.tableHeader());
            print.println(result.tableRow());
            emulation.checker().violations().stream()
                    .limit(3)
                    .map(Violation::describe)
                    .forEach(print::println);
            boolean counts = EmulationRun.counts(emulation, print);
            if (counts && out != null) {
                Files.writeString(
                        out,
                        result.json() + "\n",
                        StandardCharsets.UTF_8,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.APPEND);
            }
            return !counts ? Lab.LATE : result.broken().isEmpty() ? Lab.DONE : Lab.BROKEN;
        }
    }
}
