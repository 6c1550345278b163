package trailthread.daemon;

import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.Reader;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import trailthread.api.Settings;
import trailthread.engine.degradation.DegradationConfig;
import trailthread.engine.discovery.DiscoveryParser;
import trailthread.engine.discovery.DiscoveryUpdate;
import trailthread.settings.SettingsParser;

/**
 * What a node is told at its start.
 *
 * @param told discovery as the file names it; {@code discovery} is the one to use
 * @param sockets how many file descriptors the node may hold
 * @param known the list of endpoints as this node had it last, perhaps old
 * @param idleCloseNs how long an endpoint leaves an idle connection open
 * @param drainGraceNs how long after the news of a drain something new may still be sent
 * @param management where operators ask and steer the node, or null: nowhere
 * @param levels levels of service, or null: none
 * @param keys those that the file has
 */
record NodeConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        String told,
        long seed,
        int sockets,
        DiscoveryUpdate known,
        Settings settings,
        long idleCloseNs,
        long drainGraceNs,
        InetSocketAddress management,
        DegradationConfig levels,
        ConfigKeys keys) {
    private static final String FILE = "LB_CONFIG";
    private static final int DEFAULT_SOCKETS = 1024;

    /** The virtual machine alone holds some thirty. */
    private static final int LEAST_SOCKETS = 96;

    private static final long DEFAULT_IDLE_CLOSE_NS = 5_000_000_000L;
    private static final long DEFAULT_DRAIN_GRACE_NS = 1_000_000_000L;

    /** Reads the file that LB_CONFIG names; the other variables, where set, go before its keys. */
    static NodeConfig load(Map<String, String> environment) throws ConfigException {
        String file = environment.getOrDefault(FILE, "");
        try (Reader reader = Files.newBufferedReader(Path.of(file))) {
            return parse(reader, environment);
        } catch (IOException e) {
            throw new ConfigException(FILE, "a file that can be read, got '" + file + "'");
        }
    }

    /**
     * Reads the file again, for the settings and for where discovery is now. Once the file names
     * another one, that goes before LB_DISCOVERY: nobody can change the variables of a program that
     * runs. A file that lacks what the one before had is one that was cut short or written by half,
     * and of no use.
     *
     * @throws ConfigException if the file is of no use; what was read before stands
     */
    NodeConfig reload(Map<String, String> environment) throws ConfigException {
        NodeConfig now = load(environment);
        String lost = keys.lostIn(now.keys);
        if (lost != null) {
            throw new ConfigException(lost, "a value, as in the file before");
        }
        boolean moves = !now.told.isEmpty() && !now.told.equals(told);
        return new NodeConfig(
                name,
                listen,
                moves ? address("discovery", now.told, 1) : discovery,
                moves ? now.told : told,
                seed,
                sockets,
                known,
                now.settings,
                now.idleCloseNs,
                now.drainGraceNs,
                management,
                levels,
                now.keys);
    }

    static NodeConfig parse(Reader json, Map<String, String> environment) throws ConfigException {
        String name = "node";
        String listen = "";
        String discovery = "";
        String seed = "";
        String management = null;
        Map<String, String> levels = null;
        int sockets = DEFAULT_SOCKETS;
        DiscoveryUpdate known = new DiscoveryUpdate(0, true, List.of());
        SettingsParser settings = new SettingsParser("settings");
        ConfigKeys keys = new ConfigKeys();
        String key = FILE;
        try (JsonReader in = new JsonReader(json)) {
            in.setStrictness(Strictness.STRICT);
            in.beginObject();
            while (in.hasNext()) {
                key = in.nextName();
                keys.add(key);
                switch (key) {
                    case "name" -> name = in.nextString();
                    case "listen" -> listen = in.nextString();
                    case "discovery" -> discovery = in.nextString();
                    case "seed" -> seed = in.nextString();
                    case "limits" -> sockets = sockets(in);
                    case "known" -> known = DiscoveryParser.read(in);
                    case "management" -> management = in.nextString();
                    case "operator" ->
                            throw new ConfigException("operator.listen", "management in its place");
                    case "levels" -> {
                        levels = new HashMap<>();
                        flatten("", in, levels::put);
                    }
                    case "settings" ->
                            flatten(
                                    "",
                                    in,
                                    (path, value) -> {
                                        settings.add(path, value);
                                        keys.add("settings." + path);
                                    });
                    default -> in.skipValue();
                }
            }
            in.endObject();
            key = FILE;
            if (in.peek() != JsonToken.END_DOCUMENT) {
                throw new IOException("nothing after its end");
            }
        } catch (IOException | IllegalStateException | NumberFormatException e) {
            throw new ConfigException(key, "JSON that can be used: " + firstLine(e));
        }
        management = environment.getOrDefault("LB_MANAGEMENT", management);
        try {
            Settings usable = settings.parse();
            usable.check();
            return new NodeConfig(
                    environment.getOrDefault("LB_NAME", name),
                    address("listen", environment.getOrDefault("LB_LISTEN", listen), 0),
                    address("discovery", environment.getOrDefault("LB_DISCOVERY", discovery), 1),
                    discovery,
                    seed(seed),
                    sockets,
                    known,
                    usable,
                    settings.whole("limits.idle_close_ns", DEFAULT_IDLE_CLOSE_NS),
                    settings.whole("safety.drain_grace_ns", DEFAULT_DRAIN_GRACE_NS),
                    management == null ? null : address("management", management, 0),
                    levels == null ? null : DegradationConfig.parse(levels, usable.classes),
                    keys);
        } catch (IllegalArgumentException e) {
            throw new ConfigException(e);
        }
    }

    private static String firstLine(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }

    private static int sockets(JsonReader in) throws IOException {
        int sockets = DEFAULT_SOCKETS;
        in.beginObject();
        while (in.hasNext()) {
            if (in.nextName().equals("sockets")) {
                sockets = in.nextInt();
            } else {
                in.skipValue();
            }
        }
        in.endObject();
        if (sockets < LEAST_SOCKETS) {
            throw new IOException("sockets: at least " + LEAST_SOCKETS);
        }
        return sockets;
    }

    /**
     * Hands a value to the parser in the paths of the simulator's wire: plain lists joined by
     * commas, of a list of objects the length under {@code .count} and the items under their
     * numbers.
     */
    private static void flatten(String path, JsonReader in, BiConsumer<String, String> out)
            throws IOException {
        switch (in.peek()) {
            case BEGIN_OBJECT -> {
                in.beginObject();
                while (in.hasNext()) {
                    String name = in.nextName();
                    flatten(path.isEmpty() ? name : path + "." + name, in, out);
                }
                in.endObject();
            }
            case BEGIN_ARRAY -> {
                List<String> plain = new ArrayList<>();
                int objects = 0;
                in.beginArray();
                while (in.hasNext()) {
                    if (in.peek() == JsonToken.BEGIN_OBJECT) {
                        flatten(path + "." + objects++, in, out);
                    } else {
                        plain.add(in.nextString());
                    }
                }
                in.endArray();
                out.accept(path + ".count", Integer.toString(objects));
                out.accept(path, String.join(",", plain));
            }
            case BOOLEAN -> out.accept(path, Boolean.toString(in.nextBoolean()));
            case NULL -> in.nextNull();
            default -> out.accept(path, in.nextString());
        }
    }

    private static long seed(String text) throws ConfigException {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new ConfigException("seed", "1 to 16 hex digits, got '" + text + "'");
        }
    }

    private static InetSocketAddress address(String key, String text, int leastPort)
            throws ConfigException {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= leastPort) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (IllegalArgumentException e) {
            // told below, with the key
        }
        throw new ConfigException(key, "address:port, got '" + text + "'");
    }
}
