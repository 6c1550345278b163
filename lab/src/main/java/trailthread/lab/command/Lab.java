package trailthread.lab.command;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The lab's command line. */
@Command(
        name = "trailthread lab",
        description = "Fleets in virtual time and on loopback, load, experiments, reports.",
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
    /** Done. */
    static final int DONE = 0;

    /** A rule was broken, or the decisions ran wild. */
    static final int BROKEN = 1;

    /** Bad use, or a scenario with faults. */
    static final int BAD_USE = 2;

    /** The run came late on this machine, and is no result. */
    static final int LATE = 3;

    @Spec private CommandSpec spec;

    private Lab() {}

    /** Runs it. */
    public static void main(String[] args) {
        System.exit(commandLine().execute(args));
    }

    /** As {@link #main} runs it. */
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
                                return BROKEN;
                            }
                            if (!(e instanceof java.io.IOException
                                    || e instanceof IllegalArgumentException
                                    || e
                                            instanceof
                                            trailthread.lab.scenario.ScenarioReader
                                                    .InvalidScenarioException)) {
                                e.printStackTrace(line.getErr());
                            }
                            return BAD_USE;
                        });
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getOut());
        return BAD_USE;
    }
}
