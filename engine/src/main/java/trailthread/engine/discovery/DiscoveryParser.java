package trailthread.engine.discovery;

import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.List;
import trailthread.api.EndpointState;

/** Reads discovery's JSON; unknown keys are skipped. */
public final class DiscoveryParser {
    private static final int MOST_PORT = 65535;

    /** Of an IPv4 address. */
    private static final int OCTETS = 4;

    private static final int MOST_OCTET = 255;
    private static final int MOST_OCTET_DIGITS = 3;

    /** What can still be told in nanoseconds. */
    private static final long LATEST_MS = Long.MAX_VALUE / 1_000_000;

    private DiscoveryParser() {}

    /**
     * Reads one whole object.
     *
     * @throws IOException if it is not one, or lacks what an endpoint must have; the message says
     *     what
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

    /** Reads the object that begins here. */
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
                    case "instances" -> instances = entries(in);
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

    private static List<DiscoveredEndpoint> entries(JsonReader in) throws IOException {
        List<DiscoveredEndpoint> entries = new ArrayList<>();
        in.beginArray();
        while (in.hasNext()) {
            entries.add(entry(in));
        }
        in.endArray();
        return entries;
    }

    private static DiscoveredEndpoint entry(JsonReader in) throws IOException {
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
                case "lifecycle" -> lifecycle = lifecycle(in.nextString());
                case "weight" -> weight = in.nextDouble();
                case "startedAtMs" -> startedAtMs = in.nextLong();
                default -> in.skipValue();
            }
        }
        in.endObject();
        if (instanceId == null || hostPort == null || lifecycle == null) {
            throw new IOException("expected instanceId, hostPort and lifecycle of each instance");
        }
        if (!isHostPort(hostPort) || startedAtMs < 0 || startedAtMs > LATEST_MS) {
            throw new IOException(
                    "expected address:port and Unix milliseconds, got "
                            + hostPort
                            + " and "
                            + startedAtMs);
        }
        return new DiscoveredEndpoint(
                instanceId, hostPort, zone, cell, lifecycle, weight, startedAtMs);
    }

    private static boolean isHostPort(String text) {
        if (isPlainAddress(text)) {
            return true;
        }
        try {
            URI uri = new URI("http://" + text);
            return uri.getHost() != null
                    && uri.getPort() > 0
                    && uri.getPort() <= MOST_PORT
                    && text.equals(uri.getAuthority());
        } catch (URISyntaxException e) {
            return false;
        }
    }

    /**
     * Whether it is an IPv4 address and a port, told apart without a URI of its own: a list has
     * thousands, nearly all of this form.
     */
    private static boolean isPlainAddress(String text) {
        int octets = 1;
        int digits = 0;
        int number = 0;
        int at = 0;
        for (; at < text.length() && text.charAt(at) != ':'; at++) {
            char c = text.charAt(at);
            if (c == '.' && digits > 0) {
                octets++;
                digits = 0;
                number = 0;
            } else if (c >= '0' && c <= '9' && digits < MOST_OCTET_DIGITS) {
                digits++;
                number = 10 * number + c - '0';
            } else {
                return false;
            }
            if (number > MOST_OCTET) {
                return false;
            }
        }
        return octets == OCTETS && digits > 0 && isPort(text, at + 1);
    }

    private static boolean isPort(String text, int from) {
        int port = 0;
        for (int at = from; at < text.length(); at++) {
            char c = text.charAt(at);
            if (c < '0' || c > '9' || port > MOST_PORT) {
                return false;
            }
            port = 10 * port + c - '0';
        }
        return port > 0 && port <= MOST_PORT;
    }

    private static EndpointState lifecycle(String word) throws IOException {
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
