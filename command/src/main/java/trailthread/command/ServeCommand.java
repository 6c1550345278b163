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

/** Runs a node: with an operator's file its services, without one a platform node. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = {
            "Serves the services of an operator's file; SIGHUP reads it again, SIGTERM ends in order.",
            "Without a file it is the platform's node, configured by LB_CONFIG and the other variables."
        })
final class ServeCommand implements Callable<Integer> {
    /** Returned in place of an exit status, as the process goes on after the command line. */
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
            return Trailthread.BAD;
        }
        Lifecycle.setSystemProperties();
        CompletableFuture<Runnable> reload = Lifecycle.handleHangup();
        ServiceNode node = new ServiceNode(file, config);
        try {
            Lifecycle.start(node::start, node::stop);
        } catch (IOException e) {
            System.err.println("trailthread: listen on " + config.listen() + ": " + e.getMessage());
            return Trailthread.BAD;
        }
        reload.complete(node::reload);
        return KEEPS_RUNNING;
    }
}
