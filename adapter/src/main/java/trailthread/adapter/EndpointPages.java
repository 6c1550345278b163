package trailthread.adapter;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import trailthread.api.EndpointEntry;

/**
 * Numbered pages of endpoint entries. The simulator sends a page once, and then refers to its
 * number in each update of the endpoint list that holds these entries.
 */
final class EndpointPages {
    private static final int PAGE_COUNT = 16;
    private static final double DEFAULT_WEIGHT = 1;
    private static final int NO_CELL = -1;

    private final WireReader reader;
    private final WireCodec codec;

    /** The entries by page number; null for a page that has not been sent. */
    private final List<List<EndpointEntry>> pages = new ArrayList<>(PAGE_COUNT);

    EndpointPages(WireReader reader, WireCodec codec) {
        this.reader = reader;
        this.codec = codec;
        for (int i = 0; i < PAGE_COUNT; i++) {
            pages.add(null);
        }
    }

    /** Reads the page that the current line begins, with the lines of its entries. */
    void readPage() throws IOException {
        reader.requireFieldCount(3, 3, WireMessages.ENDPOINT_PAGE);
        int page = pageNumber();
        long count = reader.number(2, "entries");
        List<EndpointEntry> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            if (!reader.nextLine()
                    || !reader.name(0, "message").equals(WireMessages.ENDPOINT_ENTRY)) {
                throw new WireException(
                        WireException.Problem.UNEXPECTED_MESSAGE,
                        reader.lineNumber(),
                        "message",
                        "entry " + (i + 1) + " of " + count);
            }
            entries.add(readEntry());
        }
        pages.set(page, entries);
    }

    private EndpointEntry readEntry() {
        reader.requireFieldCount(4, 8, WireMessages.ENDPOINT_ENTRY);
        return new EndpointEntry(
                reader.name(1, "backend"),
                reader.isAbsent(2) ? DEFAULT_WEIGHT : reader.decimal(2, "power_hint"),
                codec.endpointState(3),
                reader.isAbsent(4) ? "" : reader.name(4, "zone"),
                reader.numberOr(6, "up_since_ns", 0),
                (int) reader.numberOr(7, "unit_group", NO_CELL));
    }

    /** The entries of the page whose number is on the current line. */
    List<EndpointEntry> namedPage() {
        List<EndpointEntry> entries = pages.get(pageNumber());
        if (entries == null) {
            throw reader.invalid("page", "the number of a pool sent before");
        }
        return entries;
    }

    private int pageNumber() {
        long page = reader.number(1, "page");
        if (page < 0 || page >= PAGE_COUNT) {
            throw reader.invalid("page", "0 to " + (PAGE_COUNT - 1));
        }
        return (int) page;
    }
}
