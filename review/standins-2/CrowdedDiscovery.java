import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Discovery has too many callers while a server begins to drain. */
final class CrowdedDiscovery {
    private static final int OTHER_CALLERS = 200;
    private static final long CALL_MS = 60;
    private static final long TOLD_MS = 6000;
    private static final long GRACE_MS = 1000;
    private static final long SLACK_MS = 50;

    private static final AtomicLong leavingAt = new AtomicLong(Long.MAX_VALUE);
    private static final AtomicInteger late = new AtomicInteger();
    private static final AtomicInteger othersServed = new AtomicInteger();
    private static volatile long lastLateMs;

    public static void main(String[] args) {
        Rig.main(CrowdedDiscovery::run);
    }

    private static int run(boolean trouble) throws Exception {
        Rig.Handler serve = (request, out) -> Rig.answer(out, "200 OK", "bench");
        Rig.Server first = new Rig.Server("s-1", serve);
        Rig.Server second =
                new Rig.Server(
                        "s-2",
                        (request, out) -> {
                            long since = Rig.ms() - leavingAt.get();
                            if (since > TOLD_MS + GRACE_MS + SLACK_MS) {
                                lastLateMs = since;
                                if (late.getAndIncrement() < 5) {
                                    Rig.note(
                                            "s-2: gets request "
                                                    + request.header("x-correlation-id")
                                                    + ", "
                                                    + since
                                                    + " ms after discovery had it as leaving");
                                }
                            }
                            serve.handle(request, out);
                        });
        Rig.Discovery discovery = new Rig.Discovery();
        discovery.put("s-1", first.active());
        discovery.put("s-2", second.active());
        Rig.Node node =
                Rig.startNode(
                        "n1",
                        Rig.config(discovery, List.of(first.active(), second.active()), 100));
        node.awaitReady();

        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        for (int client = 0; client < 4; client++) {
            int number = client;
            Rig.thread(
                    () -> {
                        for (int i = 0; ; i++) {
                            String id = "c" + number + "-" + i;
                            sent.incrementAndGet();
                            Rig.Message answer =
                                    Rig.ask(node.port, Rig.get("/bench-state/1", id, "1.2"), 3000);
                            if (answer != null && answer.first.contains(" 200")) {
                                served.incrementAndGet();
                            }
                            Rig.sleep(50);
                        }
                    });
        }
        Rig.sleep(3000);
        Rig.note("clients: " + served + " of " + sent + " requests served; s-2 has had " + second.requests);
        if (trouble) {
            discovery.callMs = CALL_MS;
            Rig.note("other nodes: " + OTHER_CALLERS + " calls at once, " + CALL_MS + " ms each");
            for (int i = 0; i < OTHER_CALLERS; i++) {
                Rig.thread(
                        () -> {
                            Rig.Message answer =
                                    Rig.ask(
                                            discovery.port(),
                                            "GET /v1/endpoints HTTP/1.1\r\nHost: d\r\n"
                                                    + "X-Other-Node: 1\r\n\r\n",
                                            30_000);
                            if (answer != null && answer.first.contains(" 200")) {
                                othersServed.incrementAndGet();
                            }
                        });
            }
            Rig.sleep(200);
            discovery.resetWatches();
        }
        Rig.sleep(500);
        discovery.change("s-2", second.leaving());
        leavingAt.set(Rig.ms());
        for (int i = 0; i < 18; i++) {
            Rig.sleep(1000);
            Rig.note(
                    "after "
                            + (Rig.ms() - leavingAt.get())
                            + " ms: s-1 has had "
                            + first.requests
                            + ", s-2 "
                            + second.requests
                            + ", of them late "
                            + late);
        }
        Rig.note("discovery has given the list to " + othersServed + " other callers meanwhile");
        Rig.note("clients: " + served + " of " + sent + " requests served");
        Rig.note(late + " requests reached s-2 late, the last " + lastLateMs + " ms after its leaving");
        node.recordLog();
        if (served.get() < 100) {
            throw new IllegalStateException("too few requests were served to tell");
        }
        return late.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
