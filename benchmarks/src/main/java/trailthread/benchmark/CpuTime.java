package trailthread.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * CPU time in seconds, of a process with all its threads and of a core; no number where the system
 * does not tell. See proc_pid_stat(5) and proc_stat(5).
 */
final class CpuTime {
    /** Ticks in a second, as Linux tells them to programs on all but long gone machines. */
    private static final double TICKS = 100;

    /**
     * Fields after the name, which may itself hold blanks and brackets: the first of them is the
     * state.
     */
    private static final int USER = 11;

    private static final int SYSTEM = 12;

    /** Fields of a core after its name: user, nice, system, idle, waiting, irq, softirq, steal. */
    private static final int CORE_FIELDS = 8;

    private static final int IDLE = 3;
    private static final int WAITING = 4;

    private CpuTime() {}

    /** User's and system's time of a process. */
    static double ofProcess(long pid) {
        try {
            return processTime(Files.readString(Path.of("/proc/" + pid + "/stat")));
        } catch (IOException e) {
            return Double.NaN;
        }
    }

    /** The time in which a core was not idle, or was taken away from the system. */
    static double ofCore(int core) {
        try {
            return coreTime(Files.readString(Path.of("/proc/stat")), core);
        } catch (IOException e) {
            return Double.NaN;
        }
    }

    static double processTime(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER]) + Long.parseLong(fields[SYSTEM])) / TICKS;
    }

    static double coreTime(String stat, int core) {
        String start = "cpu" + core + " ";
        String line = stat.lines().filter(l -> l.startsWith(start)).findFirst().orElse("");
        String[] fields = line.substring(Math.min(start.length(), line.length())).split(" ");
        if (fields.length < CORE_FIELDS) {
            return Double.NaN;
        }
        long ticks = 0;
        for (int i = 0; i < CORE_FIELDS; i++) {
            ticks += i == IDLE || i == WAITING ? 0 : Long.parseLong(fields[i]);
        }
        return ticks / TICKS;
    }
}
