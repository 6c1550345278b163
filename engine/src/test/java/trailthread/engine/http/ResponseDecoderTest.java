package trailthread.engine.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.Test;

/** Decodes valid and malformed responses, whole and in pieces. */
public class ResponseDecoderTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";

    /** Records the events of a response as text. */
    private static final class Recorder implements ResponseListener {
        private final StringBuilder text = new StringBuilder();

        @Override
        public void headReceived(int status, HeaderMap headers) {
            text.append(status).append(' ').append(headers.getFirst("X-A")).append(' ');
        }

        @Override
        public void bodyReceived(ByteBuffer piece) {
            text.append(StandardCharsets.ISO_8859_1.decode(piece));
        }

        @Override
        public void responseCompleted() {
            throw new AssertionError("reported by the connection, not by the decoder");
        }

        @Override
        public void exchangeFailed(String reason) {
            throw new AssertionError("reported by the connection, not by the decoder");
        }
    }

    private final Recorder recorder = new Recorder();

    private ResponseDecoder decode(String response, int pieceBytes)
            throws MalformedResponseException {
        recorder.text.setLength(0);
        ResponseDecoder decoder = new ResponseDecoder(recorder, 10);
        byte[] bytes = response.getBytes(StandardCharsets.ISO_8859_1);
        for (int from = 0; from < bytes.length; from += pieceBytes) {
            decoder.decode(ByteBuffer.wrap(bytes, from, Math.min(pieceBytes, bytes.length - from)));
        }
        return decoder;
    }

    @Test
    public void validResponsesAreDecodedInPiecesOfAnySize() throws Exception {
        String[][] cases = {
            {OK + "Content-Length: 4\r\nX-A: b c \r\n\r\nmade", "200 b c made"},
            {OK + "content-length:0\r\n\r\n", "200 null "},
            {"HTTP/1.1 500\nX-A:\nContent-Length: 1\n\nx", "500  x"},
            {"HTTP/1.1 204 None\r\n\r\n", "204 null "},
            {
                "HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 103 Hints\r\nX-A: 1\r\n\r\n"
                        + OK
                        + "Content-Length: 1\r\n\r\nx",
                "200 null x"
            },
            {
                OK
                        + "Transfer-Encoding: Chunked\r\n\r\n2;a=b\r\nma\r\n02\r\nde\r\n0\r\nX: y\r\n\r\n",
                "200 null made"
            },
            {OK + "X-A: \u00ff\u0001{\r\nContent-Length: 1\r\n\r\nx", "200 \u00ff\u0001{ x"},
        };
        for (String[] c : cases) {
            for (int pieceBytes : new int[] {1, 3, 1000}) {
                ResponseDecoder decoder = decode(c[0], pieceBytes);
                assertTrue(c[0], decoder.isComplete() && decoder.isKeepAlive());
                assertEquals(c[0], c[1], recorder.text.toString());
            }
        }
    }

    @Test
    public void aResponseWithoutALengthEndsWithItsConnection() throws Exception {
        for (int pieceBytes : new int[] {1, 1000}) {
            ResponseDecoder decoder = decode(OK + "\r\nmade", pieceBytes);
            assertTrue(!decoder.isComplete() && !decoder.isKeepAlive());
            assertTrue(decoder.connectionEnded() && decoder.isComplete());
            assertEquals("200 null made", recorder.text.toString());
            assertThrows(
                    MalformedResponseException.class,
                    () -> decode(OK + "\r\nmore than ten", pieceBytes));
            assertTrue(!decode(OK + "Content-Length: 4\r\n\r\nmad", pieceBytes).connectionEnded());
        }
    }

    @Test
    public void bytesAfterAResponseAreNotRead() throws Exception {
        ResponseDecoder decoder = new ResponseDecoder(recorder, 10);
        String response = OK + "Content-Length: 1\r\n\r\nxHTTP";
        ByteBuffer bytes = ByteBuffer.wrap(response.getBytes(StandardCharsets.US_ASCII));
        decoder.decode(bytes);
        assertTrue(decoder.isComplete());
        assertEquals(4, bytes.remaining());
    }

    @Test
    public void http10AndConnectionCloseEndTheConnection() throws Exception {
        for (String last :
                new String[] {
                    "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
                    OK + "Connection: Close\r\nContent-Length: 0\r\n\r\n"
                }) {
            ResponseDecoder decoder = decode(last, 1000);
            assertTrue(last, decoder.isComplete() && !decoder.isKeepAlive());
        }
    }

    @Test
    public void malformedResponsesAreRejected() {
        String[] malformed = {
            "\u0000",
            "H\u0000",
            "ICY 200 OK\r\n",
            "HTTP/2 200 OK\r\n",
            "HTTP/1.1 2x0 OK\r\n",
            "HTTP/1.1 OK 200\r\n",
            "HTTP/1.1 099 No\r\n",
            "HTTP/1.1 2000 OK\r\n",
            "HTTP/1.1\r\n",
            "\r\n" + OK,
            "HTTP/1.1 101 Else\r\n\r\n",
            OK + "no colon\r\n",
            OK + ": none\r\n",
            OK + "a b: c\r\n",
            OK + " folded: x\r\n",
            OK + "Content-Length: -1\r\n\r\n",
            OK + "Content-Length: +1\r\n\r\n",
            OK + "Content-Length: 0x1\r\n\r\n",
            OK + "Content-Length:\r\n\r\n",
            OK + "Content-Length: 11\r\n\r\n",
            OK + "Content-Length: 3000000000\r\n\r\n",
            OK + "Content-Length: 99999999999999999999\r\n\r\n",
            OK + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
            OK + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            OK + "Transfer-Encoding: gzip\r\n\r\n",
            OK + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
            OK + "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
            OK + "Transfer-Encoding: chunked\r\n\r\n\r\n",
            OK + "Transfer-Encoding: chunked\r\n\r\n1\r\nab",
            OK + "Transfer-Encoding: chunked\r\n\r\nb\r\n",
            OK + "Transfer-Encoding: chunked\r\n\r\n6\r\n012345\r\n5\r\n",
            OK + "X-Pad: p\r\n".repeat(2000),
            OK + "X-Pad: " + "p".repeat(20_000),
        };
        for (String response : malformed) {
            for (int pieceBytes : new int[] {1, 100_000}) {
                assertThrows(
                        response,
                        MalformedResponseException.class,
                        () -> {
                            if (!decode(response, pieceBytes).isComplete()) {
                                decode(response + "\r\n", pieceBytes);
                            }
                        });
            }
        }
    }
}
