package trailthread.daemon.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import trailthread.testkit.SystemCallFaults.Call;
import trailthread.testkit.TestCluster;

/**
 * What happens in one run; everything is drawn from the seed.
 *
 * @param deadlinesMs the deadline of each class, in the order of {@link RequestKind}, in
 *     milliseconds
 * @param servers how each server treats requests
 * @param signals sent to the program, by time, except the SIGTERM from which times count
 * @param killed whether SIGKILL is sent at the earliest time that the platform allows
 * @param idleConnections how many connections clients hold without sending
 * @param burstClients how many clients connect soon after SIGTERM, for one request each
 * @param busyThreads how many threads compete with the program for the CPUs
 * @param busyFromMs when these threads begin, in milliseconds after SIGTERM
 * @param serviceMs how long clients send before SIGTERM, in milliseconds
 * @param reconnectShare the share of responses after which a client closes its connection
 * @param faults the program's system calls that fail, from before SIGTERM to its end
 */
record Scenario(
        long seed,
        int clients,
        List<Integer> deadlinesMs,
        List<ServerMix> servers,
        List<TimedSignal> signals,
        boolean killed,
        int idleConnections,
        int burstClients,
        int busyThreads,
        int busyFromMs,
        int serviceMs,
        double reconnectShare,
        List<SystemCallFault> faults) {
    private static final int[] DEADLINES_MS = {150, 300, 600, 1_200, 2_500, 4_000};
    private static final int[] BUSY_THREADS = {0, 0, 8, 48};

    /** Makes the first numbers drawn from neighbouring seeds differ. */
    private static final long SEED_FACTOR = 0x9E3779B97F4A7C15L;

    private static final int SERVICE_MS = 500;

    /** Long enough for failures of calls to add up before the shutdown. */
    private static final int FAULTY_SERVICE_MS = 2_500;

    private static final double RECONNECT_SHARE = 0.3;

    /** The limits on the calls that fail, of a thousand. */
    private static final int MAX_ACCEPTS_FAILING = 500;

    private static final int MAX_OTHERS_FAILING = 100;

    /** Before a reload that shortens them, deadlines are this many times longer. */
    private static final int DEADLINE_FACTOR_BEFORE_RELOAD = 4;

    /**
     * The platform kills the process at the earliest this long plus the longest deadline after
     * SIGTERM.
     */
    private static final int KILL_AFTER_MS = 700;

    /** The platform counts at most this much of the longest deadline. */
    private static final int MAX_COUNTED_DEADLINE_MS = 3_000;

    /**
     * The signal by which the program reloads its configuration, with shorter deadlines than at its
     * start.
     */
    static final String HANGUP = "HUP";

    /** A signal, and when it is sent, in milliseconds after SIGTERM. */
    record TimedSignal(String name, int atMs) {}

    /**
     * The shares of requests that a server answers late, never, or half; it answers the rest
     * immediately.
     */
    record ServerMix(double late, double never, double half) {}

    /** A system call of which so many of a thousand fail or, if short, transfer few bytes. */
    record SystemCallFault(Call call, int perThousand, boolean isShort) {}

    /** Draws the scenario of a seed in which system calls fail, too. */
    static Scenario withSystemCallFaults(long seed) {
        Random random = new Random(seed * SEED_FACTOR);
        List<SystemCallFault> faults = new ArrayList<>();
        for (Call call : Call.values()) {
            int limit = call == Call.ACCEPT ? MAX_ACCEPTS_FAILING : MAX_OTHERS_FAILING;
            if (random.nextBoolean()) {
                faults.add(
                        new SystemCallFault(call, 1 + random.nextInt(limit), random.nextBoolean()));
            }
        }
        return of(seed, FAULTY_SERVICE_MS, RECONNECT_SHARE, faults);
    }

    /** Draws the scenario of a seed. */
    static Scenario of(long seed) {
        return of(seed, SERVICE_MS, 0, List.of());
    }

    private static Scenario of(
            long seed, int serviceMs, double reconnectShare, List<SystemCallFault> faults) {
        Random random = new Random(seed);
        List<Integer> deadlinesMs = new ArrayList<>();
        for (RequestKind ignored : RequestKind.values()) {
            deadlinesMs.add(DEADLINES_MS[random.nextInt(DEADLINES_MS.length)]);
        }
        int clients = 8 + random.nextInt(33);
        List<ServerMix> servers = new ArrayList<>();
        double hangingShare = random.nextInt(4) == 0 ? 1 : 0.3;
        for (int i = 2 + random.nextInt(3); i > 0; i--) {
            servers.add(serverMix(random, hangingShare));
        }
        boolean crowd = random.nextInt(3) == 0;
        return new Scenario(
                seed,
                clients,
                deadlinesMs,
                servers,
                signals(random),
                random.nextInt(4) > 0,
                crowd ? 40 + random.nextInt(61) : 0,
                crowd ? 10 + random.nextInt(31) : 0,
                BUSY_THREADS[random.nextInt(BUSY_THREADS.length)],
                random.nextInt(800),
                serviceMs,
                reconnectShare,
                faults);
    }

    private static ServerMix serverMix(Random random, double hangingShare) {
        if (random.nextDouble() < hangingShare) {
            return new ServerMix(0, 1, 0); // hangs throughout the shutdown
        }
        return new ServerMix(random.nextDouble() / 3, random.nextDouble() / 5, 0.1);
    }

    private static List<TimedSignal> signals(Random random) {
        List<TimedSignal> signals = new ArrayList<>();
        switch (random.nextInt(5)) {
            case 0 -> signals.add(new TimedSignal(HANGUP, -random.nextInt(20)));
            case 1 -> {
                for (int i = 0; i < 6; i++) {
                    signals.add(new TimedSignal(HANGUP, i * 40 - 100));
                }
            }
            case 2 -> {
                int at = random.nextInt(600);
                signals.add(new TimedSignal("STOP", at));
                signals.add(new TimedSignal("CONT", at + 20 + random.nextInt(80)));
            }
            case 3 -> {
                signals.add(new TimedSignal("TERM", 1 + random.nextInt(100)));
                signals.add(new TimedSignal("TERM", 200 + random.nextInt(300)));
            }
            default -> {
                // SIGTERM alone
            }
        }
        return signals;
    }

    int deadlineMs(RequestKind kind) {
        return deadlinesMs.get(kind.ordinal());
    }

    int longestDeadlineMs() {
        return deadlinesMs.stream().mapToInt(Integer::intValue).max().orElseThrow();
    }

    /** The earliest time of SIGKILL, in milliseconds after SIGTERM. */
    int killAtMs() {
        return KILL_AFTER_MS + Math.min(longestDeadlineMs(), MAX_COUNTED_DEADLINE_MS);
    }

    /** Whether the program closes unused connections only as it shuts down. */
    boolean keepsUnusedConnections() {
        return idleConnections == 0;
    }

    private boolean reloads() {
        return signals.stream().anyMatch(signal -> signal.name().equals(HANGUP));
    }

    private int deadlineFactorAtStart() {
        return reloads() ? DEADLINE_FACTOR_BEFORE_RELOAD : 1;
    }

    /** The longest deadline of the settings that the program starts with, in milliseconds. */
    int longestDeadlineAtStartMs() {
        return longestDeadlineMs() * deadlineFactorAtStart();
    }

    /** The settings that the program starts with. */
    String settingsAtStart() {
        return settings(deadlineFactorAtStart());
    }

    /** The settings that a reload applies: those of the scenario. */
    String settings() {
        return settings(1);
    }

    private String settings(int deadlineFactor) {
        String settings = TestCluster.SETTINGS;
        for (RequestKind kind : RequestKind.values()) {
            long deadlineNs = (long) deadlineFactor * deadlineMs(kind) * 1_000_000L;
            settings =
                    settings.replaceFirst(
                            "(\"name\":\"" + kind.className() + "\"),[^}]*?\"semantics\"",
                            "$1,\"aim_ns\":"
                                    + deadlineNs * 4 / 5
                                    + ",\"deadline_ns\":"
                                    + deadlineNs
                                    + ",\"semantics\"");
        }
        return settings;
    }
}
