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

/** Load on nodes that run already. */
@Command(
        name = "load",
        description =
                "Sends a scenario's clients to nodes on loopback: an open loop, from intended times.",
        mixinStandardHelpOptions = true)
final class LoadCommand implements Callable<Integer> {
    @Parameters(paramLabel = "SCENARIO", description = "A scenario file: its clients and classes.")
    private Path file;

    @Option(
            names = "--to",
            paramLabel = "PORT",
            split = ",",
            required = true,
            description =
                    "Ports of the nodes on 127.0.0.1, the first one's in the first zone, and so on.")
    private List<Integer> ports;

    @Option(
            names = "--connections",
            paramLabel = "N",
            description = "Opened to each node ahead of need.")
    private int connections;

    @Option(
            names = "--seed",
            paramLabel = "N",
            description = "Of all that is drawn; 1 if not given.")
    private long seed = 1;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        PrintWriter print = spec.commandLine().getOut();
        Scenario scenario = ScenarioReader.read(file).withSingleServer();
        try (Emulation emulation = new Emulation(scenario, seed, 1)) {
            emulation.sendTo(ports);
            if (connections > 0) {
                emulation.openAhead(connections);
            }
            long begun = System.nanoTime();
            emulation.run(false, d -> EmulationRun.progress(d, print));
            Result result =
                    Result.of(
                            scenario,
                            "load",
                            seed,
                            emulation.metrics(),
                            emulation.checker(),
                            0,
                            System.nanoTime() - begun);
            print.println(Result.tableHeader());
            print.println(result.tableRow());
            print.println("most connections at once " + emulation.mostConnections());
            emulation.checker().violations().stream()
                    .limit(3)
                    .map(Violation::describe)
                    .forEach(print::println);
            return !EmulationRun.counts(emulation, print)
                    ? Lab.LATE
                    : result.broken().isEmpty() ? Lab.DONE : Lab.BROKEN;
        }
    }
}
