package trailthread.configuration;

import java.util.List;
import trailthread.engine.pool.ServicesConfig;

/**
 * An operator's file, read.
 *
 * @param listen address:port for clients
 * @param seed for random numbers, or null: by chance
 * @param descriptors that the process may hold
 * @param operatorListen address:port for operators, or null: none
 */
public record OperatorFile(
        String name,
        String listen,
        Long seed,
        int descriptors,
        String operatorListen,
        ServicesConfig services) {
    /**
     * A file, or what is wrong with it.
     *
     * @param read null if there are faults
     * @param faults in the order of the file
     */
    public record Result(OperatorFile read, List<Fault> faults) {}
}
