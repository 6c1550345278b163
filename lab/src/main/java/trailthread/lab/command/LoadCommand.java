package trailthread.lab.command;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
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

/** Generates load on running nodes. */
@Command(
        name = "load",
        description =
                "Sends the requests of a scenario's clients to nodes on loopback, in an open loop; "
                        + "latency counts from the intended start of each request.",
        mixinStandardHelpOptions = true)
final class LoadCommand implements Callable<Integer> {
    @Parameters(
            paramLabel = "SCENARIO",
            description = "A scenario file; its servers and faults are ignored.")
    private Path file;

    @Option(
            names = "--to",
            paramLabel = "PORT",
            split = ",",
            required = true,
            description =
                    "Ports of the nodes on 127.0.0.1; the first node is in the first zone, and so on.")
    private List<Integer> ports;

    @Option(
            names = "--connections",
            paramLabel = "N",
            description = "Connections opened to each node before the run.")
    private int connections;

    @Option(
            names = "--seed",
            paramLabel = "N",
            description = "Seed of the random streams; 1 by default.")
    private long seed = 1;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        PrintWriter print = spec.commandLine().getOut();
        Scenario scenario = ScenarioReader.read(file).withSingleServer();
        try (Emulation emulation = new Emulation(scenario, seed, 1)) {
            emulation.targetNodes(ports);
            if (connections > 0) {
                emulation.preconnect(connections);
            }
            long startedAt = System.nanoTime();
            emulation.run(false, current -> EmulationOutput.printProgress(current, print));
            Result result =
                    Result.of(
                            scenario,
                            "load",
                            seed,
                            emulation.metrics(),
                            emulation.checker(),
                            0,
                            System.nanoTime() - startedAt);
            print.println(Result.tableHeader());
            print.println(result.tableRow());
            print.println("most connections at once: " + emulation.maxClientConnections());
            emulation.checker().violations().stream()
                    .limit(3)
                    .map(Violation::describe)
                    .forEach(print::println);
            return !EmulationOutput.printTimeliness(emulation, print)
                    ? Lab.LATE
                    : result.broken().isEmpty() ? Lab.SUCCESS : Lab.VIOLATION;
        }
    }
}
