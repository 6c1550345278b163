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

/** Emulates servers and discovery on loopback. */
@Command(
        name = "emulate",
        description =
                "Emulates the servers and discovery of a scenario on loopback, with its faults.",
        mixinStandardHelpOptions = true)
final class EmulateCommand implements Callable<Integer> {
    @Parameters(
            paramLabel = "SCENARIO",
            description = "A scenario file; its length is the duration of the emulation.")
    private Path file;

    @Option(
            names = "--seed",
            paramLabel = "N",
            description = "Seed of the random streams; 1 by default.")
    private long seed = 1;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        PrintWriter print = spec.commandLine().getOut();
        Scenario scenario = ScenarioReader.read(file);
        try (Emulation emulation = new Emulation(scenario, seed, 1)) {
            print.println("roster " + emulation.discoveryAddress(0));
            print.println("workers " + String.join(" ", emulation.serverAddresses(0)));
            print.flush();
            emulation.run(true, current -> {});
        }
        return Lab.SUCCESS;
    }
}
