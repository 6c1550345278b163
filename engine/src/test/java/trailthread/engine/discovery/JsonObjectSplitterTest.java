package trailthread.engine.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** Tests {@link JsonObjectSplitter}. */
public class JsonObjectSplitterTest {
    @Test
    public void aWatchIsSplitIntoObjectsWhereverItIsCut() throws IOException {
        List<String> three =
                List.of("{\"a\":\"\u00e9}\\\"{\"}", "{\n  \"b\": [\n    {}\n  ]\n}", "{}");
        byte[] text =
                (three.get(0) + "\n\n" + three.get(1) + "\r\n \n" + three.get(2) + "\n{\"c")
                        .getBytes(StandardCharsets.UTF_8);
        for (int piece = 1; piece <= text.length; piece++) {
            JsonObjectSplitter objects = new JsonObjectSplitter();
            List<String> all = new ArrayList<>();
            for (int at = 0; at < text.length; at += piece) {
                all.addAll(
                        objects.add(ByteBuffer.wrap(text, at, Math.min(piece, text.length - at))));
            }
            assertEquals(three, all);
            assertTrue(objects.isWithinObject());
        }
    }

    /** Otherwise a watch that trickles would never be taken for broken. */
    @Test
    public void onlyEmptyLinesAndCompleteObjectsAreSignsOfLife() throws IOException {
        String[] signs = {"\n", " \r\n", "{}", "{}\n{"};
        String[] others = {"", " ", "{", "{\n\n\"a\":\n"};
        for (String bytes : signs) {
            assertTrue(bytes, hasSignOfLife(bytes));
        }
        for (String bytes : others) {
            assertFalse(bytes, hasSignOfLife(bytes));
        }
    }

    private static boolean hasSignOfLife(String bytes) throws IOException {
        JsonObjectSplitter objects = new JsonObjectSplitter();
        objects.add(ByteBuffer.wrap(bytes.getBytes(StandardCharsets.UTF_8)));
        return objects.hadSignOfLife();
    }

    @Test
    public void whatIsNotAnObjectIsRejected() {
        for (String bytes : new String[] {"x", "[{}]", "{}]", "\"a\"", "\ufeff{}"}) {
            assertThrows(bytes, IOException.class, () -> hasSignOfLife(bytes));
        }
    }
}
