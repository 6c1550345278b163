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

/** Serves: with an operator's file its services, without one what the platform says. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = {
            "Serves the services of an operator's file; SIGHUP reads it again, SIGTERM ends in order.",
            "Without a file it is the platform's node, configured by LB_CONFIG and the other variables."
        })
final class ServeCommand implements Callable<Integer> {
    /** The process lives on after the command line has done its part. */
    static final int GOES_ON = -1;

    @Parameters(arity = "0..1", paramLabel = "FILE", description = "The operator's file, in TOML.")
    private Path file;

    @Override
    public Integer call() throws IOException {
        if (file == null) {
            Main.main(new String[] {"serve"});
            return GOES_ON;
        }
        OperatorFile read = CheckCommand.readOrTell(file);
        if (read == null) {
            return Trailthread.BAD;
        }
        Lifecycle.startLean();
        CompletableFuture<Runnable> reload = Lifecycle.onHangup();
        ServiceNode node = new ServiceNode(file, read);
        try {
            Lifecycle.start(node::start, node::stop);
        } catch (IOException e) {
            System.err.println("trailthread: listen on " + read.listen() + ": " + e.getMessage());
            return Trailthread.BAD;
        }
        reload.complete(node::reload);
        return GOES_ON;
    }
}
