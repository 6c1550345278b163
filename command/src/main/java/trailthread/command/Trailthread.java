package trailthread.command;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The program's command line; each word is a class of its own. */
@Command(
        name = "trailthread",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description =
                "A load balancer for fleets of HTTP servers that are dear to overload and slow to recover.",
        subcommands = {
            ServeCommand.class,
            AdapterCommand.class,
            CheckCommand.class,
            RouteCommand.class
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done, or ended as asked",
            "1:route: no route takes the request",
            "2:bad use, a file with faults, or an address that can't be listened on"
        })
public final class Trailthread implements Callable<Integer> {
    /** Done. */
    static final int OK = 0;

    /** The answer is no. */
    static final int NO = 1;

    /** Bad use, or a file with faults. */
    static final int BAD = 2;

    @Spec private CommandSpec spec;

    /** Runs what the words say, and exits with its code; a server goes on. */
    public static void main(String[] args) {
        int code = run(args);
        if (code != ServeCommand.GOES_ON) {
            System.exit(code);
        }
    }

    /** Runs what the words say. */
    static int run(String... args) {
        return new CommandLine(new Trailthread()).execute(args);
    }

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }
}
