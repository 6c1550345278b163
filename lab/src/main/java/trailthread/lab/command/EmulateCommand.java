package trailthread.lab.command;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import trailthread.lab.emulation.Emulation;
import trailthread.lab.scenario.Scenario;
import trailthread.lab.scenario.ScenarioReader;

/** Stand-in servers and discovery on loopback. */
@Command(
        name = "emulate",
        description = "Starts a scenario's workers and roster on loopback, and plays its faults.",
        mixinStandardHelpOptions = true)
final class EmulateCommand implements Callable<Integer> {
    @Parameters(
            paramLabel = "SCENARIO",
            description = "A scenario file; its length is how long it goes on.")
    private Path file;

    @Option(
            names = "--seed",
            paramLabel = "N",
            description = "Of all that is drawn; 1 if not given.")
    private long seed = 1;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        PrintWriter print = spec.commandLine().getOut();
        Scenario scenario = ScenarioReader.read(file);
        try (Emulation emulation = new Emulation(scenario, seed, 1)) {
            print.println("roster " + emulation.discoveryAt(0));
            print.println("workers " + String.join(" ", emulation.serversAt(0)));
            print.flush();
            emulation.run(true, d -> {});
        }
        return Lab.DONE;
    }
}
