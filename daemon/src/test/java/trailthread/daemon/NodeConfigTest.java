package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.StringReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.Test;
import trailthread.api.Idempotency;
import trailthread.degradation.Reading;
import trailthread.engine.degradation.DegradationConfig;
import trailthread.testkit.TestCluster;

/** Parsing, validation and reload of a node's configuration. */
public class NodeConfigTest {
    private static final String GOOD =
            "{\"name\":\"n3\",\"listen\":\"10.0.0.4:8080\","
                    + "\"discovery\":\"10.2.0.1:85\",\"seed\":\"8c1f30d27a5be964\","
                    + "\"limits\":{\"cores\":1.0,\"sockets\":300},\"new\":[{}],"
                    + "\"known\":{\"generation\":4,\"reset\":true,\"instances\":[]},"
                    + "\"settings\":{"
                    + TestCluster.SETTINGS
                    + "}}";

    private static NodeConfig parse(String json, Map<String, String> environment)
            throws ConfigException {
        return new NodeConfigParser(environment).parse(new StringReader(json));
    }

    @Test
    public void aValidFileIsRead() throws ConfigException {
        NodeConfig config = parse(GOOD, Map.of("LB_NAME", "n4"));
        assertEquals("a variable overrides its key", "n4", config.name());
        assertEquals(new InetSocketAddress("10.0.0.4", 8080), config.listenAddress());
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(300, config.descriptorLimit());
        assertEquals(4, config.knownEndpoints().generation());
        assertEquals(60_000_000_000L, config.idleCloseNs());
        assertEquals(3, config.settings().classes.size());
        assertEquals(Idempotency.IDEMPOTENCY_KEY, config.settings().classes.get(1).idempotency());
        assertTrue(config.settings().listIsPolled && config.settings().retryAfter);
        assertEquals("acme", config.settings().tenants.get(0).name());
    }

