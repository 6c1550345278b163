package trailthread.lab.command;

import java.util.stream.LongStream;
import picocli.CommandLine.Option;

/** What all runs in virtual time have in common. */
final class RunOptions {
    @Option(names = "--seed", paramLabel = "N", description = "The first seed; 1 if not given.")
    long seed = 1;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            description = "How many seeds, one after the other.")
    int seeds = 1;

    @Option(
            names = "--threads",
            paramLabel = "N",
            description = "How many runs at once; half of the processors if not given.")
    int threads = Math.max(1, Runtime.getRuntime().availableProcessors() / 2);

    long[] all() {
        if (seeds < 1 || threads < 1) {
            throw new IllegalArgumentException("--seeds and --threads take a number above 0");
        }
        return LongStream.range(seed, seed + seeds).toArray();
    }
}
