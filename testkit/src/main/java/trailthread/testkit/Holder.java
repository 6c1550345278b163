package trailthread.testkit;

import static org.junit.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Holds a listening socket on loopback that each program it starts inherits as descriptor 0. In
 * Perl, which every Debian has: Java can hand no socket of its own to another process.
 */
public final class Holder implements Closeable {
    private static final String SCRIPT =
            """
            use Socket; use POSIX;
            socket(my $s, PF_INET, SOCK_STREAM, 0) or die; bind($s, sockaddr_in(0, INADDR_LOOPBACK)) or die;
            listen($s, 128) or die; open(my $orders, '<&', \\*STDIN) or die; POSIX::dup2(fileno($s), 0);
            $| = 1; $SIG{CHLD} = 'IGNORE'; print 'port ' . (sockaddr_in(getsockname($s)))[0] . "\\n";
            while (my $order = <$orders>) { if (!fork()) { exec('sh', '-c', $order) } }
            """;

    /** What the programs have written so far. */
    public final List<String> log = new CopyOnWriteArrayList<>();

    public final int port;
    private final Process process;

    public Holder() throws IOException, InterruptedException {
        process = new ProcessBuilder("perl", "-e", SCRIPT).redirectErrorStream(true).start();
        BufferedReader reader = process.inputReader(StandardCharsets.UTF_8);
        Thread drain = new Thread(() -> reader.lines().forEach(log::add));
        drain.setDaemon(true);
        drain.start();
        port = Integer.parseInt(logged("port (\\d+)", 1));
    }

    /** Starts a program with these variables and says its process id. */
    public long start(String variables, List<String> command)
            throws IOException, InterruptedException {
        int before = (int) log.stream().filter(line -> line.startsWith("pid ")).count();
        String words =
                command.stream().map(word -> "'" + word + "'").collect(Collectors.joining(" "));
        process.getOutputStream()
                .write(
                        ("echo pid $$; exec env LB_SOCKET_FD=0 " + variables + " " + words + "\n")
                                .getBytes(StandardCharsets.UTF_8));
        process.getOutputStream().flush();
        return Long.parseLong(logged("pid (\\d+)", before + 1));
    }

    /** What the pattern's group found when it was found so many times, which must come. */
    public String logged(String pattern, int times) throws InterruptedException {
        Pattern wanted = Pattern.compile(pattern);
        for (int i = 0; i < 100 * Peer.LONGEST_WAIT_S; i++) {
            int found = 0;
            for (String line : log) {
                Matcher matcher = wanted.matcher(line);
                if (matcher.find() && ++found == times) {
                    return matcher.groupCount() == 0 ? line : matcher.group(1);
                }
            }
            Thread.sleep(10);
        }
        throw new AssertionError("not " + times + " times '" + pattern + "' in " + log);
    }

    /** Asks a program to end, as the platform does, and waits until it has. */
    public static void terminate(long pid) throws Exception {
        ProcessHandle program = ProcessHandle.of(pid).orElseThrow();
        assertTrue(program.destroy());
        program.onExit().get(Peer.LONGEST_WAIT_S, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        process.toHandle().descendants().forEach(ProcessHandle::destroyForcibly);
        process.toHandle().destroyForcibly();
    }
}
