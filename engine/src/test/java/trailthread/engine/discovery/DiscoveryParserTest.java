package trailthread.engine.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import trailthread.api.EndpointState;

/** discovery's objects, right and wrong, and its lines. */
public class DiscoveryParserTest {
    private static final String GOOD =
            "{\"generation\":41,\"reset\":true,\"instances\":["
                    + "{\"instanceId\":\"s-5b\",\"hostPort\":\"10.1.0.18:8080\",\"zone\":\"a\","
                    + "\"machineType\":\"m2\",\"cell\":3,"
                    + "\"lifecycle\":\"active\",\"weight\":1.5,\"startedAtMs\":1700000000000}],\"new\":[1]}";

    @Test
    public void anObjectIsRead() throws IOException {
        assertEquals(
                new DiscoveryUpdate(
                        41,
                        true,
                        List.of(
                                new DiscoveredEndpoint(
                                        "s-5b",
                                        "10.1.0.18:8080",
                                        "a",
                                        3,
                                        EndpointState.READY,
                                        1.5,
                                        1_700_000_000_000L))),
                DiscoveryParser.parse(GOOD));
        assertEquals(EndpointState.DRAINING, lifecycle("leaving"));
        assertEquals(EndpointState.GONE, lifecycle("left"));
    }

    private static EndpointState lifecycle(String word) throws IOException {
        return DiscoveryParser.parse(GOOD.replace("active", word)).instances().get(0).lifecycle();
    }

    @Test
    public void whatMayBeMissingMay() throws IOException {
        String few =
                "{\"generation\":0,\"instances\":[{\"instanceId\":\"s\",\"hostPort\":\"[::1]:80\","
                        + "\"cell\":null,\"lifecycle\":\"active\"}]}";
        assertEquals(
                new DiscoveryUpdate(
                        0,
                        false,
                        List.of(
                                new DiscoveredEndpoint(
                                        "s", "[::1]:80", "", -1, EndpointState.READY, 1, 0))),
                DiscoveryParser.parse(few));
    }

    @Test
    public void whatIsMalformedIsTold() {
        String[] bad = {
            "",
            "null",
            "[]",
            "{}",
            GOOD + "{}",
            GOOD.substring(0, GOOD.length() - 1),
            GOOD.replace("41", "-1"),
            GOOD.replace("41", "\"new\""),
            GOOD.replace("true", "7"),
            GOOD.replace("instances", "others"),
            GOOD.replace("instanceId", "other"),
            GOOD.replace("hostPort", "other"),
            GOOD.replace("active", "asleep"),
            GOOD.replace("10.1.0.18:8080", "10.1.0.18"),
            GOOD.replace(":8080", ":0"),
            GOOD.replace(":8080", ":65536"),
            GOOD.replace("10.1.0.18", "ho st"),
            GOOD.replace(":8080", ":8080/x"),
            GOOD.replace("\"cell\":3", "\"cell\":\"x\""),
            GOOD.replace("1700000000000", "-1"),
            GOOD.replace("1700000000000", "9700000000000000000"),
            GOOD.replace("1.5", "NaN"),
        };
        for (String json : bad) {
            assertThrows(json, IOException.class, () -> DiscoveryParser.parse(json));
        }
    }

    @Test
    public void aWatchIsSplitIntoObjectsHoweverItComes() throws IOException {
        List<String> three =
                List.of("{\"a\":\"\u00e9}\\\"{\"}", "{\n  \"b\": [\n    {}\n  ]\n}", "{}");
        byte[] text =
                (three.get(0) + "\n\n" + three.get(1) + "\r\n \n" + three.get(2) + "\n{\"c")
                        .getBytes(StandardCharsets.UTF_8);
        for (int piece = 1; piece <= text.length; piece++) {
            JsonObjectSplitter objects = new JsonObjectSplitter();
            List<String> all = new ArrayList<>();
            for (int at = 0; at < text.length; at += piece) {
                all.addAll(
                        objects.add(ByteBuffer.wrap(text, at, Math.min(piece, text.length - at))));
            }
            assertEquals(three, all);
            assertTrue(objects.isWithin());
        }
    }

    /** Else a watch that trickles would never pass for broken. */
    @Test
    public void onlyEmptyLinesAndWholeObjectsAreSignsOfLife() throws IOException {
        String[] lives = {"\n", " \r\n", "{}", "{}\n{"};
        String[] lifeless = {"", " ", "{", "{\n\n\"a\":\n"};
        for (String bytes : lives) {
            assertTrue(bytes, lives(bytes));
        }
        for (String bytes : lifeless) {
            assertFalse(bytes, lives(bytes));
        }
    }

    private static boolean lives(String bytes) throws IOException {
        JsonObjectSplitter objects = new JsonObjectSplitter();
        objects.add(ByteBuffer.wrap(bytes.getBytes(StandardCharsets.UTF_8)));
        return objects.lives();
    }

    @Test
    public void whatIsNoObjectIsTold() {
        for (String bytes : new String[] {"x", "[{}]", "{}]", "\"a\"", "\ufeff{}"}) {
            assertThrows(bytes, IOException.class, () -> lives(bytes));
        }
    }
}
