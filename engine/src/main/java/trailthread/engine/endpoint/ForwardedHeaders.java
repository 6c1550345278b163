package trailthread.engine.endpoint;

import java.util.List;

/**
 * What of a plain HTTP request goes to the endpoint besides target and body.
 *
 * @param host the Host header as it came, or empty: the endpoint's own address
 * @param headers names and values in turn, as they came; no hop-by-hop ones, and none that the node
 *     sets
 */
public record ForwardedHeaders(String host, List<String> headers) {}
