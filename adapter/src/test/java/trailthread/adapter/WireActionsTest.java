package trailthread.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The message that each action writes to the wire. */
class WireActionsTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final WireWriter writer = new WireWriter(out);

    private String reply() throws IOException {
        writer.endReply();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void everyActionIsALineOfItsInstance() throws IOException {
        WireActions actions = new WireActions("a", writer);
        actions.send(7, 30, 99, "h:1");
        actions.reject(7, 5);
        actions.fail(8);
        actions.cancel(7, 1);
        actions.checkHealth("h:2");
        actions.closeIdleConnections("h:3");
        actions.sendToPeer(-1, new byte[] {0, (byte) 0xaf});
        actions.sendToPeer(2, new byte[0]);
        actions.watchList(true);
        actions.watchList(false);
        actions.fetchList();
        actions.log("a\tb\nc");
        assertEquals(
                String.join(
                        "\n",
                        "from\ta",
                        "forward\t7\t30\th:1",
                        "push_back\t7\t5",
                        "error\t8",
                        "withdraw\t7\t1",
                        "sample\th:2",
                        "shut_idle\th:3",
                        "signal\t-1\t00af",
                        "signal\t2\t-",
                        "tail\t1",
                        "tail\t0",
                        "get_list",
                        "trace\ta b c",
                        "next\n"),
                reply());
    }

    @Test
    void timersAreNeitherNegativeNorLongerThanSeventyMinutes() throws IOException {
        WireActions actions = new WireActions("a", writer);
        actions.setTimer(-1, 0);
        actions.setTimer(Long.MAX_VALUE, Long.MIN_VALUE);
        assertEquals(
                "from\ta\nafter\t0\t0\nafter\t4200000000000\t-9223372036854775808\nnext\n",
                reply());
    }

    @Test
    void anInstanceIsNamedWhereItChanges() throws IOException {
        WireActions first = new WireActions("a", writer);
        WireActions second = new WireActions("b", writer);
        first.fail(1);
        first.fail(2);
        second.fail(3);
        first.fail(4);
        assertEquals(
                "from\ta\nerror\t1\nerror\t2\nfrom\tb\nerror\t3\nfrom\ta\nerror\t4\nnext\n",
                reply());
    }
}
