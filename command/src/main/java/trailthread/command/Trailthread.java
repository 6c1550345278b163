package trailthread.command;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The program's command line; each subcommand is a class of its own. */
@Command(
        name = "trailthread",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description =
                "A load balancer for fleets of HTTP servers that are costly to overload and slow to recover.",
        subcommands = {
            ServeCommand.class,
            AdapterCommand.class,
            CheckCommand.class,
            RouteCommand.class
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:success, including a requested shutdown",
            "1:route: no route takes the request",
            "2:wrong arguments, a file with faults, or an address that can't be listened on"
        })
public final class Trailthread implements Callable<Integer> {
    /** The exit status of success. */
    static final int EXIT_OK = 0;

    /** The exit status if no route takes the request. */
    static final int EXIT_NO_ROUTE = 1;

    /**
     * The exit status for wrong arguments, a file with faults, or an address that can't be bound.
     */
    static final int EXIT_BAD_INPUT = 2;

    @Spec private CommandSpec spec;

    /** Runs the command line and exits with its status, unless it started a server. */
    public static void main(String[] args) {
        int status = run(args);
        if (status != ServeCommand.KEEPS_RUNNING) {
            System.exit(status);
        }
    }

    /** Runs the command line and returns its exit status. */
    static int run(String... args) {
        return new CommandLine(new Trailthread()).execute(args);
    }

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }
}
