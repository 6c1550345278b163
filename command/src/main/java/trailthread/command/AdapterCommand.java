package trailthread.command;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import trailthread.daemon.Main;

/** Runs the decision module on the simulator's wire. */
@Command(
        name = "adapter",
        mixinStandardHelpOptions = true,
        description =
                "Plays the decision module on the simulator's wire, over standard input and output.")
final class AdapterCommand implements Callable<Integer> {
    @Override
    public Integer call() throws IOException {
        Main.main(new String[] {"adapter"});
        return Trailthread.OK;
    }
}
