package trailthread.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import trailthread.Balancer;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.api.Settings;
import trailthread.settings.SettingsParser;
import trailthread.settings.WireException;

/**
 * Brings the wire's events to the balancers, one per instance, and their actions back; decides
 * nothing.
 */
public final class Adapter {
    private static final int PAGES = 16;
    private static final int HINT_VALID = 1;
    private static final int CLIENT_REPEAT = 2;

    private final WireReader in;
    private final WireWriter out;
    private final Map<String, Balancer> instances = new HashMap<>();
    private final List<List<EndpointEntry>> pages = new ArrayList<>();
    private String instance;
    private Balancer balancer;
    private long now;

    Adapter(InputStream in, OutputStream out) {
        this.in = new WireReader(in);
        this.out = new WireWriter(out);
        for (int i = 0; i < PAGES; i++) {
            pages.add(null);
        }
    }

    /** Answers batches until the input ends; the exit status. */
    public static int serve(InputStream in, OutputStream out) throws IOException {
        try {
            new Adapter(in, out).run();
            return 0;
        } catch (WireException e) {
            System.err.println("trailthread: " + e.getMessage());
            return 1;
        }
    }

    /** Answers batches until the input ends. */
    void run() throws IOException {
        while (in.advance()) {
            String word = in.name(0, "message");
            if (!word.equals("frame")) {
                throw new WireException(in.line(), "message", "frame, got '" + word + "'");
            }
            in.expectParts(2, 2, "frame");
            now = in.number(1, "frame");
            instance = null;
            balancer = null;
            batch();
            out.endReply();
        }
    }

    private void batch() throws IOException {
        while (in.advance()) {
            String word = in.name(0, "message");
            if (word.equals("end")) {
                in.expectParts(1, 1, "end");
                return;
            }
            message(word);
        }
        throw new WireException(in.line() + 1, "message", "end before the end of the input");
    }

    private void message(String word) throws IOException {
        switch (word) {
            case "switch_to" -> {
                in.expectParts(2, 2, word);
                instance = in.name(1, "instance");
                balancer = instances.get(instance);
            }
            case "pool" -> pool();
            case "begin" -> begin();
            case "stop" -> {
                in.expectParts(1, 1, word);
                needInstance(word);
                instances.remove(instance);
                balancer = null;
            }
            default -> event(word);
        }
    }

    private void needInstance(String word) {
        if (instance == null) {
            throw new WireException(in.line(), word, "switch_to before it");
        }
    }

    private void begin() {
        needInstance("begin");
        in.expectParts(2, Integer.MAX_VALUE, "begin");
        long seed = in.number(1, "rng_seed");
        SettingsParser parser = new SettingsParser("line " + in.line());
        for (int i = 2; i < in.parts(); i++) {
            if (!in.absent(i)) {
                parser.add(in.text(i));
            }
        }
        Settings settings = parser.parse();
        try {
            balancer = new Balancer(settings, seed, now, out.forInstance(instance));
        } catch (IllegalArgumentException e) {
            throw new WireException(in.line(), "options", "usable settings: " + e.getMessage());
        }
        instances.put(instance, balancer);
    }

