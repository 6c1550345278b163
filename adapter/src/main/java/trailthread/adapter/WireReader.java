package trailthread.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import trailthread.settings.WireException;

/**
 * Reads tab-separated lines; the parts of the current line are parsed on demand, without copies.
 */
final class WireReader {
    private static final int MAX_LINE_BYTES = 1 << 26;

    private final InputStream in;
    private byte[] buffer = new byte[1 << 16];
    private int filled;
    private int next;
    private long line;
    private int[] starts = new int[64];
    private int[] ends = new int[64];
    private int parts;
    private final Names names = new Names();

    WireReader(InputStream in) {
        this.in = in;
    }

    /** Moves to the next line; false at the end of the input. */
    boolean advance() throws IOException {
        int scan = next;
        while (true) {
            for (; scan < filled; scan++) {
                if (buffer[scan] == '\n') {
                    split(next, scan);
                    next = scan + 1;
                    line++;
                    return true;
                }
            }
            int kept = filled - next;
            if (next > 0) {
                System.arraycopy(buffer, next, buffer, 0, kept);
                scan -= next;
                next = 0;
                filled = kept;
            }
            if (filled == buffer.length) {
                if (filled >= MAX_LINE_BYTES) {
                    throw new WireException(line + 1, "line", "a shorter line");
                }
                buffer = Arrays.copyOf(buffer, buffer.length * 2);
            }
            int got = in.read(buffer, filled, buffer.length - filled);
            if (got < 0) {
                if (filled > next) {
                    throw new WireException(
                            line + 1, "line", "a line break before the end of the input");
                }
                return false;
            }
            filled += got;
        }
    }

    private void split(int from, int to) {
        parts = 0;
        int start = from;
        for (int i = from; i <= to; i++) {
            if (i == to || buffer[i] == '\t') {
                if (parts == starts.length) {
                    starts = Arrays.copyOf(starts, parts * 2);
                    ends = Arrays.copyOf(ends, parts * 2);
                }
                starts[parts] = start;
                ends[parts++] = i;
                start = i + 1;
            }
        }
    }

    long line() {
        return line;
    }

    int parts() {
        return parts;
    }

    void expectParts(int least, int most, String what) {
        if (parts < least || parts > most) {
            String range = least == most ? "" + (least - 1) : (least - 1) + " to " + (most - 1);
            throw new WireException(line, what, range + " values, got " + (parts - 1));
        }
    }

    boolean absent(int part) {
        return part >= parts
                || ends[part] == starts[part]
                || (ends[part] - starts[part] == 1 && buffer[starts[part]] == '-');
    }

    /** The part as an interned string, the same object for the same bytes. */
    String name(int part, String field) {
        if (absent(part)) {
            throw new WireException(line, field, "a name");
        }
        return names.of(buffer, starts[part], ends[part]);
    }

    String nameOrNull(int part) {
        return absent(part) ? null : names.of(buffer, starts[part], ends[part]);
    }

    String text(int part) {
        return new String(buffer, starts[part], ends[part] - starts[part], StandardCharsets.UTF_8);
    }

    long number(int part, String field) {
        if (absent(part)) {
            throw new WireException(line, field, "a whole number");
        }
        return parseLong(starts[part], ends[part], field);
    }

    long numberOr(int part, String field, long otherwise) {
        return absent(part) ? otherwise : parseLong(starts[part], ends[part], field);
    }

    private long parseLong(int from, int to, String field) {
        boolean negative = buffer[from] == '-';
        int i = negative ? from + 1 : from;
        if (i == to || to - i > 19) {
            throw new WireException(line, field, "a whole number");
        }
        long value = 0;
        for (; i < to; i++) {
            int digit = buffer[i] - '0';
            if (digit < 0 || digit > 9 || value > (Long.MAX_VALUE - digit) / 10) {
                throw new WireException(line, field, "a whole number");
            }
            value = value * 10 + digit;
        }
        return negative ? -value : value;
    }

    double decimal(int part, String field) {
        try {
            return Double.parseDouble(text(part));
        } catch (NumberFormatException e) {
            throw new WireException(line, field, "a number");
        }
    }

    boolean bool(int part, String field) {
        long value = number(part, field);
        if (value != 0 && value != 1) {
            throw new WireException(line, field, "0 or 1");
        }
        return value == 1;
    }

    /** A key of hex digits as a number; 0 if absent. */
    long hexOrZero(int part, String field) {
        if (absent(part)) {
            return 0;
        }
        if (ends[part] - starts[part] > 16) {
            throw new WireException(line, field, "at most 16 hex digits");
        }
        long value = 0;
        for (int i = starts[part]; i < ends[part]; i++) {
            value = value << 4 | hexDigit(buffer[i], field);
        }
        return value;
    }

    byte[] bytes(int part, String field) {
        if (absent(part)) {
            return new byte[0];
        }
        int length = ends[part] - starts[part];
        if (length % 2 != 0) {
            throw new WireException(line, field, "pairs of hex digits");
        }
        byte[] data = new byte[length / 2];
        for (int i = 0; i < data.length; i++) {
            int at = starts[part] + 2 * i;
            data[i] = (byte) (hexDigit(buffer[at], field) << 4 | hexDigit(buffer[at + 1], field));
        }
        return data;
    }

    private int hexDigit(byte b, String field) {
        int digit = Character.digit(b, 16);
        if (digit < 0) {
            throw new WireException(line, field, "hex digits");
        }
        return digit;
    }

    /** A small table from bytes to strings, so that repeated names cost no allocation. */
    private static final class Names {
        private String[] table = new String[1024];
        private int used;

        String of(byte[] bytes, int from, int to) {
            int hash = 1;
            for (int i = from; i < to; i++) {
                hash = hash * 31 + bytes[i];
            }
            int slot = (hash ^ hash >>> 15) & table.length - 1;
            while (table[slot] != null) {
                if (same(table[slot], bytes, from, to)) {
                    return table[slot];
                }
                slot = slot + 1 & table.length - 1;
            }
            String name = new String(bytes, from, to - from, StandardCharsets.UTF_8);
            if (used < table.length / 2) {
                table[slot] = name;
                used++;
            }
            return name;
        }

        private static boolean same(String s, byte[] bytes, int from, int to) {
            if (s.length() != to - from) {
                return false;
            }
            for (int i = 0; i < s.length(); i++) {
                if (s.charAt(i) != bytes[from + i]) {
                    return false;
                }
            }
            return true;
        }
    }
}
