package trailthread.benchmark;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.net.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** Several messages in a row, split into pieces of any size. */
public class MessageReaderTest {
    private static final String THREE_MESSAGES =
            "HTTP/1.1 200 OK\r\ncontent-length: 3\r\nX-A: b\r\n\r\na\n\n"
                    + "HTTP/1.1 503 Busy\r\nContent-Length:0\r\nConnection: Close\r\n\r\n"
                    + "GET /bench-state HTTP/1.1\r\nTe: x\r\n\r\n";

    private static List<String> read(String text, int pieceBytes) throws ProtocolException {
        MessageReader reader = new MessageReader();
        List<String> messages = new ArrayList<>();
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int from = 0; from < bytes.length; from += pieceBytes) {
            ByteBuffer piece =
                    ByteBuffer.wrap(bytes, from, Math.min(pieceBytes, bytes.length - from));
            while (reader.read(piece)) {
                messages.add(reader.startLine() + (reader.isKeepAlive() ? "" : ", closing"));
            }
            assertFalse(piece.hasRemaining());
        }
        return messages;
    }

    @Test
    public void messagesAreReadInPiecesOfAnySize() throws ProtocolException {
        for (int pieceBytes = 1; pieceBytes <= THREE_MESSAGES.length(); pieceBytes++) {
            assertEquals(
                    List.of(
                            "HTTP/1.1 200 OK",
                            "HTTP/1.1 503 Busy, closing",
                            "GET /bench-state HTTP/1.1"),
                    read(THREE_MESSAGES, pieceBytes));
        }
    }

    @Test
    public void messageIsCompleteOnlyWithItsLastByte() throws ProtocolException {
        String message = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nxy";
        assertEquals(List.of(), read(message.substring(0, message.length() - 1), 64));
        assertEquals(1, read(message, 64).size());
    }

    @Test
    public void statusIsThatOfTheLastResponse() throws ProtocolException {
        MessageReader reader = new MessageReader();
        assertTrue(reader.read(StandardCharsets.US_ASCII.encode("HTTP/1.1 429 Slow\r\n\r\n")));
        assertEquals(429, reader.status());
        assertTrue(reader.read(StandardCharsets.US_ASCII.encode("HTTP/1.1\r\n\r\n")));
        assertThrows(ProtocolException.class, reader::status);
    }

    @Test
    public void messagesWithoutClearEndAreRejected() {
        for (String header :
                List.of(
                        "Content-Length: x",
                        "Content-Length: -1",
                        "Content-Length: 4294967295",
                        "Transfer-Encoding: chunked",
                        "X-A: " + "a".repeat(9000))) {
            assertThrows(
                    header,
                    ProtocolException.class,
                    () -> read("HTTP/1.1 200 OK\r\n" + header + "\r\n\r\n", 64));
        }
    }
}
