package trailthread.benchmark;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * An open loop: calls are due at times drawn ahead (Poisson), whatever became of those before, and
 * their latency counts from then (Tene, "How NOT to Measure Latency"). A call that no connection
 * was free for in time counts as late.
 */
final class OpenLoopLoad {
    private static final long LATE_NS = 5_000_000;

    final Histogram served = new ConcurrentHistogram(60_000_000_000L, 3);
    final AtomicLong refused = new AtomicLong();
    final AtomicLong failed = new AtomicLong();
    final AtomicLong late = new AtomicLong();
    private final int port;
    private final byte[] request;
    private final double perSecond;
    private final long countFrom;
    private final long endsAt;
    private final SplittableRandom random = new SplittableRandom(7);
    private long nextDue;
    private Thread[] threads;

    /**
     * Makes one that has not begun.
     *
     * @param warmUpNs what is sent in this time is not counted
     */
    OpenLoopLoad(int port, String host, double perSecond, long warmUpNs, long forNs) {
        this.port = port;
        this.perSecond = perSecond;
        request =
                ("GET /x HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII);
        nextDue = System.nanoTime();
        countFrom = nextDue + warmUpNs;
        endsAt = countFrom + forNs;
    }

    OpenLoopLoad begin(int connections) {
        threads = new Thread[connections];
        for (int i = 0; i < connections; i++) {
            threads[i] = new Thread(this::send);
            threads[i].start();
        }
        return this;
    }

    void await() throws InterruptedException {
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private synchronized long takeDue() {
        nextDue += (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
        return nextDue;
    }

    private void send() {
        Socket connection = null;
        byte[] buffer = new byte[4096];
        for (long due = takeDue(); due < endsAt; due = takeDue()) {
            while (System.nanoTime() < due) {
                LockSupport.parkNanos(due - System.nanoTime());
            }
            boolean counts = due >= countFrom;
            if (counts && System.nanoTime() - due > LATE_NS) {
                late.incrementAndGet();
            }
            try {
                if (connection == null) {
                    connection = new Socket(InetAddress.getLoopbackAddress(), port);
                    connection.setTcpNoDelay(true);
                    connection.setSoTimeout(30_000);
                }
                connection.getOutputStream().write(request);
                String head = read(connection.getInputStream(), buffer);
                if (counts) {
                    count(
                            head.startsWith("HTTP/1.1 200")
                                    ? 200
                                    : head.startsWith("HTTP/1.1 503") ? 503 : 0,
                            due);
                }
                if (head.contains("\r\nConnection: close")) {
                    connection.close();
                    connection = null;
                }
            } catch (IOException e) {
                connection = null;
                if (counts) {
                    count(0, due);
                }
            }
        }
    }

    private void count(int status, long due) {
        if (status == 200) {
            served.recordValue(System.nanoTime() - due);
        } else {
            (status == 503 ? refused : failed).incrementAndGet();
        }
    }

    /** One answer whole; its head. */
    private static String read(InputStream in, byte[] buffer) throws IOException {
        int length = 0;
        while (true) {
            int count = in.read(buffer, length, buffer.length - length);
            if (count < 0) {
                throw new IOException("ended");
            }
            length += count;
            String text = new String(buffer, 0, length, StandardCharsets.ISO_8859_1);
            int end = text.indexOf("\r\n\r\n");
            if (end >= 0) {
                int at = text.toLowerCase(Locale.ROOT).indexOf("content-length: ") + 16;
                int body = Integer.parseInt(text.substring(at, text.indexOf('\r', at)).strip());
                if (length >= end + 4 + body) {
                    return text;
                }
            }
        }
    }
}
