package trailthread.adapter;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import trailthread.adapter.WireException.Problem;

/** Lines and fields, whatever the sizes of the reads from the input. */
class WireReaderTest {
    private static InputStream stream(String text) {
        return new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8));
    }

    private static WireReader onFirstLine(String line) throws IOException {
        WireReader reader = new WireReader(stream(line + "\n"));
        assertTrue(reader.nextLine());
        return reader;
    }

    /** Returns one byte for each read. */
    private static final class ByteByByte extends InputStream {
        private final InputStream in;

        ByteByByte(InputStream in) {
            this.in = in;
        }

        @Override
        public int read() throws IOException {
            return in.read();
        }

        @Override
        public int read(byte[] buffer, int offset, int length) throws IOException {
            return in.read(buffer, offset, Math.min(1, length));
        }
    }

    @Test
    void linesAreCountedAndSplitIntoFields() throws IOException {
        WireReader reader = new WireReader(new ByteByByte(stream("a\tb\n\nc\t\td\n")));
        assertTrue(reader.nextLine());
        assertEquals(2, reader.fieldCount());
        assertEquals("b", reader.text(1));
        assertTrue(reader.nextLine());
        assertEquals(1, reader.fieldCount());
        assertTrue(reader.isAbsent(0));
        assertTrue(reader.nextLine());
        assertEquals(3, reader.lineNumber());
        assertTrue(reader.isAbsent(1));
        assertEquals("d", reader.text(2));
        assertFalse(reader.nextLine());
    }

    @Test
    void longLinesWithManyFieldsAreRead() throws IOException {
        String fields = "\t1234567890".repeat(20_000);
        WireReader reader = new WireReader(stream("short\nlong" + fields + "\nlast\n"));
        assertTrue(reader.nextLine());
        assertTrue(reader.nextLine());
        assertEquals(20_001, reader.fieldCount());
        assertEquals(1_234_567_890, reader.number(20_000, "n"));
        assertTrue(reader.nextLine());
        assertEquals("last", reader.text(0));
    }

    @Test
    void anInputThatEndsWithinALineIsTruncated() {
        WireReader reader = new WireReader(stream("a"));
        WireException e = assertThrows(WireException.class, reader::nextLine);
        assertEquals(Problem.TRUNCATED_INPUT, e.problem());
        assertEquals(1, e.line());
        assertEquals("line", e.field());
    }

    @Test
    void wholeNumbersReachTheBoundsOfALong() throws IOException {
        WireReader reader = onFirstLine("m\t9223372036854775807\t-9223372036854775807\t-\t0");
        assertEquals(Long.MAX_VALUE, reader.number(1, "n"));
        assertEquals(-Long.MAX_VALUE, reader.number(2, "n"));
        assertEquals(5, reader.numberOr(3, "n", 5));
        assertEquals(0, reader.numberOr(4, "n", 5));
    }

    @ParameterizedTest
    @ValueSource(strings = {"9223372036854775808", "1x", "--1", "1.0", "+1", " 1"})
    void otherNumbersAreErrorsThatNameTheField(String text) throws IOException {
        WireReader reader = onFirstLine("m\t" + text);
        WireException e = assertThrows(WireException.class, () -> reader.number(1, "count"));
        assertEquals(Problem.INVALID_VALUE, e.problem());
        assertEquals("count", e.field());
    }

    @Test
    void hexFieldsAreNumbersOrBytes() throws IOException {
        WireReader reader = onFirstLine("m\tffFF\tffffffffffffffff\t-\t00a0");
        assertEquals(0xffff, reader.hexOrZero(1, "key"));
        assertEquals(-1, reader.hexOrZero(2, "key"));
        assertEquals(0, reader.hexOrZero(3, "key"));
        assertArrayEquals(new byte[] {0, (byte) 0xa0}, reader.hexBytes(4, "data"));
        assertArrayEquals(new byte[0], reader.hexBytes(3, "data"));
    }

    @Test
    void aNameThatComesAgainIsTheSameObject() throws IOException {
        WireReader reader = new WireReader(stream("m\tname\nm\tname\tübername\t-\n"));
        assertTrue(reader.nextLine());
        String first = reader.name(1, "name");
        assertTrue(reader.nextLine());
        assertSame(first, reader.name(1, "name"));
        assertEquals("übername", reader.name(2, "name"));
        assertNull(reader.nameOrNull(3));
        assertThrows(WireException.class, () -> reader.name(3, "name"));
    }

    @Test
    void moreNamesThanTheTableHoldsAreStillRead() {
        InternedNames names = new InternedNames();
        for (int round = 0; round < 2; round++) {
            for (int i = 0; i < 2_000; i++) {
                byte[] bytes = ("name" + i).getBytes(StandardCharsets.UTF_8);
                assertEquals("name" + i, names.get(bytes, 0, bytes.length));
            }
        }
    }
}
