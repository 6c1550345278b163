package trailthread.benchmark;

import java.net.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Reads HTTP/1.1 messages, requests or answers, however they come in pieces, and skips their
 * bodies; pure. It knows bodies with a Content-Length alone, which is all that the programs here
 * exchange.
 */
final class MessageReader {
    private static final int MOST_LINE_BYTES = 8 * 1024;
    private static final String LENGTH = "content-length:";
    private static final String CLOSE = "connection: close";

    private final byte[] line = new byte[MOST_LINE_BYTES];
    private int lineBytes;
    private boolean inHead;
    private boolean inBody;
    private String startLine = "";
    private boolean lasting = true;
    private int left;

    /**
     * Takes in what has come, as far as it belongs to the message; after a whole one the next
     * begins.
     *
     * @return whether the message is whole
     * @throws ProtocolException if it is none that can be read; nothing more can be read then
     */
    boolean read(ByteBuffer in) throws ProtocolException {
        while (in.hasRemaining()) {
            if (inBody) {
                int count = Math.min(left, in.remaining());
                in.position(in.position() + count);
                left -= count;
                if (left == 0) {
                    inBody = false;
                    return true;
                }
            } else if (completesLine(in) && headEnds()) {
                inHead = false;
                inBody = left > 0;
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

    /** The status of the last message, which was an answer. */
    int status() throws ProtocolException {
        try {
            return Integer.parseInt(
                    startLine.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            throw new ProtocolException("no status: " + startLine);
        }
    }

    /** Whether the connection may carry another message after the last one. */
    boolean isLasting() {
        return lasting;
    }

    private boolean completesLine(ByteBuffer in) throws ProtocolException {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                if (lineBytes > 0 && line[lineBytes - 1] == '\r') {
                    lineBytes--;
                }
                return true;
            }
            if (lineBytes == MOST_LINE_BYTES) {
                throw new ProtocolException("a line without end");
            }
            line[lineBytes++] = b;
        }
        return false;
    }

    /** Takes in the line, which is whole, and says whether it ends the head. */
    private boolean headEnds() throws ProtocolException {
        boolean ends = inHead && lineBytes == 0;
        if (!inHead) {
            startLine = new String(line, 0, lineBytes, StandardCharsets.ISO_8859_1);
            inHead = true;
            lasting = true;
            left = 0;
        } else if (lineBytes > 0
                && (line[0] == 'C' || line[0] == 'c' || line[0] == 'T' || line[0] == 't')) {
            header(
                    new String(line, 0, lineBytes, StandardCharsets.ISO_8859_1)
                            .toLowerCase(Locale.ROOT));
        }
        lineBytes = 0;
        return ends;
    }

    private void header(String header) throws ProtocolException {
        if (header.startsWith("transfer-encoding:")) {
            throw new ProtocolException("a body without a length");
        }
        if (header.equals(CLOSE)) {
            lasting = false;
        }
        if (header.startsWith(LENGTH)) {
            try {
                left = Integer.parseUnsignedInt(header.substring(LENGTH.length()).strip());
            } catch (NumberFormatException e) {
                throw new ProtocolException("no length: " + header);
            }
            if (left < 0) {
                throw new ProtocolException("too long: " + header);
            }
        }
    }
}
