package trailthread.adapter;

import trailthread.api.EndpointState;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;

/**
 * Translates the wire's words and codes in the fields of the current line to the types of {@link
 * trailthread.api}. All methods throw a {@link WireException} for a value that the wire does not
 * define.
 */
final class WireCodec {
    /** Bit of the field {@code flags}: the expected work of the request is valid. */
    private static final int WORK_KNOWN_FLAG = 1;

    /** Bit of the field {@code flags}: the client has sent this request before. */
    private static final int CLIENT_RETRY_FLAG = 2;

    private final WireReader reader;
    private final WireLoadReportParser loadReports;

    WireCodec(WireReader reader) {
        this.reader = reader;
        loadReports = new WireLoadReportParser(reader);
    }

    /** Whether these flags of a request say that its expected work is valid. */
    static boolean isWorkKnown(long flags) {
        return (flags & WORK_KNOWN_FLAG) != 0;
    }

    /** Whether these flags of a request say that its client has sent it before. */
    static boolean isClientRetry(long flags) {
        return (flags & CLIENT_RETRY_FLAG) != 0;
    }

    /** How an attempt or a health check ended. */
    Outcome outcome(int index) {
        String word = reader.name(index, "ending");
        return switch (word) {
            case "Ok" -> Outcome.OK;
            case "Failed" -> Outcome.ERROR;
            case "QueueFull" -> Outcome.REJECTED;
            case "TimedOut" -> Outcome.TIMEOUT;
            case "ConnectError" -> Outcome.CONNECT_FAILED;
            case "ResetByPeer" -> Outcome.RESET;
            case "Canceled" -> Outcome.CANCELLED;
            case "Ignored" -> Outcome.NOT_SENT;
            default -> throw reader.invalid("ending", "a known outcome, got '" + word + "'");
        };
    }

    /** The state of an endpoint; the wire has no state 1. */
    EndpointState endpointState(int index) {
        return switch ((int) reader.number(index, "state")) {
            case 0 -> EndpointState.DRAINING;
            case 2 -> EndpointState.READY;
            case 3 -> EndpointState.GONE;
            default -> throw reader.invalid("state", "0, 2 or 3");
        };
    }

    /** What an update of the endpoint list holds. */
    ListKind listKind(int index) {
        return switch ((int) reader.number(index, "scope")) {
            case 0 -> ListKind.DELTA;
            case 1 -> ListKind.FULL;
            case 2 -> ListKind.CACHED;
            case 3 -> ListKind.FAILED;
            default -> throw reader.invalid("scope", "0, 1, 2 or 3");
        };
    }

    /** A load report, or null if the field is absent. */
    LoadReport loadReport(int index) {
        return reader.isAbsent(index) ? null : loadReports.parse(reader.text(index));
    }
}
