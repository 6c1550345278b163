package trailthread.lab.emulation;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;

import java.net.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** The decoder accepts messages split at any byte and rejects malformed ones. */
public class MessageDecoderTest {
    private static final String TWO =
            "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
                    + "POST /b HTTP/1.1\r\nX-A:  1 \r\nContent-Length: 3\r\n\r\nabc";
    private static final String CHUNKED =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "3;x=1\r\nabc\r\nA\r\n0123456789\r\n0\r\nX-T: 1\r\n\r\n"
                    + "HTTP/1.1 503 Full\r\nConnection: close\r\n\r\n";

    private static List<HttpMessage> decode(MessageDecoder decoder, String text)
            throws ProtocolException {
        List<HttpMessage> messages = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
        while (in.hasRemaining()) {
            HttpMessage message = decoder.decode(in);
            if (message != null) {
                messages.add(message);
            }
        }
        return messages;
    }

    @Test
    public void messagesDecodeTheSameAtEverySplit() throws ProtocolException {
        for (String text : List.of(TWO, CHUNKED)) {
            List<HttpMessage> whole = decode(new MessageDecoder(), text);
            assertEquals(2, whole.size());
            for (int at = 0; at <= text.length(); at++) {
                MessageDecoder decoder = new MessageDecoder();
                List<HttpMessage> pieces = new ArrayList<>(decode(decoder, text.substring(0, at)));
                pieces.addAll(decode(decoder, text.substring(at)));
                assertEquals("split at " + at, 2, pieces.size());
                for (int i = 0; i < 2; i++) {
                    assertEquals(whole.get(i).startLine(), pieces.get(i).startLine());
                    assertEquals(whole.get(i).headers(), pieces.get(i).headers());
                    assertEquals(whole.get(i).bodyText(), pieces.get(i).bodyText());
                }
                assertFalse(decoder.isMidMessage());
            }
        }
    }

    @Test
    public void decodesStartLineHeadersAndBody() throws ProtocolException {
        List<HttpMessage> two = decode(new MessageDecoder(), TWO);
        assertEquals("/a", two.get(0).target());
        assertEquals("POST", two.get(1).method());
        assertEquals("1", two.get(1).header("x-a"));
        assertEquals("abc", two.get(1).bodyText());
        List<HttpMessage> chunked = decode(new MessageDecoder(), CHUNKED);
        assertEquals("abc0123456789", chunked.get(0).bodyText());
        assertEquals(503, chunked.get(1).status());
        assertFalse(chunked.get(1).keepsConnectionOpen());
    }

    @Test
    public void rejectsMalformedMessages() {
        for (String text :
                List.of(
                        "hello\r\n",
                        "GET / HTTP/1.1\r\nno colon\r\n\r\n",
                        "GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                        "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
                        "GET / HTTP/1.1\r\nContent-Length: 3000000000\r\n\r\n",
                        "GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
                        "GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
                        "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                        "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
                        "G".repeat(20_000))) {
            assertThrows(text, ProtocolException.class, () -> decode(new MessageDecoder(), text));
        }
    }
}