    @Test
    public void theAdminServerIsOffUnlessItHasAnAddress() throws ConfigException {
        assertNull(parse(GOOD, Map.of()).adminAddress());
        String withAdmin = GOOD.replaceFirst("\\{", "{\"management\":\"127.0.0.1:9200\",");
        assertEquals(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 9200),
                parse(withAdmin, Map.of()).adminAddress());
        for (String file : new String[] {withAdmin, GOOD}) {
            assertEquals(
                    9300,
                    parse(file, Map.of("LB_MANAGEMENT", "127.0.0.1:9300"))
                            .adminAddress()
                            .getPort());
        }
    }

    private static String management(String value) {
        return "{\"management\":" + value + "," + GOOD.substring(1);
    }

    private static String levels(String keys) {
        return GOOD.replace("\"known\"", "\"levels\":{" + keys + "},\"known\"");
    }

    @Test
    public void degradationLevelsAreOffUnlessTurnedOn() throws ConfigException {
        assertNull(parse(GOOD, Map.of()).degradation());
        assertNull(parse(levels("\"on\":false"), Map.of()).degradation());
        DegradationConfig degradation =
                parse(
                                levels(
                                        "\"on\":true,\"shed_first\":[\"use\"],"
                                                + "\"lean\":{\"failing\":{\"enter\":0.2,\"leave\":0.1}}"),
                                Map.of())
                        .degradation();
        assertEquals("use", degradation.order().names().get(0));
        assertEquals(
                Reading.FAILING, degradation.plan().levels.get(1).conditions().get(0).reading());
    }

    @Test
    public void errorsNameTheKey() {
        String[][] cases = {
            {"", "LB_CONFIG"},
            {"[]", "LB_CONFIG"},
            {GOOD.replace("\"n3\"", "[]"), "name"},
            {GOOD.replace("10.0.0.4:8080", "10.0.0.4"), "listen"},
            {GOOD.replace(":8080", ":80800"), "listen"},
            {GOOD.replace(":85", ":0"), "discovery"},
            {GOOD.replace("discovery", "other"), "discovery"},
            {GOOD.replace("8c1f", "8g1f"), "seed"},
            {GOOD.replace("8c1f", "8c1f8"), "seed"},
            {GOOD.replace("300", "30"), "limits"},
            {GOOD.replace("300", "\"few\""), "limits"},
            {GOOD.replace("generation", "other"), "known"},
            {GOOD.substring(0, GOOD.indexOf("instances")), "known"},
            {GOOD.replace("\"settings\"", "\"other\""), "classes"},
            {GOOD.replace("dedup", "maybe"), "categories.1.semantics"},
            {GOOD.replace("\"aim_ns\":1", "\"aim_ns\":x"), "settings"},
            {GOOD.replace("\"most_tries\":6", "\"most_tries\":\"six\""), "limits.most_tries"},
            {GOOD.replace("\"most_tries\":6", "\"most_tries\":0"), "maxAttempts"},
            {management("\"9100\""), "management"},
            {management("\"\""), "management"},
            {management("\"127.0.0.1:-1\""), "management"},
            {management("[9100]"), "management"},
            {
                GOOD.replaceFirst("\\{", "{\"operator\":{\"listen\":\"127.0.0.1:9100\"},"),
                "management"
            },
            {GOOD.replace("idle_close_ns\":6", "idle_close_ns\":0.6"), "limits.idle_close_ns"},
            {levels("\"on\":1"), "levels.on"},
            {levels(""), "levels.on"},
            {levels("\"on\":true,\"keep\":0"), "levels.keep"},
            {levels("\"on\":false,\"rise_s\":0"), "levels.rise_s"},
            {levels("\"on\":true,\"shed_first\":[\"none\"]"), "levels.shed_first"},
            {levels("\"on\":true,\"lean\":{\"slack\":1}"), "levels.lean.slack"},
            {
                levels("\"on\":true,\"reduced\":{\"failing\":{\"enter\":1.5}}"),
                "levels.reduced.failing.enter"
            },
            {levels("\"on\":true,\"reduced\":{\"leave_s\":\"x\"}"), "levels.reduced.leave_s"},
            {
                levels("\"on\":true,\"essential\":{\"least_stay_s\":1e9}"),
                "levels.essential.least_stay_s"
            },
        };
        for (String[] c : cases) {
            ConfigException e =
                    assertThrows(c[1], ConfigException.class, () -> parse(c[0], Map.of()));
            assertTrue(
                    e.getMessage(),
                    e.getMessage().contains(c[1]) && e.getMessage().lines().count() == 1);
        }
    }

    private static String edited(String key, String replacement) {
        String edited = GOOD.replaceAll(key, replacement);
        assertTrue(key + " is in the file", !edited.equals(GOOD));
        return edited;
    }

    /** Guards against keyed requests that run in two cells after a file without their group. */
    @Test
    public void aFileWithoutARequiredKeyOfAClassIsRejected() {
        String[][] cases = {
            {edited("\"name\":\"use\",", ""), "categories.2.name"},
            {edited("\"name\":\"use\"", "\"name\":5"), "categories.2.name"},
            {edited("\"name\":\"use\"", "\"name\":\"state\""), "categories.2.name"},
            {edited("\"aim_ns\":10000000000,(?=[^}]*fragile)", ""), "categories.2.aim_ns"},
            {edited("\"aim_ns\":10000000000", "\"aim_ns\":false"), "categories.0.aim_ns"},
            {edited("\"aim_ns\":10000000000", "\"aim_ns\":-1"), "categories.0.aim_ns"},
            {edited("\"deadline_ns\":20000000000,(?=[^}]*dedup)", ""), "categories.1.deadline_ns"},
            {
                edited("\"deadline_ns\":20000000000", "\"deadline_ns\":0"),
                "categories.0.deadline_ns"
            },
            {
                edited("\"deadline_ns\":20000000000", "\"deadline_ns\":[]"),
                "categories.0.deadline_ns"
            },
            {edited("\"semantics\":\"dedup\",", ""), "categories.1.semantics"},
            {edited("\"semantics\":\"dedup\"", "\"semantics\":null"), "categories.1.semantics"},
            {edited("\"semantics\":\"dedup\"", "\"semantics\":1"), "categories.1.semantics"},
            {edited("\"group\":\"cell\",", ""), "categories.1.group"},
            {edited("\"group\":\"cell\"", "\"group\":null"), "categories.1.group"},
            {edited("\"group\":\"cell\"", "\"group\":\"row\""), "categories.1.group"},
            {edited("\"group\":\"cell\"", "\"group\":{\"cell\":1}"), "categories.1.group"},
            {edited("(\"group\":\"cell\")", "$1,\"group\":\"all\""), "categories.1.group"},
            {edited(",\"window_ns\":20000000000", ""), "categories.1.window_ns"},
            {edited("\"window_ns\":20000000000", "\"window_ns\":-1"), "categories.1.window_ns"},
            {
                edited("\"window_ns\":20000000000", "\"window_ns\":\"long\""),
                "categories.1.window_ns"
            },
        };
        List<String> wrong = new ArrayList<>();
        for (String[] c : cases) {
            try {
                parse(c[0], Map.of());
                wrong.add("accepted, with a wrong " + c[1]);
            } catch (ConfigException e) {
                if (!e.getMessage().contains(c[1])) {
                    wrong.add("without the name of " + c[1] + ": " + e.getMessage());
                }
            }
        }
        assertEquals(List.of(), wrong);
    }

    /**
     * The environment variable is as old as the process, so a changed file overrides it; an
     * unchanged file must not.
     */
    @Test
    public void aReloadUsesTheDiscoveryAddressOfAChangedFile() throws Exception {
        Path file = Files.createTempFile("trailthread", ".json");
        try {
            Map<String, String> environment =
                    Map.of("LB_CONFIG", file.toString(), "LB_DISCOVERY", "10.9.0.1:85");
            NodeConfig config = parse(GOOD, environment);
            String[][] cases = {
                {GOOD, "10.9.0.1"},
                {GOOD.replace("10.2.0.1", "10.2.0.2"), "10.2.0.2"},
                {GOOD.replace("10.2.0.1", "10.2.0.2"), "10.2.0.2"},
                {GOOD, "10.2.0.1"},
            };
            for (String[] c : cases) {
                Files.writeString(file, c[0]);
                config = config.reload(environment);
                assertEquals(new InetSocketAddress(c[1], 85), config.discoveryAddress());
            }
            Files.writeString(file, GOOD.replace("\"discovery\"", "\"other\""));
            NodeConfig last = config;
            assertThrows("a truncated file", ConfigException.class, () -> last.reload(environment));
            Files.writeString(file, edited("\"group\":\"cell\",", ""));
            ConfigException e = assertThrows(ConfigException.class, () -> last.reload(environment));
            assertEquals(
                    "settings.categories.1.group: expected all, zone or cell for class 'action' in "
                            + file,
                    e.getMessage());
        } finally {
            Files.delete(file);
        }
    }
}
