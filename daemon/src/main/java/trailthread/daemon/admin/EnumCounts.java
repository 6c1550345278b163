package trailthread.daemon.admin;

import java.util.List;

/** A counter for each constant of an enum. */
final class EnumCounts<E extends Enum<E>> {
    private final E[] constants;
    private final long[] counts;

    EnumCounts(Class<E> type) {
        this(type.getEnumConstants(), new long[type.getEnumConstants().length]);
    }

    private EnumCounts(E[] constants, long[] counts) {
        this.constants = constants;
        this.counts = counts;
    }

    void increment(E constant) {
        counts[constant.ordinal()]++;
    }

    long get(E constant) {
        return counts[constant.ordinal()];
    }

    /** All constants, in the order of their declaration. */
    List<E> constants() {
        return List.of(constants);
    }

    EnumCounts<E> copy() {
        return new EnumCounts<>(constants, counts.clone());
    }
}
