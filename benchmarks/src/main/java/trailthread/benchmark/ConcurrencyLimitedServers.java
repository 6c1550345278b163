package trailthread.benchmark;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;

/**
 * HTTP servers that take a fixed time for each request and process a limited number of requests at
 * once; further requests wait in order of arrival.
 */
final class ConcurrencyLimitedServers {
    private static final byte[] RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer"
                    .getBytes(StandardCharsets.US_ASCII);

    private ConcurrencyLimitedServers() {}

    /**
     * Starts the servers and prints their ports.
     *
     * @param args three for each server: concurrency limit, milliseconds per request, port (0: any
     *     free port)
     */
    public static void main(String[] args) throws IOException {
        StringBuilder ports = new StringBuilder("ports");
        for (int i = 0; i < args.length; i += 3) {
            Semaphore permits = new Semaphore(Integer.parseInt(args[i]), true);
            long serviceMs = Long.parseLong(args[i + 1]);
            ServerSocket server =
                    new ServerSocket(
                            Integer.parseInt(args[i + 2]), 1024, InetAddress.getLoopbackAddress());
            ports.append(' ').append(server.getLocalPort());
            startThread(
                    () -> {
                        while (true) {
                            Socket connection = server.accept();
                            connection.setTcpNoDelay(true);
                            startThread(() -> serve(connection, permits, serviceMs));
                        }
                    });
        }
        System.out.println(ports);
    }

    private static void serve(Socket connection, Semaphore permits, long serviceMs)
            throws IOException, InterruptedException {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            while (skipRequest(in)) {
                permits.acquire();
                try {
                    Thread.sleep(serviceMs);
                } finally {
                    permits.release();
                }
                connection.getOutputStream().write(RESPONSE);
            }
        }
    }

    /** Skips one request, which has no body; returns false at the end of the stream. */
    private static boolean skipRequest(InputStream in) throws IOException {
        int newLines = 0;
        while (newLines < 2) {
            int character = in.read();
            if (character < 0) {
                return false;
            }
            newLines = character == '\n' ? newLines + 1 : character == '\r' ? newLines : 0;
        }
        return true;
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static void startThread(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException | InterruptedException e) {
                                // the peer closed the connection
                            }
                        });
        thread.setDaemon(false);
        thread.start();
    }
}
