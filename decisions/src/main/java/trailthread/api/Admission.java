package trailthread.api;

/** Which requests the host allows for now. */
public interface Admission {
    /**
     * Whether a request is taken; one that is not is turned away at once.
     *
     * @param overQuota its tenant has had this node's part of its quota
     * @param random uniform in [0, 1), drawn for this request
     */
    boolean takes(String requestClass, boolean overQuota, double random);
}
