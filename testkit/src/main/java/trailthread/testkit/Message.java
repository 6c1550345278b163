package trailthread.testkit;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * An HTTP message that was received.
 *
 * @param startLine the start line, without its line end
 * @param headers by their names in lower case
 * @param connection on which the message came
 */
public record Message(
        String startLine, Map<String, String> headers, String body, Socket connection) {

    /** Reads a complete message; null if the connection ends before its first byte. */
    public static Message read(Socket connection) throws IOException {
        return read(connection, false);
    }

    /**
     * Reads a complete message.
     *
     * @param responseToHead whether the message responds to HEAD: it has no body, whatever its
     *     Content-Length
     * @return null if the connection ends before the first byte
     * @throws IOException if the connection fails, or ends within the message
     */
    public static Message read(Socket connection, boolean responseToHead) throws IOException {
        InputStream in = connection.getInputStream();
        String start = readLine(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            return new Message(start, headers, readChunks(in), connection);
        }
        // RFC 9112, 6.3: a response to HEAD has no body, but may have a Content-Length.
        int length =
                responseToHead ? 0 : Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the connection ended within the body");
        }
        return new Message(
                start, headers, new String(body, StandardCharsets.ISO_8859_1), connection);
    }

    private static String readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int size = -1; size != 0; ) {
            size = Integer.parseInt(readLine(in), 16);
            body.write(in.readNBytes(size));
            readLine(in);
        }
        return body.toString(StandardCharsets.ISO_8859_1);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** The value of a header, or null. */
    public String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    /** The status code, if this is a response. */
    public int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    /**
     * Responds to this request, on its connection, and ends its sending there if the request asks
     * for that.
     *
     * @param status the code and reason, such as {@code 200 OK}
     * @param headers each with its line end
     */
    public void respond(String status, String headers, String body) throws IOException {
        send(
                connection,
                "HTTP/1.1 "
                        + status
                        + "\r\nContent-Length: "
                        + body.length()
                        + "\r\n"
                        + headers
                        + "\r\n"
                        + body);
        if ("close".equalsIgnoreCase(header("Connection"))) {
            connection.shutdownOutput();
        }
    }

    /** Sends text, as ISO 8859-1. */
    public static void send(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
