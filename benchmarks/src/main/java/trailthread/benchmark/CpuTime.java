package trailthread.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * CPU time in seconds, of a process with all its threads or of a core; NaN where the system does
 * not report it. See proc_pid_stat(5) and proc_stat(5).
 */
final class CpuTime {
    /** Clock ticks per second (USER_HZ), which is 100 on all but obsolete Linux architectures. */
    private static final double TICKS_PER_SECOND = 100;

    /**
     * Indexes of fields after the process name, which may itself contain spaces and parentheses;
     * index 0 is the state.
     */
    private static final int USER_FIELD = 11;

    private static final int SYSTEM_FIELD = 12;

    /** Fields after the name of a core: user, nice, system, idle, iowait, irq, softirq, steal. */
    private static final int CORE_FIELDS = 8;

    private static final int IDLE_FIELD = 3;
    private static final int IOWAIT_FIELD = 4;

    private CpuTime() {}

    /** User and system time of a process. */
    static double processSeconds(long pid) {
        try {
            return parseProcessSeconds(Files.readString(Path.of("/proc/" + pid + "/stat")));
        } catch (IOException e) {
            return Double.NaN;
        }
    }

    /** Time in which a core was neither idle nor waiting for I/O; includes stolen time. */
    static double coreSeconds(int core) {
        try {
            return parseCoreSeconds(Files.readString(Path.of("/proc/stat")), core);
        } catch (IOException e) {
            return Double.NaN;
        }
    }

    static double parseProcessSeconds(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_FIELD]) + Long.parseLong(fields[SYSTEM_FIELD]))
                / TICKS_PER_SECOND;
    }

    static double parseCoreSeconds(String stat, int core) {
        String start = "cpu" + core + " ";
        String line = stat.lines().filter(l -> l.startsWith(start)).findFirst().orElse("");
        String[] fields = line.substring(Math.min(start.length(), line.length())).split(" ");
        if (fields.length < CORE_FIELDS) {
            return Double.NaN;
        }
        long ticks = 0;
        for (int i = 0; i < CORE_FIELDS; i++) {
            ticks += i == IDLE_FIELD || i == IOWAIT_FIELD ? 0 : Long.parseLong(fields[i]);
        }
        return ticks / TICKS_PER_SECOND;
    }
}
