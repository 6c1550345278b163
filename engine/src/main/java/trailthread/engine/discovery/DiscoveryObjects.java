package trailthread.engine.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Splits what a watch sends into its objects, however it comes in pieces and however it is indented; pure. */
final class DiscoveryObjects {
    private static final int MOST_BYTES = 4 * 1024 * 1024;

    private final ByteArrayOutputStream begun = new ByteArrayOutputStream();
    /** Of the brackets that are open. */
    private int depth;
    private boolean inString;
    private boolean escaped;
    private boolean lives;

    /**
     * The objects that these bytes complete.
     *
     * @throws IOException if they belong to none, or to one without end
     */
    List<String> add(ByteBuffer bytes) throws IOException {
        List<String> objects = new ArrayList<>();
        lives = false;
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            if (depth == 0 && b >= 0 && b <= ' ') {
                lives |= b == '\n'; // an empty line, or the end of an object's
                continue;
            }
            if (depth == 0 && b != '{') {
                throw new IOException("sends what is no object");
            }
            if (begun.size() == MOST_BYTES) {
                throw new IOException("sends an object without end");
            }
            begun.write(b);
            nest(b);
            if (depth == 0) {
                objects.add(begun.toString(StandardCharsets.UTF_8));
                begun.reset();
            }
        }
        lives |= !objects.isEmpty();
        return objects;
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

    /** Whether the bytes added last hold an object's end or an empty line: single bytes of one are no sign of life. */
    boolean lives() {
        return lives;
    }

    /** Whether an object has begun that is not whole. */
    boolean isWithin() {
        return depth > 0;
    }
}
