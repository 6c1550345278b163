package trailthread.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import trailthread.adapter.WireException.Problem;

/**
 * Reads lines of tab-separated fields. Fields of the current line are parsed on demand from the
 * buffer, without copies; field 0 is the message's word. All methods that parse a field throw a
 * {@link WireException} that names the line and the field.
 */
final class WireReader {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;
    private static final int MAX_LINE_BYTES = 1 << 26;
    private static final int INITIAL_FIELDS = 64;

    /** The most digits of a long, without its sign; the exact bound is checked digit by digit. */
    private static final int MAX_LONG_DIGITS = 19;

    private static final int MAX_HEX_DIGITS = Long.BYTES * 2;

    private final InputStream in;
    private final InternedNames names = new InternedNames();
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];

    /** End of what has been read into the buffer. */
    private int limit;

    /** Start of the line after the current one. */
    private int nextLineStart;

    private long lineNumber;
    private int[] fieldStarts = new int[INITIAL_FIELDS];
    private int[] fieldEnds = new int[INITIAL_FIELDS];
    private int fieldCount;

    WireReader(InputStream in) {
        this.in = in;
    }

    /** Moves to the next line; false at the end of the input. */
    boolean nextLine() throws IOException {
        int scanned = nextLineStart;
        while (true) {
            for (; scanned < limit; scanned++) {
                if (buffer[scanned] == '\n') {
                    splitFields(nextLineStart, scanned);
                    nextLineStart = scanned + 1;
                    lineNumber++;
                    return true;
                }
            }
            scanned -= nextLineStart;
            makeRoom();
            int count = in.read(buffer, limit, buffer.length - limit);
            if (count < 0) {
                requireNoPartialLine();
                return false;
            }
            limit += count;
        }
    }

    /** Moves the unread bytes to the front of the buffer, and enlarges it if they fill it. */
    private void makeRoom() {
        int unread = limit - nextLineStart;
        if (nextLineStart > 0) {
            System.arraycopy(buffer, nextLineStart, buffer, 0, unread);
            nextLineStart = 0;
            limit = unread;
        }
        if (limit < buffer.length) {
            return;
        }
        if (limit >= MAX_LINE_BYTES) {
            throw new WireException(
                    Problem.LINE_TOO_LONG, lineNumber + 1, "line", "a shorter line");
        }
        buffer = Arrays.copyOf(buffer, buffer.length * 2);
    }

    private void requireNoPartialLine() {
        if (limit > nextLineStart) {
            throw new WireException(
                    Problem.TRUNCATED_INPUT,
                    lineNumber + 1,
                    "line",
                    "a line break before the end of the input");
        }
    }

    private void splitFields(int from, int to) {
        fieldCount = 0;
        int start = from;
        for (int i = from; i < to; i++) {
            if (buffer[i] == '\t') {
                addField(start, i);
                start = i + 1;
            }
        }
        addField(start, to);
    }

    private void addField(int start, int end) {
        if (fieldCount == fieldStarts.length) {
            fieldStarts = Arrays.copyOf(fieldStarts, fieldCount * 2);
            fieldEnds = Arrays.copyOf(fieldEnds, fieldCount * 2);
        }
        fieldStarts[fieldCount] = start;
        fieldEnds[fieldCount] = end;
        fieldCount++;
    }

    /** Number of the current line, from 1. */
    long lineNumber() {
        return lineNumber;
    }

    /** How many fields the current line has, with the message's word. */
    int fieldCount() {
        return fieldCount;
    }

    /** An error in a field of the current line. */
    WireException invalid(String field, String expected) {
        return new WireException(Problem.INVALID_VALUE, lineNumber, field, expected);
    }

    /** Requires a number of fields; both bounds count the message's word. */
    void requireFieldCount(int min, int max, String message) {
        if (fieldCount < min || fieldCount > max) {
            String range = min == max ? "" + (min - 1) : (min - 1) + " to " + (max - 1);
            throw new WireException(
                    Problem.WRONG_FIELD_COUNT,
                    lineNumber,
                    message,
                    range + " values, got " + (fieldCount - 1));
        }
    }

    /** Whether a field is missing, empty or a dash. */
    boolean isAbsent(int index) {
        if (index >= fieldCount || fieldEnds[index] == fieldStarts[index]) {
            return true;
        }
        return fieldEnds[index] - fieldStarts[index] == 1 && buffer[fieldStarts[index]] == '-';
    }

    /** A field as a string, for names that recur: usually the same object each time. */
    String name(int index, String field) {
        if (isAbsent(index)) {
            throw invalid(field, "a name");
        }
        return names.get(buffer, fieldStarts[index], fieldEnds[index]);
    }

    /** As {@link #name}; null if absent. */
    String nameOrNull(int index) {
        if (isAbsent(index)) {
            return null;
        }
        return names.get(buffer, fieldStarts[index], fieldEnds[index]);
    }

    /** A field as a new string. */
    String text(int index) {
        int start = fieldStarts[index];
        return new String(buffer, start, fieldEnds[index] - start, StandardCharsets.UTF_8);
    }

    /** A field as a whole number. */
    long number(int index, String field) {
        if (isAbsent(index)) {
            throw invalid(field, "a whole number");
        }
        return parseLong(fieldStarts[index], fieldEnds[index], field);
    }

    /** As {@link #number}, with a default for an absent field. */
    long numberOr(int index, String field, long defaultValue) {
        if (isAbsent(index)) {
            return defaultValue;
        }
        return parseLong(fieldStarts[index], fieldEnds[index], field);
    }

    private long parseLong(int from, int to, String field) {
        boolean negative = buffer[from] == '-';
        int i = negative ? from + 1 : from;
        if (i == to || to - i > MAX_LONG_DIGITS) {
            throw invalid(field, "a whole number");
        }
        long value = 0;
        for (; i < to; i++) {
            int digit = buffer[i] - '0';
            if (digit < 0 || digit > 9 || value > (Long.MAX_VALUE - digit) / 10) {
                throw invalid(field, "a whole number");
            }
            value = value * 10 + digit;
        }
        return negative ? -value : value;
    }

    /** A field as a decimal number. */
    double decimal(int index, String field) {
        try {
            return Double.parseDouble(text(index));
        } catch (NumberFormatException e) {
            throw invalid(field, "a number");
        }
    }

    /** A field that is 0 or 1. */
    boolean flag(int index, String field) {
        long value = number(index, field);
        if (value != 0 && value != 1) {
            throw invalid(field, "0 or 1");
        }
        return value == 1;
    }

    /** A field of up to 16 hex digits as a number; 0 if absent. */
    long hexOrZero(int index, String field) {
        if (isAbsent(index)) {
            return 0;
        }
        if (fieldEnds[index] - fieldStarts[index] > MAX_HEX_DIGITS) {
            throw invalid(field, "at most 16 hex digits");
        }
        long value = 0;
        for (int i = fieldStarts[index]; i < fieldEnds[index]; i++) {
            value = value << 4 | hexDigit(buffer[i], field);
        }
        return value;
    }

    /** A field of hex digits, two a byte; none if absent. */
    byte[] hexBytes(int index, String field) {
        if (isAbsent(index)) {
            return new byte[0];
        }
        int start = fieldStarts[index];
        int digits = fieldEnds[index] - start;
        if (digits % 2 != 0) {
            throw invalid(field, "pairs of hex digits");
        }
        byte[] bytes = new byte[digits / 2];
        for (int i = 0; i < bytes.length; i++) {
            int high = hexDigit(buffer[start + 2 * i], field);
            int low = hexDigit(buffer[start + 2 * i + 1], field);
            bytes[i] = (byte) (high << 4 | low);
        }
        return bytes;
    }

    private int hexDigit(byte character, String field) {
        int digit = Character.digit(character, 16);
        if (digit < 0) {
            throw invalid(field, "hex digits");
        }
        return digit;
    }
}
