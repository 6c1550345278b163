package trailthread.configuration;

import java.util.List;
import trailthread.engine.pool.ServicesConfig;

/**
 * The contents of an operator's file.
 *
 * @param name the name of the node
 * @param listen the address for clients, {@code address:port}
 * @param seed of the random number generator, or null for a random seed
 * @param descriptors how many file descriptors the process may hold
 * @param operatorListen the address of the admin server, {@code address:port}, or null if there is
 *     none
 * @param services the pools and routes
 */
public record OperatorFile(
        String name,
        String listen,
        Long seed,
        int descriptors,
        String operatorListen,
        ServicesConfig services) {
    /**
     * The outcome of reading a file.
     *
     * @param contents of the file, or null if there are faults
     * @param faults in the order of the file
     */
    public record Result(OperatorFile contents, List<Fault> faults) {}
}