    private void pool() throws IOException {
        in.expectParts(3, 3, "pool");
        int page = page();
        long count = in.number(2, "entries");
        List<EndpointEntry> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            if (!in.advance() || !in.name(0, "message").equals("entry")) {
                throw new WireException(in.line(), "message", "entry " + (i + 1) + " of " + count);
            }
            in.expectParts(4, 8, "entry");
            entries.add(
                    new EndpointEntry(
                            in.name(1, "backend"),
                            in.absent(2) ? 1 : in.decimal(2, "power_hint"),
                            state(in.number(3, "state")),
                            in.absent(4) ? "" : in.name(4, "zone"),
                            in.numberOr(6, "up_since_ns", 0),
                            (int) in.numberOr(7, "unit_group", -1)));
        }
        pages.set(page, entries);
    }

    private int page() {
        long page = in.number(1, "page");
        if (page < 0 || page >= PAGES) {
            throw new WireException(in.line(), "page", "0 to " + (PAGES - 1));
        }
        return (int) page;
    }

    private EndpointState state(long code) {
        return switch ((int) code) {
            case 2 -> EndpointState.READY;
            case 0 -> EndpointState.DRAINING;
            case 3 -> EndpointState.GONE;
            default -> throw new WireException(in.line(), "state", "0, 2 or 3");
        };
    }

    private void event(String word) {
        needInstance(word);
        if (balancer == null) {
            throw new WireException(in.line(), word, "begin before it");
        }
        try {
            dispatch(word);
        } catch (WireException e) {
            throw e;
        } catch (RuntimeException e) {
            System.err.println("trailthread: line " + in.line() + ": " + e);
            out.internalError(instance, e.toString());
        }
    }

    private void dispatch(String word) {
        switch (word) {
            case "membership" -> membership();
            case "knock" -> {
                in.expectParts(5, 8, word);
                boolean hinted = (in.numberOr(6, "flags", 0) & HINT_VALID) != 0;
                boolean repeat = (in.numberOr(6, "flags", 0) & CLIENT_REPEAT) != 0;
                balancer.request(
                        now,
                        in.number(1, "ref"),
                        in.name(3, "category"),
                        hinted ? in.numberOr(2, "expected_ns", 0) : 0,
                        in.number(4, "client_deadline_ns"),
                        in.nameOrNull(5),
                        repeat,
                        in.hexOrZero(7, "entity"));
            }
            case "head_received" -> {
                in.expectParts(5, 5, word);
                in.name(3, "backend");
                in.number(4, "latency_ns");
                balancer.firstByte(now, in.number(1, "ref"), (int) in.number(2, "leg"));
            }
            case "result" -> {
                in.expectParts(7, 8, word);
                in.name(3, "backend");
                balancer.outcome(
                        now,
                        in.number(1, "ref"),
                        (int) in.number(2, "leg"),
                        outcome(4),
                        in.number(5, "latency_ns"),
                        in.bool(6, "closed"),
                        load(7));
            }
            case "timed_out_client" -> {
                in.expectParts(2, 2, word);
                balancer.gone(now, in.number(1, "ref"));
            }
            case "tick_due" -> {
                in.expectParts(2, 2, word);
                balancer.timer(now, in.number(1, "name"));
            }
            case "health_result" -> {
                in.expectParts(4, 5, word);
                balancer.healthChecked(
                        now,
                        in.name(1, "backend"),
                        outcome(2),
                        in.number(3, "latency_ns"),
                        load(4));
            }
            case "inbox" -> {
                in.expectParts(2, 3, word);
                balancer.peer(now, (int) in.number(1, "src_peer"), in.bytes(2, "contents"));
            }
            default ->
                    throw new WireException(
                            in.line(), "message", "a known message, got '" + word + "'");
        }
    }

    private void membership() {
        in.expectParts(4, 4, "membership");
        in.number(2, "rev");
        ListKind kind = listKind(in.number(3, "scope"));
        List<EndpointEntry> entries = List.of();
        if (kind != ListKind.FAILED) {
            entries = pages.get(page());
            if (entries == null) {
                throw new WireException(in.line(), "page", "the number of a pool sent before");
            }
        }
        balancer.list(now, kind, entries);
    }

    private ListKind listKind(long code) {
        return switch ((int) code) {
            case 0 -> ListKind.DELTA;
            case 1 -> ListKind.FULL;
            case 2 -> ListKind.CACHED;
            case 3 -> ListKind.FAILED;
            default -> throw new WireException(in.line(), "scope", "0, 1, 2 or 3");
        };
    }

    private Outcome outcome(int part) {
        String word = in.name(part, "ending");
        return switch (word) {
            case "Ok" -> Outcome.OK;
            case "Failed" -> Outcome.ERROR;
            case "QueueFull" -> Outcome.REJECTED;
            case "TimedOut" -> Outcome.TIMEOUT;
            case "ConnectError" -> Outcome.CONNECT_FAILED;
            case "ResetByPeer" -> Outcome.RESET;
            case "Canceled" -> Outcome.CANCELLED;
            case "Ignored" -> Outcome.NOT_SENT;
            default ->
                    throw new WireException(
                            in.line(), "ending", "a known outcome, got '" + word + "'");
        };
    }

    /** The load report of a part, or null; values that are not known by name are skipped. */
    private LoadReport load(int part) {
        if (in.absent(part)) {
            return null;
        }
        double inflight = Double.NaN;
        double queue = Double.NaN;
        double util = Double.NaN;
        double latencyMs = Double.NaN;
        double qps = Double.NaN;
        double eps = Double.NaN;
        String text = in.text(part);
        for (int from = 0; from < text.length(); ) {
            int to = text.indexOf(',', from);
            to = to < 0 ? text.length() : to;
            int colon = text.indexOf(':', from);
            if (colon < from || colon > to) {
                throw new WireException(
                        in.line(), "feedback", "name:value pairs, got '" + text + "'");
            }
            double value = value(text.substring(colon + 1, to));
            switch (text.substring(from, colon)) {
                case "inflight" -> inflight = value;
                case "queue" -> queue = value;
                case "util" -> util = value;
                case "latency_ms" -> latencyMs = value;
                case "qps" -> qps = value;
                case "eps" -> eps = value;
                default -> {
                    // a value that no decision reads
                }
            }
            from = to + 1;
        }
        return new LoadReport(inflight, queue, util, latencyMs, qps, eps);
    }

    private double value(String text) {
        if (text.equals("-")) {
            return Double.NaN;
        }
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new WireException(in.line(), "feedback", "a number, got '" + text + "'");
        }
    }
}
