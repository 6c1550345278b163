package trailthread.engine.endpoint;

import java.util.List;

/**
 * The headers of a plain HTTP request that are forwarded to the endpoint.
 *
 * @param host the Host header as received, or empty: the endpoint's own address is sent
 * @param headers alternating names and values, as received; without hop-by-hop headers, and without
 *     those that the node sets itself
 */
public record ForwardedHeaders(String host, List<String> headers) {}
