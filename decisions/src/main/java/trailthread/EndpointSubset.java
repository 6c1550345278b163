package trailthread;

import java.util.ArrayList;
import java.util.List;

/**
 * The listed endpoints that this node sends to: all of them, or a subset; see {@link
 * SubsetSelector}.
 */
final class EndpointSubset {
    private final List<Endpoint> endpoints = new ArrayList<>();
    private double sharingNodes = 1;

    List<Endpoint> endpoints() {
        return endpoints;
    }

    int size() {
        return endpoints.size();
    }

    /** How many nodes send to each endpoint on average, by this node's estimate; at least 1. */
    double sharingNodes() {
        return sharingNodes;
    }

    void replace(List<Endpoint> next, double nextSharingNodes) {
        endpoints.clear();
        endpoints.addAll(next);
        sharingNodes = nextSharingNodes;
    }
}
