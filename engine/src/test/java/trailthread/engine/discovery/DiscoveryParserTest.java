package trailthread.engine.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import java.io.IOException;
import java.util.List;
import org.junit.Test;
import trailthread.api.EndpointState;

/** Tests {@link DiscoveryParser}. */
public class DiscoveryParserTest {
    private static final String VALID =
            "{\"generation\":41,\"reset\":true,\"instances\":["
                    + "{\"instanceId\":\"s-5b\",\"hostPort\":\"10.1.0.18:8080\",\"zone\":\"a\","
                    + "\"machineType\":\"m2\",\"cell\":3,"
                    + "\"lifecycle\":\"active\",\"weight\":1.5,\"startedAtMs\":1700000000000}],\"new\":[1]}";

    @Test
    public void aCompleteListIsParsed() throws IOException {
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
                DiscoveryParser.parse(VALID));
        assertEquals(EndpointState.DRAINING, lifecycle("leaving"));
        assertEquals(EndpointState.GONE, lifecycle("left"));
    }

    private static EndpointState lifecycle(String word) throws IOException {
        return DiscoveryParser.parse(VALID.replace("active", word)).instances().get(0).lifecycle();
    }

    @Test
    public void optionalKeysMayBeMissing() throws IOException {
        String minimal =
                "{\"generation\":0,\"instances\":[{\"instanceId\":\"s\",\"hostPort\":\"[::1]:80\","
                        + "\"cell\":null,\"lifecycle\":\"active\"}]}";
        assertEquals(
                new DiscoveryUpdate(
                        0,
                        false,
                        List.of(
                                new DiscoveredEndpoint(
                                        "s", "[::1]:80", "", -1, EndpointState.READY, 1, 0))),
                DiscoveryParser.parse(minimal));
    }

    @Test
    public void malformedListsAreRejected() {
        String[] malformed = {
            "",
            "null",
            "[]",
            "{}",
            VALID + "{}",
            VALID.substring(0, VALID.length() - 1),
            VALID.replace("41", "-1"),
            VALID.replace("41", "\"new\""),
            VALID.replace("true", "7"),
            VALID.replace("instances", "others"),
            VALID.replace("instanceId", "other"),
            VALID.replace("hostPort", "other"),
            VALID.replace("active", "asleep"),
            VALID.replace("10.1.0.18:8080", "10.1.0.18"),
            VALID.replace(":8080", ":0"),
            VALID.replace(":8080", ":65536"),
            VALID.replace("10.1.0.18", "ho st"),
            VALID.replace(":8080", ":8080/x"),
            VALID.replace("\"cell\":3", "\"cell\":\"x\""),
            VALID.replace("1700000000000", "-1"),
            VALID.replace("1700000000000", "9700000000000000000"),
            VALID.replace("1.5", "NaN"),
        };
        for (String json : malformed) {
            assertThrows(json, IOException.class, () -> DiscoveryParser.parse(json));
        }
    }
}
