package trailthread.testkit;

import static org.junit.Assert.assertEquals;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;

/**
 * Makes system calls of a program fail, by a library in C that is loaded into it (LD_PRELOAD) and
 * reads from a mapped file which calls fail. The library is compiled once per test process, which
 * needs a C compiler, {@code cc}.
 */
public final class SystemCallFaults implements Closeable {
    /** A system call. The order is that of the library. */
    public enum Call {
        /** Fails with ECONNABORTED, ENFILE, EMFILE and ENOBUFS in turn. */
        ACCEPT,
        /** Fails with ENFILE, EMFILE and ENOBUFS in turn. */
        SOCKET,
        /** Fails with EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT and EHOSTUNREACH in turn. */
        CONNECT,
        /** Of a socket or a pipe; is interrupted (EINTR). */
        READ,
        /** Of a socket or a pipe; is interrupted (EINTR). */
        WRITE,
        /** For sockets to be ready; is interrupted (EINTR). */
        WAIT
    }

    private static final String SOURCE = "system_call_faults.c";
    private static final int INT_BYTES = Integer.BYTES;
    private static final int FAULT_BYTES = 4 * INT_BYTES;
    private static final int SCRIPT_BYTES = INT_BYTES + Call.values().length * FAULT_BYTES;
    private static final int FAIL_NEXT = 0;
    private static final int PER_THOUSAND = INT_BYTES;
    private static final int OUTCOME = 2 * INT_BYTES;
    private static final int INJECTED = 3 * INT_BYTES;

    /** The outcome of a read or write that transfers fewer bytes than it could. */
    private static final int SHORT_TRANSFER = -1;

    private static Path library;

    private final Path file;
    private final MappedByteBuffer script;

    /**
     * Prepares faults for a program; none happen yet.
     *
     * @param seed of the calls that are chosen randomly
     * @throws IOException if the library can't be compiled
     */
    public SystemCallFaults(long seed) throws IOException, InterruptedException {
        compileOnce();
        file = Files.createTempFile("trailthread", ".faults");
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            channel.write(ByteBuffer.allocate(SCRIPT_BYTES));
            script = channel.map(FileChannel.MapMode.READ_WRITE, 0, SCRIPT_BYTES);
        }
        script.order(ByteOrder.nativeOrder());
        script.putInt(0, Long.hashCode(seed) + 1); // the library's generator can't start at 0
    }

    private static synchronized void compileOnce() throws IOException, InterruptedException {
        if (library != null) {
            return;
        }
        Path folder = Files.createTempDirectory("trailthread");
        Path source = folder.resolve(SOURCE);
        Path compiled = folder.resolve("system_call_faults.so");
        folder.toFile().deleteOnExit();
        source.toFile().deleteOnExit();
        compiled.toFile().deleteOnExit();
        try (InputStream in = SystemCallFaults.class.getResourceAsStream(SOURCE)) {
            Files.copy(in, source);
        }
        List<String> command =
                List.of(
                        "cc",
                        "-O1",
                        "-shared",
                        "-fPIC",
                        "-o",
                        compiled.toString(),
                        source.toString(),
                        "-ldl");
        Process compiler = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output =
                new String(compiler.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals("a C compiler, cc, is needed: " + output, 0, compiler.waitFor());
        library = compiled;
    }

    /**
     * The command that starts another command with the library; see {@link TestCluster#launcher}.
     */
    public List<String> launcher() {
        return List.of("env", "LD_PRELOAD=" + library, "SYSTEM_CALL_FAULTS=" + file);
    }

    /** Makes the next calls fail. */
    public void failNext(Call call, int count) {
        script.putInt(offset(call) + FAIL_NEXT, count);
    }

    /** Makes this many of a thousand calls fail, until set to 0. */
    public void failRandomly(Call call, int perThousand) {
        script.putInt(offset(call) + PER_THOUSAND, perThousand);
    }

    /** Makes the chosen reads or writes transfer few bytes instead of being interrupted. */
    public void transferFewBytes(Call call) {
        script.putInt(offset(call) + OUTCOME, SHORT_TRANSFER);
    }

    /** How many calls have been changed so far. */
    public int injected(Call call) {
        return script.getInt(offset(call) + INJECTED);
    }

    private static int offset(Call call) {
        return INT_BYTES + call.ordinal() * FAULT_BYTES;
    }

    @Override
    public void close() {
        try {
            Files.deleteIfExists(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
