package trailthread.engine.quota;

/** The part of a {@link MemoryBudget} that one owner holds. */
public final class MemoryReservation {
    private final MemoryBudget budget;
    private long bytes;

    MemoryReservation(MemoryBudget budget) {
        this.budget = budget;
    }

    /** Returns how many bytes are reserved. */
    public long bytes() {
        return bytes;
    }

    /** Reserves more memory; returns false, with nothing reserved, if there is no room for it. */
    public boolean tryGrow(MemoryBudget.Use use, long count) {
        if (!budget.tryReserve(use, count)) {
            return false;
        }
        bytes += count;
        return true;
    }

    /** Reserves memory for bytes that are already held, even beyond the budget's limit. */
    public void growHeld(long count) {
        budget.reserveHeld(count);
        bytes += count;
    }

    /** Releases a part of what is reserved, at most all of it. */
    public void shrink(long count) {
        long released = Math.min(count, bytes);
        bytes -= released;
        budget.release(released);
    }

    /** Releases everything. */
    public void release() {
        shrink(bytes);
    }
}
