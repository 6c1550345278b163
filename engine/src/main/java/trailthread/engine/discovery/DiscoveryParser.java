package trailthread.engine.discovery;

import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.List;
import trailthread.api.EndpointState;

/** Parses the JSON of discovery's endpoint lists; unknown keys are skipped. */
public final class DiscoveryParser {
    /** The latest time that a long holds in nanoseconds. */
    private static final long MAX_TIME_MS = Long.MAX_VALUE / 1_000_000;

    private DiscoveryParser() {}

    /**
     * Parses a text that holds one update and nothing else.
     *
     * @throws IOException if the text is malformed or lacks a required key; the message says which
     */
    public static DiscoveryUpdate parse(String json) throws IOException {
        JsonReader in = new JsonReader(new StringReader(json));
        in.setStrictness(Strictness.STRICT);
        DiscoveryUpdate update = read(in);
        if (in.peek() != JsonToken.END_DOCUMENT) {
            throw new IOException("expected one object");
        }
        return update;
    }

    /**
     * Reads the update that begins at the reader's position.
     *
     * @throws IOException if it is malformed or lacks a required key; the message says which
     */
    public static DiscoveryUpdate read(JsonReader in) throws IOException {
        long generation = -1;
        boolean reset = false;
        List<DiscoveredEndpoint> instances = null;
        try {
            in.beginObject();
            while (in.hasNext()) {
                switch (in.nextName()) {
                    case "generation" -> generation = in.nextLong();
                    case "reset" -> reset = in.nextBoolean();
                    case "instances" -> instances = readEndpoints(in);
                    default -> in.skipValue();
                }
            }
            in.endObject();
        } catch (IllegalStateException | NumberFormatException e) {
            throw new IOException(e.getMessage(), e);
        }
        if (generation < 0 || instances == null) {
            throw new IOException("expected generation and instances");
        }
        return new DiscoveryUpdate(generation, reset, instances);
    }

    private static List<DiscoveredEndpoint> readEndpoints(JsonReader in) throws IOException {
        List<DiscoveredEndpoint> endpoints = new ArrayList<>();
        in.beginArray();
        while (in.hasNext()) {
            endpoints.add(readEndpoint(in));
        }
        in.endArray();
        return endpoints;
    }

    private static DiscoveredEndpoint readEndpoint(JsonReader in) throws IOException {
        String instanceId = null;
        String hostPort = null;
        String zone = "";
        int cell = -1;
        EndpointState lifecycle = null;
        double weight = 1;
        long startedAtMs = 0;
        in.beginObject();
        while (in.hasNext()) {
            String name = in.nextName();
            if (in.peek() == JsonToken.NULL) {
                in.nextNull();
                continue;
            }
            switch (name) {
                case "instanceId" -> instanceId = in.nextString();
                case "hostPort" -> hostPort = in.nextString();
                case "zone" -> zone = in.nextString();
                case "cell" -> cell = in.nextInt();
                case "lifecycle" -> lifecycle = parseLifecycle(in.nextString());
                case "weight" -> weight = in.nextDouble();
                case "startedAtMs" -> startedAtMs = in.nextLong();
                default -> in.skipValue();
            }
        }
        in.endObject();
        if (instanceId == null || hostPort == null || lifecycle == null) {
            throw new IOException("expected instanceId, hostPort and lifecycle of each instance");
        }
        if (!HostPort.isValid(hostPort) || startedAtMs < 0 || startedAtMs > MAX_TIME_MS) {
            throw new IOException(
                    "expected address:port and Unix milliseconds, got "
                            + hostPort
                            + " and "
                            + startedAtMs);
        }
        return new DiscoveredEndpoint(
                instanceId, hostPort, zone, cell, lifecycle, weight, startedAtMs);
    }

    private static EndpointState parseLifecycle(String word) throws IOException {
        return switch (word) {
            case "active" -> EndpointState.READY;
            case "leaving" -> EndpointState.DRAINING;
            case "left" -> EndpointState.GONE;
            default ->
                    throw new IOException(
                            "expected lifecycle active, leaving or left, got " + word);
        };
    }
}
