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
    public void aStreamIsSplitIntoObjectsHoweverItIsCut() throws IOException {
        List<String> expected =
                List.of("{\"a\":\"\u00e9}\\\"{\"}", "{\n  \"b\": [\n    {}\n  ]\n}", "{}");
        byte[] text =
                (expected.get(0)
                                + "\n\n"
                                + expected.get(1)
                                + "\r\n \n"
                                + expected.get(2)
                                + "\n{\"c")
                        .getBytes(StandardCharsets.UTF_8);
        for (int piece = 1; piece <= text.length; piece++) {
            JsonObjectSplitter objects = new JsonObjectSplitter();
            List<String> parsed = new ArrayList<>();
            for (int at = 0; at < text.length; at += piece) {
                parsed.addAll(
                        objects.add(ByteBuffer.wrap(text, at, Math.min(piece, text.length - at))));
            }
            assertEquals(expected, parsed);
            assertTrue(objects.isWithinObject());
        }
    }

    /** Prevents a watch whose peer sends a few bytes at a time from being taken for alive. */
    @Test
    public void onlyEmptyLinesAndCompleteObjectsAreSignsOfLife() throws IOException {
        String[] signsOfLife = {"\n", " \r\n", "{}", "{}\n{"};
        String[] notSignsOfLife = {"", " ", "{", "{\n\n\"a\":\n"};
        for (String bytes : signsOfLife) {
            assertTrue(bytes, hasSignOfLife(bytes));
        }
        for (String bytes : notSignsOfLife) {
            assertFalse(bytes, hasSignOfLife(bytes));
        }
    }

    private static boolean hasSignOfLife(String bytes) throws IOException {
        JsonObjectSplitter objects = new JsonObjectSplitter();
        objects.add(ByteBuffer.wrap(bytes.getBytes(StandardCharsets.UTF_8)));
        return objects.hadSignOfLife();
    }

    @Test
    public void inputOtherThanObjectsIsRejected() {
        for (String bytes : new String[] {"x", "[{}]", "{}]", "\"a\"", "\ufeff{}"}) {
            assertThrows(bytes, IOException.class, () -> hasSignOfLife(bytes));
        }
    }
}
