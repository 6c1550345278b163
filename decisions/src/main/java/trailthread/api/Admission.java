package trailthread.api;

/** The rule by which the host admits requests, before the balancer decides on them. */
public interface Admission {
    /**
     * Whether a request is admitted; one that is not is rejected at once.
     *
     * @param overQuota whether the tenant has used up this node's part of its quota
     * @param random uniform in [0, 1), drawn for this request
     */
    boolean admits(String requestClass, boolean overQuota, double random);
}
