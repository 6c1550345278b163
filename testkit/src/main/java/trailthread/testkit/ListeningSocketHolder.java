package trailthread.testkit;

import static org.junit.Assert.assertTrue;

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
 * Holds a listening socket on loopback, and starts programs that inherit it as descriptor 0. A Perl
 * script does both, as Java can't pass a socket to another process, and Perl is part of every
 * Debian.
 */
public final class ListeningSocketHolder implements Closeable {
    private static final String SCRIPT =
            """
            use Socket; use POSIX;
            socket(my $s, PF_INET, SOCK_STREAM, 0) or die; bind($s, sockaddr_in(0, INADDR_LOOPBACK)) or die;
            listen($s, 128) or die; open(my $orders, '<&', \\*STDIN) or die; POSIX::dup2(fileno($s), 0);
            $| = 1; $SIG{CHLD} = 'IGNORE'; print 'port ' . (sockaddr_in(getsockname($s)))[0] . "\\n";
            while (my $order = <$orders>) { if (!fork()) { exec('sh', '-c', $order) } }
            """;

    /** The lines that the programs have written so far. */
    public final List<String> log = new CopyOnWriteArrayList<>();

    /** The port of the listening socket. */
    public final int port;

    private final Process process;

    /** Opens the socket. */
    public ListeningSocketHolder() throws IOException, InterruptedException {
        process = new ProcessBuilder("perl", "-e", SCRIPT).redirectErrorStream(true).start();
        ProcessOutput.collect(process, log);
        port = Integer.parseInt(awaitLogMatch("port (\\d+)", 1));
    }

    /**
     * Starts a program.
     *
     * @param variables environment variables of the program, as the command {@code env} takes them
     * @return the program's process id
     */
    public long start(String variables, List<String> command)
            throws IOException, InterruptedException {
        int startedBefore = (int) log.stream().filter(line -> line.startsWith("pid ")).count();
        String quotedCommand =
                command.stream().map(word -> "'" + word + "'").collect(Collectors.joining(" "));
        process.getOutputStream()
                .write(
                        ("echo pid $$; exec env LB_SOCKET_FD=0 "
                                        + variables
                                        + " "
                                        + quotedCommand
                                        + "\n")
                                .getBytes(StandardCharsets.UTF_8));
        process.getOutputStream().flush();
        return Long.parseLong(awaitLogMatch("pid (\\d+)", startedBefore + 1));
    }

    /**
     * Waits until this many lines of the log match the pattern.
     *
     * @return the pattern's group in the last of them, or the line if it has no group
     */
    public String awaitLogMatch(String pattern, int times) throws InterruptedException {
        Pattern compiled = Pattern.compile(pattern);
        for (int i = 0; i < 100 * ScriptedServer.TIMEOUT_S; i++) {
            int found = 0;
            for (String line : log) {
                Matcher matcher = compiled.matcher(line);
                if (matcher.find() && ++found == times) {
                    return matcher.groupCount() == 0 ? line : matcher.group(1);
                }
            }
            Thread.sleep(10);
        }
        throw new AssertionError(
                "fewer than " + times + " lines match '" + pattern + "' in " + log);
    }

    /** Sends SIGTERM to a program, as the platform does, and waits until it has ended. */
    public static void terminate(long pid) throws Exception {
        ProcessHandle program = ProcessHandle.of(pid).orElseThrow();
        assertTrue(program.destroy());
        program.onExit().get(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        process.toHandle().descendants().forEach(ProcessHandle::destroyForcibly);
        process.toHandle().destroyForcibly();
    }
}
