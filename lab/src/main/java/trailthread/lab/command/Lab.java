package trailthread.lab.command;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The lab's command line. */
@Command(
        name = "trailthread lab",
        description =
                "Simulates server fleets in virtual time, emulates them on loopback and generates load.",
        mixinStandardHelpOptions = true,
        subcommands = {
            SimulateCommand.class,
            CompareCommand.class,
            RunCommand.class,
            EmulateCommand.class,
            LoadCommand.class,
            PoliciesCommand.class
        })
public final class Lab implements Callable<Integer> {
    /** Exit code: success. */
    static final int SUCCESS = 0;

    /**
     * Exit code: an invariant was violated, or the load balancer requested an impossible action.
     */
    static final int VIOLATION = 1;

    /** Exit code: invalid arguments or an invalid scenario. */
    static final int USAGE_ERROR = 2;

    /** Exit code: this machine ran the emulation too late for valid results. */
    static final int LATE = 3;

    @Spec private CommandSpec spec;

    private Lab() {}

    /** Executes a command and exits with its exit code. */
    public static void main(String[] args) {
        System.exit(commandLine().execute(args));
    }

    /** The command line that {@link #main} executes. */
    static CommandLine commandLine() {
        return new CommandLine(new Lab())
                .setExecutionExceptionHandler(
                        (e, line, parsed) -> {
                            line.getErr()
                                    .println(
                                            "trailthread lab: "
                                                    + (e.getMessage() == null
                                                            ? e
                                                            : e.getMessage()));
                            if (e instanceof trailthread.lab.simulation.BalancerFailureException) {
                                return VIOLATION;
                            }
                            if (!(e instanceof java.io.IOException
                                    || e instanceof IllegalArgumentException
                                    || e
                                            instanceof
                                            trailthread.lab.scenario.ScenarioReader
                                                    .InvalidScenarioException)) {
                                e.printStackTrace(line.getErr());
                            }
                            return USAGE_ERROR;
                        });
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getOut());
        return USAGE_ERROR;
    }
}
