package trailthread.daemon;

import java.io.IOException;
import java.io.Reader;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import trailthread.api.RequestClass;
import trailthread.api.Settings;
import trailthread.engine.degradation.DegradationConfig;
import trailthread.engine.discovery.DiscoveryUpdate;

/**
 * The configuration of a platform node, read from its JSON file and its environment variables.
 *
 * @param name the node's name, for logs and threads
 * @param listenAddress where clients connect
 * @param discoveryAddress the address of the discovery service in use
 * @param discoveryInFile the address of the discovery service in the file, which an environment
 *     variable may override; may be empty
 * @param seed of the random number generators
 * @param descriptorLimit the most file descriptors that the process may hold
 * @param knownEndpoints the endpoint list that the node had last, possibly out of date
 * @param settings of the decision module
 * @param idleCloseNs how long an endpoint keeps an idle connection open, in nanoseconds
 * @param drainGraceNs how long after the announcement of a drain new requests may still be sent, in
 *     nanoseconds
 * @param adminAddress where the admin server listens, or null if there is none
 * @param degradation the degradation levels, or null if there are none
 * @param keys the keys present in the file
 */
record NodeConfig(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        String discoveryInFile,
        long seed,
        int descriptorLimit,
        DiscoveryUpdate knownEndpoints,
        Settings settings,
        long idleCloseNs,
        long drainGraceNs,
        InetSocketAddress adminAddress,
        DegradationConfig degradation,
        ConfigKeys keys) {
    /** The environment variable that names the configuration file. */
    static final String FILE_VARIABLE = "LB_CONFIG";

    /**
     * Reads the file named by {@link #FILE_VARIABLE}; the other environment variables, where set,
     * override its keys.
     *
     * @throws ConfigException if the file can't be read or used
     */
    static NodeConfig load(Map<String, String> environment) throws ConfigException {
        String file = environment.getOrDefault(FILE_VARIABLE, "");
        try (Reader reader = Files.newBufferedReader(Path.of(file))) {
            return new NodeConfigParser(environment).parse(reader);
        } catch (ConfigException e) {
            throw new ConfigException(file, e);
        } catch (IOException e) {
            throw new ConfigException(FILE_VARIABLE, "a readable file, got '" + file + "'");
        }
    }

    /**
     * Reads the file again. Only the settings and the address of discovery are taken from it; all
     * else needs a restart. Once the file names another discovery service, the file overrides the
     * environment variable, as the variables of a running process can't be changed.
     *
     * <p>A file that lacks keys of the previous one is rejected: it was probably truncated, or read
     * while it was being written.
     *
     * @throws ConfigException if the file can't be used; this configuration then stays in use
     */
    NodeConfig reload(Map<String, String> environment) throws ConfigException {
        NodeConfig next = load(environment);
        String missing = keys.firstMissingIn(next.keys);
        if (missing != null) {
            throw new ConfigException(missing, "a value, as in the previous file");
        }
        boolean discoveryChanged =
                !next.discoveryInFile.isEmpty() && !next.discoveryInFile.equals(discoveryInFile);
        return new NodeConfig(
                name,
                listenAddress,
                discoveryChanged
                        ? NodeConfigParser.discoveryAddress(next.discoveryInFile)
                        : discoveryAddress,
                discoveryChanged ? next.discoveryInFile : discoveryInFile,
                seed,
                descriptorLimit,
                knownEndpoints,
                next.settings,
                next.idleCloseNs,
                next.drainGraceNs,
                adminAddress,
                degradation,
                next.keys);
    }

    /** The longest deadline of any request class, in nanoseconds. */
    long longestDeadlineNs() {
        return settings.classes.stream().mapToLong(RequestClass::deadlineNs).max().orElseThrow();
    }
}
