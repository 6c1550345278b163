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
 * Workers that take a fixed time for each call and do so many at once; the rest waits in its turn.
 */
final class ConcurrencyLimitedServers {
    private static final byte[] ANSWER =
            "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer"
                    .getBytes(StandardCharsets.US_ASCII);

    private ConcurrencyLimitedServers() {}

    /**
     * Takes slots, milliseconds and port (0: any that is free) of each worker in turn; prints their
     * ports.
     */
    public static void main(String[] args) throws IOException {
        StringBuilder ports = new StringBuilder("ports");
        for (int i = 0; i < args.length; i += 3) {
            Semaphore slots = new Semaphore(Integer.parseInt(args[i]), true);
            long ms = Long.parseLong(args[i + 1]);
            ServerSocket server =
                    new ServerSocket(
                            Integer.parseInt(args[i + 2]), 1024, InetAddress.getLoopbackAddress());
            ports.append(' ').append(server.getLocalPort());
            thread(
                    () -> {
                        while (true) {
                            Socket connection = server.accept();
                            connection.setTcpNoDelay(true);
                            thread(() -> serve(connection, slots, ms));
                        }
                    });
        }
        System.out.println(ports);
    }

    private static void serve(Socket connection, Semaphore slots, long ms)
            throws IOException, InterruptedException {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            while (passHead(in)) {
                slots.acquire();
                try {
                    Thread.sleep(ms);
                } finally {
                    slots.release();
                }
                connection.getOutputStream().write(ANSWER);
            }
        }
    }

    /** Reads past one head, which has no body; whether there was one. */
    private static boolean passHead(InputStream in) throws IOException {
        int newLines = 0;
        while (newLines < 2) {
            int letter = in.read();
            if (letter < 0) {
                return false;
            }
            newLines = letter == '\n' ? newLines + 1 : letter == '\r' ? newLines : 0;
        }
        return true;
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static void thread(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException | InterruptedException e) {
                                // the other side has ended
                            }
                        });
        thread.setDaemon(false);
        thread.start();
    }
}
