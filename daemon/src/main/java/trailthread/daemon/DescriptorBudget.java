package trailthread.daemon;

import trailthread.daemon.admin.AdminServer;

/**
 * How a node divides the file descriptors that it may hold.
 *
 * @param limit how many the process may hold
 * @param reserved how many the process keeps for the Java virtual machine, the listening socket,
 *     discovery and the admin server
 * @param forClients the most connections to clients
 * @param forEndpoints the most connections to endpoints
 */
public record DescriptorBudget(int limit, int reserved, int forClients, int forEndpoints) {
    /** For the Java virtual machine, the listening socket and discovery. */
    private static final int BASE_DESCRIPTORS = 48;

    /**
     * The share of the remaining descriptors that goes to clients. Each request in flight takes one
     * connection on either side; clients get more, as some of their connections are idle.
     */
    private static final double CLIENTS_SHARE = 0.6;

    /**
     * Divides the descriptors.
     *
     * @param limit how many the process may hold
     * @param hasAdminServer whether some are reserved for the admin server
     */
    public static DescriptorBudget of(int limit, boolean hasAdminServer) {
        int reserved = BASE_DESCRIPTORS + (hasAdminServer ? AdminServer.MAX_DESCRIPTORS : 0);
        int remaining = limit - reserved;
        int forClients = (int) (CLIENTS_SHARE * remaining);
        return new DescriptorBudget(limit, reserved, forClients, remaining - forClients);
    }
}
