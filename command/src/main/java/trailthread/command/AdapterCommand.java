package trailthread.command;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import trailthread.daemon.Main;

/** Runs the decision module for the simulator. */
@Command(
        name = "adapter",
        mixinStandardHelpOptions = true,
        description = "Runs the decision module for the simulator, over standard input and output.")
final class AdapterCommand implements Callable<Integer> {
    @Override
    public Integer call() throws IOException {
        Main.main(new String[] {"adapter"});
        return Trailthread.EXIT_OK;
    }
}
