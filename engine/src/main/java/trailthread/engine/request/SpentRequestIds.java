package trailthread.engine.request;

/**
 * Remembers the ids of requests that must not run again, in bounded memory: two generations of
 * 64-bit hashes. Pure: times are passed in, by one clock, in nanoseconds.
 */
final class SpentRequestIds {
    /** How long an id is remembered at least, unless {@link #MAX_IDS} follow it. */
    static final long MIN_MEMORY_NS = 300_000_000_000L;

    /** The number of ids in a generation; 512 KiB of hashes at most. */
    static final int MAX_IDS = 32 * 1024;

    private HashSet64 current = new HashSet64();
    private HashSet64 previous = new HashSet64();
    private long currentSince;

    /** Creates a memory of no ids. */
    SpentRequestIds(long now) {
        currentSince = now;
    }

    void add(String id, long now) {
        if (current.size() >= MAX_IDS || now - currentSince >= MIN_MEMORY_NS) {
            previous = current;
            current = new HashSet64();
            currentSince = now;
        }
        current.add(hash(id));
    }

    boolean contains(String id) {
        long hash = hash(id);
        return current.contains(hash) || previous.contains(hash);
    }

    /** FNV-1a, finished with the mixer of MurmurHash3. */
    private static long hash(String id) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return hash ^ (hash >>> 33);
    }

    /** A set of hashes with open addressing; 0 is kept as 1. */
    private static final class HashSet64 {
        private static final int INITIAL_CAPACITY = 256;

        private long[] slots = new long[INITIAL_CAPACITY];
        private int size;

        int size() {
            return size;
        }

        boolean contains(long hash) {
            return slots[slotOf(nonZero(hash))] != 0;
        }

        void add(long hash) {
            if (2 * size >= slots.length) {
                grow();
            }
            int slot = slotOf(nonZero(hash));
            size += slots[slot] == 0 ? 1 : 0;
            slots[slot] = nonZero(hash);
        }

        private static long nonZero(long hash) {
            return hash == 0 ? 1 : hash;
        }

        /** Returns the slot that holds the hash, or the free one in which it would be put. */
        private int slotOf(long hash) {
            int slot = (int) hash & (slots.length - 1);
            while (slots[slot] != 0 && slots[slot] != hash) {
                slot = (slot + 1) & (slots.length - 1);
            }
            return slot;
        }

        private void grow() {
            long[] old = slots;
            slots = new long[2 * old.length];
            for (long hash : old) {
                if (hash != 0) {
                    slots[slotOf(hash)] = hash;
                }
            }
        }
    }
}
