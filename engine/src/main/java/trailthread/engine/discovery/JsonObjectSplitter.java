package trailthread.engine.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits the byte stream of a response into its JSON objects, however the stream is cut into pieces
 * and the objects are indented. Does no I/O.
 */
final class JsonObjectSplitter {
    private static final int MAX_OBJECT_BYTES = 4 * 1024 * 1024;

    /** The bytes of the incomplete object in earlier pieces. */
    private final ByteArrayOutputStream partialObject = new ByteArrayOutputStream();

    /** The number of open braces and brackets. */
    private int depth;

    private boolean inString;
    private boolean escaped;
    private boolean signOfLife;
    private long completedCount;

    /**
     * Adds a piece of the stream.
     *
     * @return the objects that the piece completes
     * @throws IOException if the piece holds something other than objects, or the object is too
     *     long; the message completes a sentence that begins with the sender
     */
    List<String> add(ByteBuffer bytes) throws IOException {
        byte[] piece = new byte[bytes.remaining()];
        bytes.get(piece);
        List<String> objects = new ArrayList<>();
        signOfLife = false;
        int position = 0;
        while (position < piece.length) {
            if (depth == 0 && isSpace(piece[position])) {
                // an empty line, or the line end that follows an object
                signOfLife |= piece[position] == '\n';
                position++;
                continue;
            }
            if (depth == 0 && piece[position] != '{') {
                throw new IOException("sends something other than a JSON object");
            }
            int end = findObjectEnd(piece, position);
            appendToObject(piece, position, end);
            if (depth == 0) {
                objects.add(takeCompletedObject());
            }
            position = end;
        }
        signOfLife |= !objects.isEmpty();
        return objects;
    }

    private static boolean isSpace(byte b) {
        return b >= 0 && b <= ' ';
    }

    /** Returns where the current object ends in this piece, or the piece's end. */
    private int findObjectEnd(byte[] piece, int from) {
        int position = from;
        do {
            updateNesting(piece[position]);
            position++;
        } while (depth > 0 && position < piece.length);
        return position;
    }

    private void updateNesting(byte b) {
        if (escaped) {
            escaped = false;
        } else if (inString) {
            escaped = b == '\\';
            inString = b != '"';
        } else if (b == '"') {
            inString = true;
        } else if (b == '{' || b == '[') {
            depth++;
        } else if (b == '}' || b == ']') {
            depth--;
        }
    }

    /**
     * Copies a range at once rather than byte by byte: a list of thousands of endpoints is half a
     * megabyte.
     */
    private void appendToObject(byte[] piece, int from, int to) throws IOException {
        if (partialObject.size() + to - from > MAX_OBJECT_BYTES) {
            throw new IOException("sends an object of more than " + MAX_OBJECT_BYTES + " bytes");
        }
        partialObject.write(piece, from, to - from);
    }

    private String takeCompletedObject() {
        completedCount++;
        String object = partialObject.toString(StandardCharsets.UTF_8);
        partialObject.reset();
        return object;
    }

    /**
     * Returns whether the piece added last held the end of an object or an empty line. Bytes of an
     * incomplete object do not count. Prevents a peer that sends a few bytes at a time from being
     * taken for alive.
     */
    boolean hadSignOfLife() {
        return signOfLife;
    }

    /** Returns the number of objects completed so far. */
    long completedCount() {
        return completedCount;
    }

    /** Returns whether an object has begun that is not complete. */
    boolean isWithinObject() {
        return depth > 0;
    }
}
