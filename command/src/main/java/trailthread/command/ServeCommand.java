package trailthread.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import trailthread.configuration.OperatorFile;
import trailthread.daemon.Lifecycle;
import trailthread.daemon.Main;
import trailthread.daemon.services.ServiceNode;

/** Runs a node that serves an operator's file or, without a file, a node of the platform. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = {
            "Runs the services of an operator's file; SIGHUP reloads it, SIGTERM shuts down gracefully.",
            "Without a file, runs a node of the platform, configured by LB_CONFIG and other LB_ variables."
        })
final class ServeCommand implements Callable<Integer> {
    /** Returned instead of an exit status if the process runs on after the command returns. */
    static final int KEEPS_RUNNING = -1;

    @Parameters(arity = "0..1", paramLabel = "FILE", description = "The operator's file, in TOML.")
    private Path file;

    @Override
    public Integer call() throws IOException {
        if (file == null) {
            Main.main(new String[] {"serve"});
            return KEEPS_RUNNING;
        }
        OperatorFile config = CheckCommand.readOrReport(file);
        if (config == null) {
            return Trailthread.EXIT_BAD_INPUT;
        }
        Lifecycle.setSystemProperties();
        CompletableFuture<Runnable> reload = Lifecycle.handleHangup();
        ServiceNode node = new ServiceNode(file, config);
        try {
            Lifecycle.start(node::start, node::stop);
        } catch (IOException e) {
            System.err.println("trailthread: listen on " + config.listen() + ": " + e.getMessage());
            return Trailthread.EXIT_BAD_INPUT;
        }
        reload.complete(node::reload);
        return KEEPS_RUNNING;
    }
}
