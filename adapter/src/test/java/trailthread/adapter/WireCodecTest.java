package trailthread.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;

/** The wire's words and codes, and the types that they stand for. */
class WireCodecTest {
    /** A codec on a line whose field 1 is the given one. */
    private static WireCodec codec(String field) throws IOException {
        byte[] line = ("message\t" + field + "\n").getBytes(StandardCharsets.UTF_8);
        WireReader reader = new WireReader(new ByteArrayInputStream(line));
        assertTrue(reader.nextLine());
        return new WireCodec(reader);
    }

    @ParameterizedTest
    @CsvSource({
        "Ok, OK",
        "Failed, ERROR",
        "QueueFull, REJECTED",
        "TimedOut, TIMEOUT",
        "ConnectError, CONNECT_FAILED",
        "ResetByPeer, RESET",
        "Canceled, CANCELLED",
        "Ignored, NOT_SENT"
    })
    void outcomesHaveWords(String word, Outcome outcome) throws IOException {
        assertEquals(outcome, codec(word).outcome(1));
    }

    @ParameterizedTest
    @CsvSource({"0, DRAINING", "2, READY", "3, GONE"})
    void endpointStatesHaveCodes(String code, EndpointState state) throws IOException {
        assertEquals(state, codec(code).endpointState(1));
    }

    @ParameterizedTest
    @CsvSource({"0, DELTA", "1, FULL", "2, CACHED", "3, FAILED"})
    void listKindsHaveCodes(String code, ListKind kind) throws IOException {
        assertEquals(kind, codec(code).listKind(1));
    }

    @ParameterizedTest
    @ValueSource(strings = {"ok", "4", "-"})
    void undefinedValuesAreErrors(String field) throws IOException {
        WireCodec codec = codec(field);
        assertThrows(WireException.class, () -> codec.outcome(1));
        assertThrows(WireException.class, () -> codec.endpointState(1));
        assertThrows(WireException.class, () -> codec.listKind(1));
    }

    @Test
    void aLoadReportHoldsWhatIsGivenAndNaNForTheRest() throws IOException {
        double absent = Double.NaN;
        assertEquals(
                new LoadReport(3, 2, 0.5, 40, 10, 1),
                codec("inflight:3,queue:2,util:0.5,latency_ms:40,qps:10,eps:1").loadReport(1));
        assertEquals(
                new LoadReport(absent, 2, absent, absent, absent, absent),
                codec("unread:7,util:-,queue:2").loadReport(1));
        assertNull(codec("-").loadReport(1));
    }

    @Test
    void aLoadReportKeepsNothingOfTheOneBefore() throws IOException {
        byte[] lines = "message\tqueue:2\nmessage\tutil:1\n".getBytes(StandardCharsets.UTF_8);
        WireReader reader = new WireReader(new ByteArrayInputStream(lines));
        WireCodec codec = new WireCodec(reader);
        assertTrue(reader.nextLine());
        assertEquals(2, codec.loadReport(1).queue());
        assertTrue(reader.nextLine());
        assertTrue(Double.isNaN(codec.loadReport(1).queue()));
    }

    @Test
    void requestFlagsAreBits() {
        assertTrue(WireCodec.isWorkKnown(1));
        assertFalse(WireCodec.isWorkKnown(2));
        assertTrue(WireCodec.isClientRetry(3));
        assertFalse(WireCodec.isClientRetry(1));
    }
}
