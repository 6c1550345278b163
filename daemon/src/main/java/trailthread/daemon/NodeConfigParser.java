package trailthread.daemon;

import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.Reader;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import trailthread.api.Settings;
import trailthread.engine.degradation.DegradationConfig;
import trailthread.engine.discovery.DiscoveryParser;
import trailthread.engine.discovery.DiscoveryUpdate;
import trailthread.settings.SettingsParser;

/**
 * Parses the JSON configuration of a platform node. Each instance parses one file. Unknown keys are
 * ignored, as the file also holds keys for other programs.
 */
final class NodeConfigParser {
    private static final int DEFAULT_DESCRIPTOR_LIMIT = 1024;

    /** The Java virtual machine alone uses about 30 descriptors. */
    private static final int MIN_DESCRIPTOR_LIMIT = 96;

    private static final long DEFAULT_IDLE_CLOSE_NS = 5_000_000_000L;
    private static final long DEFAULT_DRAIN_GRACE_NS = 1_000_000_000L;

    /** A socket may listen on port 0, that is, on any free port. */
    private static final int MIN_LISTEN_PORT = 0;

    private static final int MIN_CONNECT_PORT = 1;
    private static final int SEED_RADIX = 16;

    private final Map<String, String> environment;
    private final ConfigKeys keys = new ConfigKeys();
    private final SettingsParser settings = new SettingsParser("settings");
    private final Map<String, JsonFlattener.Value> settingValues = new HashMap<>();
    private String name = "node";
    private String listen = "";
    private String discovery = "";
    private String seed = "";
    private String admin;
    private Map<String, String> degradation;
    private int descriptorLimit = DEFAULT_DESCRIPTOR_LIMIT;
    private DiscoveryUpdate knownEndpoints = new DiscoveryUpdate(0, true, List.of());

    /** The key being read, which an error message names. */
    private String currentKey = NodeConfig.FILE_VARIABLE;

    /**
     * Creates a parser.
     *
     * @param environment the variables that override keys of the file
     */
    NodeConfigParser(Map<String, String> environment) {
        this.environment = environment;
    }

    /**
     * Parses a file.
     *
     * @throws ConfigException if it is not JSON, or a value is missing or out of range
     */
    NodeConfig parse(Reader json) throws ConfigException {
        try (JsonReader in = new JsonReader(json)) {
            in.setStrictness(Strictness.STRICT);
            readFile(in);
        } catch (IOException | IllegalStateException | NumberFormatException e) {
            throw new ConfigException(currentKey, "valid JSON of the right type: " + firstLine(e));
        }
        try {
            return build();
        } catch (IllegalArgumentException e) {
            throw new ConfigException(e);
        }
    }

    private void readFile(JsonReader in) throws IOException, ConfigException {
        in.beginObject();
        while (in.hasNext()) {
            currentKey = in.nextName();
            keys.add(currentKey);
            readValue(in);
        }
        in.endObject();
        currentKey = NodeConfig.FILE_VARIABLE;
        if (in.peek() != JsonToken.END_DOCUMENT) {
            throw new IOException("text after the end of the object");
        }
    }

    private void readValue(JsonReader in) throws IOException, ConfigException {
        switch (currentKey) {
            case "name" -> name = in.nextString();
            case "listen" -> listen = in.nextString();
            case "discovery" -> discovery = in.nextString();
            case "seed" -> seed = in.nextString();
            case "limits" -> descriptorLimit = readDescriptorLimit(in);
            case "known" -> knownEndpoints = DiscoveryParser.read(in);
            case "management" -> admin = in.nextString();
            case "operator" ->
                    throw new ConfigException("operator.listen", "the key 'management' instead");
            case "levels" -> {
                degradation = new HashMap<>();
                JsonFlattener.flatten(in, value -> degradation.put(value.path(), value.text()));
            }
            case "settings" -> JsonFlattener.flatten(in, this::addSetting);
            default -> in.skipValue();
        }
    }

    private void addSetting(JsonFlattener.Value value) {
        settings.add(value.path(), value.text());
        settingValues.put(value.path(), value);
        keys.add("settings." + value.path());
    }

    private static int readDescriptorLimit(JsonReader in) throws IOException {
        int limit = DEFAULT_DESCRIPTOR_LIMIT;
        in.beginObject();
        while (in.hasNext()) {
            if (in.nextName().equals("sockets")) {
                limit = in.nextInt();
            } else {
                in.skipValue();
            }
        }
        in.endObject();
        if (limit < MIN_DESCRIPTOR_LIMIT) {
            throw new IOException("sockets must be at least " + MIN_DESCRIPTOR_LIMIT);
        }
        return limit;
    }

    private NodeConfig build() throws ConfigException {
        String adminHostPort = environment.getOrDefault("LB_MANAGEMENT", admin);
        if (keys.firstRepeated() != null) {
            throw new ConfigException(keys.firstRepeated(), "the key once");
        }
        RequiredClassKey.check(settingValues, settings);
        Settings parsed = settings.parse();
        parsed.check();
        return new NodeConfig(
                environment.getOrDefault("LB_NAME", name),
                address("listen", environment.getOrDefault("LB_LISTEN", listen), MIN_LISTEN_PORT),
                discoveryAddress(environment.getOrDefault("LB_DISCOVERY", discovery)),
                discovery,
                parseSeed(seed),
                descriptorLimit,
                knownEndpoints,
                parsed,
                settings.wholeNumber("limits.idle_close_ns", DEFAULT_IDLE_CLOSE_NS),
                settings.wholeNumber("safety.drain_grace_ns", DEFAULT_DRAIN_GRACE_NS),
                adminHostPort == null
                        ? null
                        : address("management", adminHostPort, MIN_LISTEN_PORT),
                degradation == null ? null : DegradationConfig.parse(degradation, parsed.classes),
                keys);
    }

    private static String firstLine(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }

    private static long parseSeed(String text) throws ConfigException {
        try {
            return Long.parseUnsignedLong(text, SEED_RADIX);
        } catch (NumberFormatException e) {
            throw new ConfigException("seed", "1 to 16 hex digits, got '" + text + "'");
        }
    }

    /**
     * Parses the address of the discovery service.
     *
     * @param hostPort {@code address:port}
     * @throws ConfigException if it is not an address with a port that can be connected to
     */
    static InetSocketAddress discoveryAddress(String hostPort) throws ConfigException {
        return address("discovery", hostPort, MIN_CONNECT_PORT);
    }

    private static InetSocketAddress address(String key, String hostPort, int minPort)
            throws ConfigException {
        int colon = hostPort.lastIndexOf(':');
        try {
            int port = Integer.parseInt(hostPort.substring(colon + 1));
            if (colon > 0 && port >= minPort) {
                return new InetSocketAddress(hostPort.substring(0, colon), port);
            }
        } catch (IllegalArgumentException e) {
            // reported below with the key
        }
        throw new ConfigException(key, "address:port, got '" + hostPort + "'");
    }
}
