import java.util.ArrayList;
import java.util.List;

/** A node is killed and restarted; its first request is of a class that is worth nothing. */
final class ZeroWorth {
    private static final int REQUESTS = 60;
    private static final long BETWEEN_MS = 200;
    private static final int PRACTICE = 0;
    private static final int STATE = 1;

    private static int number;

    public static void main(String[] args) {
        Rig.main(ZeroWorth::run);
    }

    private static int run(boolean trouble) throws Exception {
        Rig.Discovery discovery = new Rig.Discovery();
        List<Rig.Server> servers = new ArrayList<>();
        List<String> known = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            Rig.Server server =
                    new Rig.Server("s-" + i, (r, out) -> Rig.answer(out, "200 OK", "bench"));
            servers.add(server);
            known.add(server.active());
            discovery.put(server.id, server.active());
        }
        String config =
                Rig.config(discovery, known, 1)
                        .replace(
                                "{\"name\":\"bench-state\"",
                                "{\"name\":\"practice\",\"aim_ns\":300000000,"
                                        + "\"deadline_ns\":1200000000,\"semantics\":\"retryable\","
                                        + "\"group\":\"all\",\"window_ns\":5000000000,\"gain\":0.0},"
                                        + "{\"name\":\"bench-state\"");
        Rig.Node node = Rig.startNode("n1", config);
        node.awaitReady();
        int[] first = send(node, STATE, "first process");
        if (first[0] < REQUESTS * 9 / 10) {
            throw new IllegalStateException("the node did not serve before the disruption");
        }
        if (trouble) {
            node.signal("KILL");
            node.process.waitFor();
            node = Rig.startNode("n1", config, node.port);
            node.awaitReady();
        }
        int before = sent(servers);
        int[] second = send(node, PRACTICE, trouble ? "after the restart" : "the same process");
        int attempts = sent(servers) - before;
        Rig.note(attempts + " attempts reached a server meanwhile");
        node.recordLog();
        return second[0] == 0 && attempts == 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static int sent(List<Rig.Server> servers) {
        return servers.stream().mapToInt(s -> s.requests.get()).sum();
    }

    /** Sends requests of both classes in turn; returns how many were served. */
    private static int[] send(Rig.Node node, int firstClass, String phase) {
        int[] served = new int[1];
        for (int i = 0; i < REQUESTS; i++) {
            String path = (i + firstClass) % 2 == PRACTICE ? "/practice/1" : "/bench-state/1";
            Rig.Message answer =
                    Rig.ask(node.port, Rig.get(path, "a" + number++, "1.200"), 4000);
            boolean ok = answer != null && answer.first.contains(" 200");
            served[0] += ok ? 1 : 0;
            if (i < 4) {
                Rig.note(
                        "client: "
                                + path
                                + " has "
                                + (answer == null ? "no answer" : answer.first));
            }
            Rig.sleep(BETWEEN_MS);
        }
        Rig.note(
                phase
                        + ": "
                        + served[0]
                        + " of "
                        + REQUESTS
                        + " requests served within "
                        + REQUESTS * BETWEEN_MS / 1000
                        + " s");
        return served;
    }
}
