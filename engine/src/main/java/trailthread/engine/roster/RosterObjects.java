package trailthread.engine.roster;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Splits what a watch sends into lines, however it comes in pieces. */
final class RosterLines {
    private static final int MOST_BYTES = 4 * 1024 * 1024;

    private final ByteArrayOutputStream begun = new ByteArrayOutputStream();

    /** The lines that these bytes complete. */
    List<String> add(ByteBuffer bytes) throws IOException {
        List<String> lines = new ArrayList<>();
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            if (b == '\n') {
                lines.add(rest());
            } else if (begun.size() == MOST_BYTES) {
                throw new IOException("sends a line without end");
            } else {
                begun.write(b);
            }
        }
        return lines;
    }

    /** What has come since the last line's end. */
    String rest() {
        String line = begun.toString(StandardCharsets.UTF_8);
        begun.reset();
        return line;
    }
}
