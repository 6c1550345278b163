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
 * Open-loop load: requests are due at the times of a Poisson process, whatever became of earlier
 * requests, and latency counts from the due time (Tene, "How NOT to Measure Latency"). A request
 * for which no connection was free in time counts as late.
 */
final class OpenLoopLoad {
    private static final long LATE_NS = 5_000_000;

    final Histogram served = new ConcurrentHistogram(60_000_000_000L, 3);
    final AtomicLong refused = new AtomicLong();
    final AtomicLong failed = new AtomicLong();
    final AtomicLong late = new AtomicLong();
    private final int port;
    private final byte[] request;
    private final double requestsPerSecond;
    private final long countFromNs;
    private final long endNs;
    private final SplittableRandom random = new SplittableRandom(7);
    private long nextDueNs;
    private Thread[] threads;

    /**
     * @param warmUpNs requests due in this time are not counted
     */
    OpenLoopLoad(int port, String host, double requestsPerSecond, long warmUpNs, long measuredNs) {
        this.port = port;
        this.requestsPerSecond = requestsPerSecond;
        request =
                ("GET /x HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII);
        nextDueNs = System.nanoTime();
        countFromNs = nextDueNs + warmUpNs;
        endNs = countFromNs + measuredNs;
    }

    OpenLoopLoad start(int connections) {
        threads = new Thread[connections];
        for (int i = 0; i < connections; i++) {
            threads[i] = new Thread(this::sendRequests);
            threads[i].start();
        }
        return this;
    }

    void await() throws InterruptedException {
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private synchronized long takeNextDueNs() {
        nextDueNs += (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * 1e9);
        return nextDueNs;
    }

    private void sendRequests() {
        Socket connection = null;
        byte[] buffer = new byte[4096];
        for (long dueNs = takeNextDueNs(); dueNs < endNs; dueNs = takeNextDueNs()) {
            while (System.nanoTime() < dueNs) {
                LockSupport.parkNanos(dueNs - System.nanoTime());
            }
            boolean counted = dueNs >= countFromNs;
            if (counted && System.nanoTime() - dueNs > LATE_NS) {
                late.incrementAndGet();
            }
            try {
                if (connection == null) {
                    connection = new Socket(InetAddress.getLoopbackAddress(), port);
                    connection.setTcpNoDelay(true);
                    connection.setSoTimeout(30_000);
                }
                connection.getOutputStream().write(request);
                String response = readResponse(connection.getInputStream(), buffer);
                if (counted) {
                    count(
                            response.startsWith("HTTP/1.1 200")
                                    ? 200
                                    : response.startsWith("HTTP/1.1 503") ? 503 : 0,
                            dueNs);
                }
                if (response.contains("\r\nConnection: close")) {
                    connection.close();
                    connection = null;
                }
            } catch (IOException e) {
                connection = null;
                if (counted) {
                    count(0, dueNs);
                }
            }
        }
    }

    private void count(int status, long dueNs) {
        if (status == 200) {
            served.recordValue(System.nanoTime() - dueNs);
        } else {
            (status == 503 ? refused : failed).incrementAndGet();
        }
    }

    /** Reads and returns one whole response. */
    private static String readResponse(InputStream in, byte[] buffer) throws IOException {
        int length = 0;
        while (true) {
            int count = in.read(buffer, length, buffer.length - length);
            if (count < 0) {
                throw new IOException("connection closed before the end of the response");
            }
            length += count;
            String text = new String(buffer, 0, length, StandardCharsets.ISO_8859_1);
            int headEnd = text.indexOf("\r\n\r\n");
            if (headEnd >= 0) {
                int lengthStart = text.toLowerCase(Locale.ROOT).indexOf("content-length: ") + 16;
                int bodyBytes =
                        Integer.parseInt(
                                text.substring(lengthStart, text.indexOf('\r', lengthStart))
                                        .strip());
                if (length >= headEnd + 4 + bodyBytes) {
                    return text;
                }
            }
        }
    }
}
