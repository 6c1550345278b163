package trailthread.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Formats messages as lines of tab-separated fields, and writes one reply at a time. A message is
 * written by {@link #beginMessage}, its fields in order, and {@link #endMessage}.
 */
final class WireWriter {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private final OutputStream out;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int size;

    /** The instance whose messages are being written; null at the start of a reply. */
    private String currentInstance;

    WireWriter(OutputStream out) {
        this.out = out;
    }

    /** Ends the reply and writes it to the output. */
    void endReply() throws IOException {
        ascii(WireMessages.END_OF_REPLY);
        endMessage();
        out.write(buffer, 0, size);
        out.flush();
        size = 0;
        currentInstance = null;
    }

    /** Reports that an instance failed on an event. */
    void internalError(String instance, String message) {
        beginMessage(instance, WireMessages.INTERNAL_ERROR);
        textField(message);
        endMessage();
    }

    /** Begins a message of an instance, after a line that names the instance where it changes. */
    @SuppressWarnings(
            "ReferenceEquality") // identity is enough: each instance hands in its own string
    void beginMessage(String instance, String message) {
        if (instance != currentInstance) {
            ascii(WireMessages.ACTIONS_OF);
            nameField(instance);
            endMessage();
            currentInstance = instance;
        }
        ascii(message);
    }

    /** Ends a message. */
    void endMessage() {
        put('\n');
    }

    /** Adds a field of ASCII characters without tabs or line breaks. */
    void nameField(String name) {
        put('\t');
        ascii(name);
    }

    /** Adds a field of any text; tabs and line breaks become blanks. */
    void textField(String text) {
        put('\t');
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            boolean separates = b == '\n' || b == '\r' || b == '\t';
            put(separates ? ' ' : b);
        }
    }

    /** Adds a whole number. */
    void numberField(long value) {
        put('\t');
        if (value == 0) {
            put('0');
            return;
        }
        if (value < 0) {
            put('-');
        }
        int start = size;
        for (long rest = value; rest != 0; rest /= 10) {
            put('0' + (int) Math.abs(rest % 10)); // Absolute here: Long.MIN_VALUE has no negative.
        }
        reverse(start, size - 1);
    }

    /** Adds bytes as hex digits, two a byte; a dash for none. */
    void hexField(byte[] data) {
        put('\t');
        if (data.length == 0) {
            put('-');
        }
        for (byte b : data) {
            put(Character.forDigit(b >> 4 & 15, 16));
            put(Character.forDigit(b & 15, 16));
        }
    }

    private void reverse(int first, int last) {
        for (int i = first, j = last; i < j; i++, j--) {
            byte swap = buffer[i];
            buffer[i] = buffer[j];
            buffer[j] = swap;
        }
    }

    private void ascii(String text) {
        for (int i = 0; i < text.length(); i++) {
            put(text.charAt(i));
        }
    }

    private void put(int b) {
        if (size == buffer.length) {
            buffer = Arrays.copyOf(buffer, size * 2);
        }
        buffer[size++] = (byte) b;
    }
}
