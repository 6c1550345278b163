package trailthread.adapter;

import java.nio.charset.StandardCharsets;

/**
 * A bounded table from bytes to strings, so that a name that is read again and again is decoded and
 * allocated once. Only names in ASCII are found in the table; others are decoded each time.
 */
final class InternedNames {
    /** A power of two: slots are found with a bit mask. */
    private static final int SLOTS = 1024;

    /**
     * Names beyond this number are decoded each time. With at most half of the slots in use, linear
     * probing stays short.
     */
    private static final int MAX_NAMES = SLOTS / 2;

    private static final int SLOT_MASK = SLOTS - 1;

    private final String[] slots = new String[SLOTS];
    private int size;

    /** The name in {@code bytes[from]} up to but not including {@code bytes[to]}. */
    String get(byte[] bytes, int from, int to) {
        int slot = firstSlot(bytes, from, to);
        while (slots[slot] != null) {
            if (isSame(slots[slot], bytes, from, to)) {
                return slots[slot];
            }
            slot = (slot + 1) & SLOT_MASK;
        }
        String name = new String(bytes, from, to - from, StandardCharsets.UTF_8);
        if (size < MAX_NAMES) {
            slots[slot] = name;
            size++;
        }
        return name;
    }

    private static int firstSlot(byte[] bytes, int from, int to) {
        int hash = 1;
        for (int i = from; i < to; i++) {
            hash = hash * 31 + bytes[i];
        }
        return (hash ^ (hash >>> 15)) & SLOT_MASK;
    }

    private static boolean isSame(String name, byte[] bytes, int from, int to) {
        if (name.length() != to - from) {
            return false;
        }
        for (int i = 0; i < name.length(); i++) {
            if (name.charAt(i) != bytes[from + i]) {
                return false;
            }
        }
        return true;
    }
}
