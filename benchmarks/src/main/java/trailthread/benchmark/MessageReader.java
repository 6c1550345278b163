package trailthread.benchmark;

import java.net.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Reads HTTP/1.1 requests or responses that arrive in pieces of any size, and skips their bodies;
 * does no I/O. Supports only bodies with a Content-Length, as the benchmark programs exchange no
 * others.
 */
final class MessageReader {
    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final String CONTENT_LENGTH = "content-length:";
    private static final String CONNECTION_CLOSE = "connection: close";

    private final byte[] line = new byte[MAX_LINE_BYTES];
    private int lineBytes;
    private boolean inHead;
    private boolean inBody;
    private String startLine = "";
    private boolean keepAlive = true;
    private int bodyBytesLeft;

    /**
     * Consumes input up to the end of the current message. After a complete message, the next call
     * starts a new one.
     *
     * @return whether the message is complete
     * @throws ProtocolException if the message is malformed; the reader can't be used afterwards
     */
    boolean read(ByteBuffer in) throws ProtocolException {
        while (in.hasRemaining()) {
            if (inBody) {
                int skipped = Math.min(bodyBytesLeft, in.remaining());
                in.position(in.position() + skipped);
                bodyBytesLeft -= skipped;
                if (bodyBytesLeft == 0) {
                    inBody = false;
                    return true;
                }
            } else if (readLine(in) && processLine()) {
                inHead = false;
                inBody = bodyBytesLeft > 0;
                if (!inBody) {
                    return true;
                }
            }
        }
        return false;
    }

    /** The first line of the last message. */
    String startLine() {
        return startLine;
    }

    /** The status code of the last message, which must be a response. */
    int status() throws ProtocolException {
        try {
            return Integer.parseInt(
                    startLine.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            throw new ProtocolException("no status code: " + startLine);
        }
    }

    /** Whether the connection may carry another message after the last one. */
    boolean isKeepAlive() {
        return keepAlive;
    }

    private boolean readLine(ByteBuffer in) throws ProtocolException {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                if (lineBytes > 0 && line[lineBytes - 1] == '\r') {
                    lineBytes--;
                }
                return true;
            }
            if (lineBytes == MAX_LINE_BYTES) {
                throw new ProtocolException("line is longer than " + MAX_LINE_BYTES + " bytes");
            }
            line[lineBytes++] = b;
        }
        return false;
    }

    /** Processes a complete line; returns whether it ends the head. */
    private boolean processLine() throws ProtocolException {
        boolean ends = inHead && lineBytes == 0;
        if (!inHead) {
            startLine = new String(line, 0, lineBytes, StandardCharsets.ISO_8859_1);
            inHead = true;
            keepAlive = true;
            bodyBytesLeft = 0;
        } else if (lineBytes > 0
                && (line[0] == 'C' || line[0] == 'c' || line[0] == 'T' || line[0] == 't')) {
            processHeader(
                    new String(line, 0, lineBytes, StandardCharsets.ISO_8859_1)
                            .toLowerCase(Locale.ROOT));
        }
        lineBytes = 0;
        return ends;
    }

    private void processHeader(String header) throws ProtocolException {
        if (header.startsWith("transfer-encoding:")) {
            throw new ProtocolException("Transfer-Encoding is not supported");
        }
        if (header.equals(CONNECTION_CLOSE)) {
            keepAlive = false;
        }
        if (header.startsWith(CONTENT_LENGTH)) {
            try {
                bodyBytesLeft =
                        Integer.parseUnsignedInt(header.substring(CONTENT_LENGTH.length()).strip());
            } catch (NumberFormatException e) {
                throw new ProtocolException("invalid header: " + header);
            }
            if (bodyBytesLeft < 0) {
                throw new ProtocolException("body is too long: " + header);
            }
        }
    }
}
