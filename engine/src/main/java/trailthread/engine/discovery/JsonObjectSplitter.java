package trailthread.engine.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits what a watch sends into its objects, however it comes in pieces and however it is
 * indented; pure.
 */
final class JsonObjectSplitter {
    private static final int MOST_BYTES = 4 * 1024 * 1024;

    /** What came of an object in earlier pieces. */
    private final ByteArrayOutputStream begun = new ByteArrayOutputStream();

    /** Of the brackets that are open. */
    private int depth;

    private boolean inString;
    private boolean escaped;
    private boolean lives;
    private long completed;

    /**
     * The objects that these bytes complete.
     *
     * @throws IOException if they belong to none, or to one without end
     */
    List<String> add(ByteBuffer bytes) throws IOException {
        byte[] piece = new byte[bytes.remaining()];
        bytes.get(piece);
        List<String> objects = new ArrayList<>();
        lives = false;
        for (int at = 0; at < piece.length; ) {
            if (depth == 0 && isSpace(piece[at])) {
                lives |= piece[at] == '\n'; // an empty line, or the end of an object's
                at++;
                continue;
            }
            if (depth == 0 && piece[at] != '{') {
                throw new IOException("sends what is no object");
            }
            // Copied at one stroke: a list of thousands is half a megabyte, and the thread is
            // needed elsewhere.
            int end = endOfObject(piece, at);
            if (begun.size() + end - at > MOST_BYTES) {
                throw new IOException("sends an object without end");
            }
            begun.write(piece, at, end - at);
            if (depth == 0) {
                completed++;
                objects.add(begun.toString(StandardCharsets.UTF_8));
                begun.reset();
            }
            at = end;
        }
        lives |= !objects.isEmpty();
        return objects;
    }

    private static boolean isSpace(byte b) {
        return b >= 0 && b <= ' ';
    }

    /** Where the object that has begun ends in this piece, or the piece's end. */
    private int endOfObject(byte[] piece, int from) {
        int at = from;
        do {
            nest(piece[at]);
            at++;
        } while (depth > 0 && at < piece.length);
        return at;
    }

    private void nest(byte b) {
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
     * Whether the bytes added last hold an object's end or an empty line: single bytes of one are
     * no sign of life.
     */
    boolean lives() {
        return lives;
    }

    /** How many objects have come whole. */
    long completed() {
        return completed;
    }

    /** Whether an object has begun that is not whole. */
    boolean isWithin() {
        return depth > 0;
    }
}
