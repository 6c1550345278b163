package trailthread.lab.command;

import java.util.stream.LongStream;
import picocli.CommandLine.Option;

/** Options of the commands that run simulations. */
final class RunOptions {
    @Option(names = "--seed", paramLabel = "N", description = "The first seed; 1 by default.")
    long seed = 1;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            description = "Number of consecutive seeds; 1 by default.")
    int seeds = 1;

    @Option(
            names = "--threads",
            paramLabel = "N",
            description = "Number of parallel runs; half the number of processors by default.")
    int threads = Math.max(1, Runtime.getRuntime().availableProcessors() / 2);

    long[] allSeeds() {
        if (seeds < 1 || threads < 1) {
            throw new IllegalArgumentException("--seeds and --threads must be at least 1");
        }
        return LongStream.range(seed, seed + seeds).toArray();
    }
}
