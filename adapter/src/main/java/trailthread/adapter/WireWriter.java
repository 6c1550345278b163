package trailthread.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import trailthread.api.BalancerActions;

/** Writes one reply; each instance has its own {@link BalancerActions} face on it. */
final class WireWriter {
    private static final long LONGEST_TIMER_NS = 70L * 60 * 1_000_000_000;

    private final OutputStream out;
    private byte[] buffer = new byte[1 << 16];
    private int size;
    private String current;

    WireWriter(OutputStream out) {
        this.out = out;
    }

    BalancerActions forInstance(String name) {
        return new InstanceActions(name);
    }

    void endReply() throws IOException {
        bytes("next\n");
        out.write(buffer, 0, size);
        out.flush();
        size = 0;
        current = null;
    }

    void internalError(String instance, String message) {
        begin(instance, "internal_error");
        text(message);
        end();
    }

    @SuppressWarnings(
            "ReferenceEquality") // identity is enough: each instance hands in its own string
    private void begin(String instance, String message) {
        if (instance != current) {
            bytes("from\t");
            bytes(instance);
            put('\n');
            current = instance;
        }
        bytes(message);
    }

    private void end() {
        put('\n');
    }

    private void put(int b) {
        if (size == buffer.length) {
            buffer = Arrays.copyOf(buffer, size * 2);
        }
        buffer[size++] = (byte) b;
    }

    private void bytes(String ascii) {
        for (int i = 0; i < ascii.length(); i++) {
            put(ascii.charAt(i));
        }
    }

    private void text(String text) {
        put('\t');
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            put(b == '\n' || b == '\r' || b == '\t' ? ' ' : b);
        }
    }

    private void number(long value) {
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
            put('0' + (int) Math.abs(rest % 10));
        }
        for (int i = start, j = size - 1; i < j; i++, j--) {
            byte swap = buffer[i];
            buffer[i] = buffer[j];
            buffer[j] = swap;
        }
    }

    private void name(String name) {
        put('\t');
        bytes(name);
    }

    private final class InstanceActions implements BalancerActions {
        private final String instance;

        InstanceActions(String instance) {
            this.instance = instance;
        }

        @Override
        public void send(long id, long timeoutNs, long writtenBy, String endpoint) {
            begin(instance, "forward");
            number(id);
            number(timeoutNs);
            name(endpoint);
            end();
        }

        @Override
        public void refuse(long id, long retryAfterNs) {
            begin(instance, "push_back");
            number(id);
            number(retryAfterNs);
            end();
        }

        @Override
        public void fail(long id) {
            begin(instance, "error");
            number(id);
            end();
        }

        @Override
        public void cancel(long id, int attempt) {
            begin(instance, "withdraw");
            number(id);
            number(attempt);
            end();
        }

        @Override
        public void timer(long delayNs, long token) {
            begin(instance, "after");
            number(Math.max(0, Math.min(delayNs, LONGEST_TIMER_NS)));
            number(token);
            end();
        }

        @Override
        public void probe(String endpoint) {
            begin(instance, "sample");
            name(endpoint);
            end();
        }

        @Override
        public void closeIdle(String endpoint) {
            begin(instance, "shut_idle");
            name(endpoint);
            end();
        }

        @Override
        public void tell(int peer, byte[] data) {
            begin(instance, "signal");
            number(peer);
            put('\t');
            if (data.length == 0) {
                put('-');
            }
            for (byte b : data) {
                put(Character.forDigit(b >> 4 & 15, 16));
                put(Character.forDigit(b & 15, 16));
            }
            end();
        }

        @Override
        public void watch(boolean on) {
            begin(instance, "tail");
            number(on ? 1 : 0);
            end();
        }

        @Override
        public void fetch() {
            begin(instance, "get_list");
            end();
        }

        @Override
        public void log(String text) {
            begin(instance, "trace");
            text(text);
            end();
        }
    }
}
